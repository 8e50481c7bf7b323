"""Receives the requests of callers and relays each until its end."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Protocol

from chicoryshunt.connection.relayed_exchange import RelayedExchange
from chicoryshunt.events import log_event, log_problem, log_routine
from chicoryshunt.fleet.facts import Fact, TargetFact
from chicoryshunt.relay.calls import CallRelay
from chicoryshunt.relay.context import RelayContext
from chicoryshunt.relay.generations import GenerationRelay
from chicoryshunt.relay.incoming import IncomingRequest
from chicoryshunt.relay.planned_stop import (
    ANSWER_SECONDS,
    PlannedStop,
    find_last_moment,
)
from chicoryshunt.relay.results import Delivered, Result, Streamed
from chicoryshunt.relay.stream import ANSWER_MARGIN_SECONDS
from chicoryshunt.rules.model import RequestType
from chicoryshunt.rules.routing import (
    AdmittedRequest,
    RuleIndex,
    choose_service,
)
from chicoryshunt.types import Reason, Seconds
from chicoryshunt.verdict import Verdict, build_uncertain, refuse

_RETRY_AFTER_SECONDS = Seconds(0.5)
_STATUS_CLASS_SIZE = 100
_UNKNOWN_REASONS = frozenset((Reason.unknown_path, Reason.unknown_team))


class CallerCodec(Protocol):
    """Codec of the protocol between callers and the node."""

    def decode(self, exchange: RelayedExchange) -> IncomingRequest | Verdict:
        """Return the request of an exchange, or why it is refused."""

    def respond(
        self,
        exchange: RelayedExchange,
        result: Delivered | Verdict,
        *,
        closes: bool,
    ) -> None:
        """Send an answer or a verdict; ``closes`` ends the connection."""


class Gateway:
    """Serves callers by the rules and targets that this node knows."""

    def __init__(
        self,
        context: RelayContext,
        codec: CallerCodec,
        stale_seconds: float,
        measure_rules_age: Callable[[float], float],
    ) -> None:
        """Let callers retry what stale rules do not know.

        Rules are stale once they are older than ``stale_seconds``, as newer
        ones may be in force on other nodes by then. ``measure_rules_age(now)``
        returns how old they may be, in seconds.
        """
        self._context = context
        self._codec = codec
        self._metrics = context.metrics
        self._stale_seconds = stale_seconds
        self._calls = CallRelay(context)
        self._generations = GenerationRelay(context)
        self._measure_rules_age = measure_rules_age
        self._open: dict[RelayedExchange, IncomingRequest] = {}
        context.catalog.subscribe(self._on_fact)

    @property
    def active(self) -> int:
        """Return how many requests have no whole answer yet."""
        return len(self._open)

    @property
    def is_leaving(self) -> bool:
        """Return whether this node stops."""
        return self._context.planned_stop is not None

    def leave(self, started: float, list_seconds: float, grace: float) -> float:
        """Accept only requests that can be answered before the node ends.

        Callers keep their lists of nodes for ``list_seconds``; the node is
        killed ``grace`` seconds after ``started``, in monotonic seconds. Return
        when to close the last connections.
        """
        last_moment = find_last_moment(started, grace)
        self._context.planned_stop = PlannedStop(
            started + list_seconds, last_moment - ANSWER_SECONDS
        )
        return last_moment

    def log_open(self) -> None:
        """Log the requests that have no whole answer yet."""
        now = self._context.clock.now()
        for incoming in self._open.values():
            log_event(
                'request_left',
                request=incoming.request,
                seconds=now - incoming.received_at,
            )

    async def handle(self, exchange: RelayedExchange) -> None:
        """Serve one request until it is answered or its caller disconnects."""
        incoming = self._codec.decode(exchange)
        if isinstance(incoming, Verdict):
            self._respond(exchange, incoming)
            return
        with self._keep_open(exchange, incoming):
            await self._serve(incoming, exchange)

    @contextmanager
    def _keep_open(
        self, exchange: RelayedExchange, incoming: IncomingRequest
    ) -> Iterator[None]:
        self._open[exchange] = incoming
        try:
            yield
        finally:
            self._open.pop(exchange)

    async def _serve(
        self, incoming: IncomingRequest, exchange: RelayedExchange
    ) -> None:
        index = self._context.catalog.rules
        admitted = self._admit(incoming, index)
        if isinstance(admitted, Verdict):
            self._finish(incoming, exchange, admitted)
            return
        relaying = asyncio.ensure_future(
            self._relay(incoming, admitted, exchange),
        )
        disconnected = asyncio.ensure_future(exchange.wait_disconnected())
        runs_once = (
            admitted.route.request_type is RequestType.call
            and not admitted.route.is_repeatable
        )
        try:
            await self._await_result(
                incoming, exchange, relaying, disconnected, runs_once
            )
        finally:
            disconnected.cancel()
            relaying.cancel()

    async def _await_result(
        self,
        incoming: IncomingRequest,
        exchange: RelayedExchange,
        relaying: asyncio.Future[Result],
        disconnected: asyncio.Future[None],
        runs_once: bool,
    ) -> None:
        await asyncio.wait(
            (relaying, disconnected),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not relaying.done():
            log_event('caller_left', request=incoming.request)
        if relaying.done() or runs_once:
            # A request that must not run twice is not cancelled, so that its
            # outcome is logged.
            self._finish(incoming, exchange, await relaying)

    def _admit(
        self,
        incoming: IncomingRequest,
        index: RuleIndex | None,
    ) -> AdmittedRequest | Verdict:
        if index is None:
            return refuse(
                Reason.config_missing,
                'no rules are known yet',
                _RETRY_AFTER_SECONDS,
            )
        admitted = index.admit(incoming.host, incoming.path, incoming.key)
        if isinstance(admitted, AdmittedRequest):
            return admitted
        age = self._measure_rules_age(self._context.clock.now())
        if admitted in _UNKNOWN_REASONS and age > self._stale_seconds:
            return refuse(
                Reason.config_missing,
                f'{admitted.value}, by rules that are {age:.1f} s old',
                _RETRY_AFTER_SECONDS,
            )
        return refuse(admitted, f'version {index.rules.version}')

    async def _relay(
        self,
        incoming: IncomingRequest,
        admitted: AdmittedRequest,
        exchange: RelayedExchange,
    ) -> Result:
        route = admitted.route
        timeout = route.timeout
        if incoming.timeout is not None:
            timeout = min(timeout, incoming.timeout)
        deadline = incoming.received_at + timeout - ANSWER_MARGIN_SECONDS
        service = choose_service(route, incoming.request)
        self._context.retry_budget.record_first(service, incoming.received_at)
        relaying: Awaitable[Result]
        if route.request_type is RequestType.call:
            relaying = self._calls.relay(incoming, admitted, service, deadline)
        else:
            relaying = self._generations.relay(
                incoming,
                admitted,
                service,
                deadline,
                exchange,
            )
        try:
            return await relaying
        except Exception as error:
            log_problem(
                'relay_failed',
                request=incoming.request,
                error=repr(error),
            )
            return build_uncertain(Reason.internal_error, repr(error))

    def _finish(
        self,
        incoming: IncomingRequest,
        exchange: RelayedExchange,
        result: Result,
    ) -> None:
        self._log_end(incoming, result)
        if not isinstance(result, Streamed):
            self._respond(exchange, result)

    def _respond(
        self, exchange: RelayedExchange, result: Delivered | Verdict
    ) -> None:
        if exchange.is_started:
            exchange.abort()
        elif exchange.is_open:
            self._codec.respond(exchange, result, closes=self.is_leaving)

    def _log_end(self, incoming: IncomingRequest, result: Result) -> None:
        seconds = self._context.clock.now() - incoming.received_at
        self._metrics.observe(
            'request_duration_seconds',
            'Time from a request to the end of its answer',
            seconds,
            outcome=_name_outcome(result),
        )
        log = log_routine if is_success(result) else log_event
        match result:
            case Delivered(target, status):
                log(
                    'request_answered',
                    request=incoming.request,
                    target=target,
                    status=status,
                    seconds=seconds,
                )
            case Streamed():
                log(
                    'request_streamed',
                    request=incoming.request,
                    whole=result.is_whole,
                    events=result.events,
                    first_event_seconds=result.first_event_seconds,
                    longest_gap_seconds=result.longest_gap_seconds,
                    legs=result.leg_count,
                    seconds=seconds,
                )
            case Verdict(run, reason, detail, retry_after):
                log(
                    'request_refused',
                    request=incoming.request,
                    run=run.value,
                    reason=reason.value,
                    detail=detail,
                    retry_after=retry_after,
                    seconds=seconds,
                )

    def _on_fact(self, fact: Fact) -> None:
        if not isinstance(fact, TargetFact):
            return
        self._generations.on_target_changed(fact)
        self._context.forget_target(fact)


def is_success(result: Result) -> bool:
    """Return whether the caller got a complete answer without an error."""
    match result:
        case Delivered(_, status):
            return status < HTTPStatus.BAD_REQUEST
        case Streamed(is_whole):
            return is_whole
        case Verdict():
            return False


def _name_outcome(result: Result) -> str:
    match result:
        case Delivered(_, status):
            return f'answered_{status // _STATUS_CLASS_SIZE}xx'
        case Streamed(is_whole):
            return 'streamed' if is_whole else 'cut'
        case Verdict(run):
            return f'refused_{run.value}'
