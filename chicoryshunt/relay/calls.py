"""Relays calls of plain services, which have one complete answer each."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager
from dataclasses import dataclass, field
from http import HTTPStatus

from chicoryshunt.connection.upstream import (
    Answer,
    ConnectionLostError,
    NotSentError,
    OutgoingRequest,
    Upstream,
)
from chicoryshunt.dispatch.call_attempts import (
    AttemptEnd,
    AttemptLimits,
    CallAttempts,
)
from chicoryshunt.dispatch.outliers import ExchangeOutcome
from chicoryshunt.dispatch.services import ServiceTarget, choose_target
from chicoryshunt.events import log_event, log_routine
from chicoryshunt.fleet.facts import TargetFact
from chicoryshunt.relay.context import RelayContext
from chicoryshunt.relay.incoming import IncomingRequest
from chicoryshunt.relay.planned_stop import refuse_stopping
from chicoryshunt.relay.results import Attempt, Delivered, Doubtful, NotRun
from chicoryshunt.relay.target_codec import AnswerKind, SendParams
from chicoryshunt.rules.routing import AdmittedRequest
from chicoryshunt.types import Reason, Seconds, ServiceId, TargetId
from chicoryshunt.verdict import Verdict, build_uncertain, refuse

# An idle connection may be dead without a sign, so it is reused only within
# this time. The bound is short for a request that can not be retried if the
# connection turns out to be dead.
_REPEATABLE_IDLE_SECONDS = 8.0
_UNREPEATABLE_IDLE_SECONDS = 0.25
_MAX_ANSWER_BYTES = 8388608
_RETRY_AFTER_SECONDS = Seconds(0.5)
# A request is not sent with less than this time left.
_MIN_SEND_SECONDS = 0.005


@dataclass(slots=True)
class _Call:
    """A call with its open attempts, in the order in which they started.

    ``deadline`` is in monotonic seconds.
    """

    incoming: IncomingRequest
    admitted: AdmittedRequest
    service: ServiceId
    deadline: float
    attempts: CallAttempts
    tasks: dict[TargetId, asyncio.Task[Attempt]] = field(default_factory=dict)
    answer: Delivered | None = None
    failure: Delivered | None = None
    uncertain: Doubtful | None = None


class CallRelay:
    """Sends calls to targets and retries them where that is allowed."""

    def __init__(self, context: RelayContext) -> None:
        """Use the context that all requests of the node share."""
        self._context = context

    async def relay(
        self,
        incoming: IncomingRequest,
        admitted: AdmittedRequest,
        service: ServiceId,
        deadline: float,
    ) -> Delivered | Verdict:
        """Return the answer of a target, or the verdict if there is none."""
        stop = self._context.planned_stop
        received = incoming.received_at
        if stop is not None and not stop.accepts(received, received, deadline):
            return refuse_stopping()
        route = admitted.route
        attempts = CallAttempts(
            AttemptLimits(
                route.target_latency, route.max_attempts, route.is_repeatable
            )
        )
        call = _Call(incoming, admitted, service, deadline, attempts)
        async with _abort_open(call):
            while call.answer is None:
                self._start_due(call)
                if not call.tasks:
                    break
                await self._await_attempts(call)
            self._record_hedge(call)
        return _conclude(call, deadline - self._context.clock.now())

    def _start_due(self, call: _Call) -> None:
        """Start the next attempt if it is due and possible."""
        now = self._context.clock.now()
        start = call.attempts.find_start()
        if start is None or start > now:
            return
        target = self._choose_next(call)
        if target is None:
            call.attempts.postpone(now)
            return
        if call.tasks:
            log_routine(
                'call_hedged',
                request=call.incoming.request,
                target=target.target,
                overdue=next(iter(call.tasks)),
            )
        call.attempts.start(target.target, now)
        # The call counts at its target before other calls choose theirs.
        tracking = ExitStack()
        tracking.enter_context(self._context.track_call(target.target))
        task = asyncio.create_task(self._try_target(call, target))
        task.add_done_callback(lambda _: tracking.close())
        call.tasks[target.target] = task

    async def _await_attempts(self, call: _Call) -> None:
        """Wait until an attempt ends or the next one is due."""
        start = call.attempts.find_start()
        seconds = None
        if start is not None:
            seconds = max(start - self._context.clock.now(), 0)
        await asyncio.wait(
            call.tasks.values(),
            timeout=seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for target, task in tuple(call.tasks.items()):
            if task.done():
                call.tasks.pop(target)
                call.attempts.end(target, _record_attempt(call, task.result()))

    def _record_hedge(self, call: _Call) -> None:
        """Count which attempt answered, and overtaken ones that were silent."""
        responder = call.attempts.responder
        if responder is None:
            return
        self._context.metrics.count(
            'second_attempts',
            'Calls sent to a second target while the first was still running',
            answered=responder.value,
        )
        now = self._context.clock.now()
        silent = set(call.attempts.list_silent(now))
        for target in call.tasks:
            is_repeated = self._context.outliers.record_overtaken(target)
            if is_repeated or target in silent:
                self._context.record_outcome(target, ExchangeOutcome.silent)

    def _choose_next(self, call: _Call) -> TargetFact | None:
        """Return the target of the next attempt, ``None`` without one.

        A retry is spent from the budget only if there is a target.
        """
        target = self._choose(call.service, call.attempts)
        if call.deadline - self._context.clock.now() < _MIN_SEND_SECONDS:
            return None
        if target is None or (
            call.attempts.is_retry and not self._spend_retry(call.service)
        ):
            return None
        return target

    def _choose(
        self, service: ServiceId, attempts: CallAttempts
    ) -> TargetFact | None:
        facts = self._context.list_candidates(service, attempts.tried)
        chosen = choose_target(
            [
                ServiceTarget(
                    fact.target,
                    fact.data_centre,
                    fact.slots,
                    self._context.open_calls[fact.target],
                    self._context.outliers.get_failure_rate(fact.target),
                )
                for fact in facts
            ],
            self._context.data_centre,
        )
        return next((found for found in facts if found.target == chosen), None)

    def _spend_retry(self, service: ServiceId) -> bool:
        return self._context.retry_budget.spend(
            service,
            self._context.count_nodes(),
            self._context.clock.now(),
        )

    async def _try_target(self, call: _Call, target: TargetFact) -> Attempt:
        admitted = call.admitted
        timeout = call.deadline - self._context.clock.now()
        upstream = await self._connect(
            target, timeout, is_repeatable=admitted.route.is_repeatable
        )
        if isinstance(upstream, NotRun):
            attempt: Attempt = upstream
        else:
            remaining = call.deadline - self._context.clock.now()
            if admitted.route.is_repeatable:
                timeout = remaining
            attempt = await self._exchange(
                upstream,
                call.incoming,
                SendParams(
                    target=target.target,
                    remaining=remaining,
                    priority=admitted.priority,
                    team=admitted.team_id,
                ),
                timeout,
            )
        _log_attempt(call.incoming, attempt)
        return attempt

    async def _connect(
        self, target: TargetFact, remaining: float, *, is_repeatable: bool
    ) -> Upstream | NotRun:
        """Return a connection, for a repeatable call before its deadline."""
        idle = _UNREPEATABLE_IDLE_SECONDS
        timeout = None
        if is_repeatable:
            idle = _REPEATABLE_IDLE_SECONDS
            timeout = remaining - _MIN_SEND_SECONDS
        try:
            async with asyncio.timeout(timeout):
                return await self._context.pool.acquire(target.address, idle)
        except TimeoutError:
            return NotRun(
                target.target,
                'no connection before the deadline',
                was_sent=False,
            )
        except NotSentError as error:
            self._context.record_unreachable(target.target, error)
            return NotRun(target.target, str(error), was_sent=False)

    async def _exchange(
        self,
        upstream: Upstream,
        incoming: IncomingRequest,
        params: SendParams,
        timeout: float,
    ) -> Attempt:
        outgoing = self._context.codec.encode(incoming, params)
        attempt: Attempt = Doubtful(params.target, 'cancelled')
        try:
            attempt = await self._send(
                upstream, incoming, outgoing, params, timeout
            )
        finally:
            # A refusal may come with a body that is not read to its end.
            if not isinstance(attempt, Delivered):
                upstream.abort()
        return attempt

    async def _send(
        self,
        upstream: Upstream,
        incoming: IncomingRequest,
        outgoing: OutgoingRequest,
        params: SendParams,
        timeout: float,
    ) -> Attempt:
        until = self._context.clock.now() + timeout
        try:
            answer = await upstream.send(outgoing, timeout)
        except NotSentError as error:
            return NotRun(params.target, str(error))
        except ConnectionLostError as error:
            self._context.record_outcome(params.target, ExchangeOutcome.silent)
            is_timeout = isinstance(error.__cause__, TimeoutError)
            return Doubtful(params.target, str(error), is_timeout)
        remaining = max(until - self._context.clock.now(), 0)
        return await self._read(
            incoming,
            params.target,
            answer,
            remaining,
        )

    async def _read(
        self,
        incoming: IncomingRequest,
        target: TargetId,
        answer: Answer,
        seconds: float,
    ) -> Attempt:
        answer_kind = self._context.codec.classify_answer(incoming, answer)
        match answer_kind:
            case AnswerKind.not_run | AnswerKind.other_target:
                self._context.record_outcome(target, ExchangeOutcome.failed)
                return NotRun(target, f'{answer_kind.value}: {answer.status}')
            case AnswerKind.foreign:
                self._context.record_outcome(target, ExchangeOutcome.garbled)
                return Doubtful(target, 'answer to another request')
        body = await answer.body.read_all(_MAX_ANSWER_BYTES, seconds)
        if not isinstance(body, bytes):
            self._context.record_outcome(target, ExchangeOutcome.garbled)
            return Doubtful(target, 'answer is cut')
        is_failure = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        outcome = (
            ExchangeOutcome.failed if is_failure else ExchangeOutcome.answered
        )
        self._context.record_outcome(target, outcome)
        return Delivered(target, answer.status, answer.headers, body)


@asynccontextmanager
async def _abort_open(call: _Call) -> AsyncIterator[None]:
    """Abort the attempts that are open when the block ends.

    A cancelled attempt aborts its connection; none outlives the call.
    """
    try:
        yield
    finally:
        for task in call.tasks.values():
            task.cancel()
        await asyncio.gather(*call.tasks.values(), return_exceptions=True)


def _record_attempt(call: _Call, attempt: Attempt) -> AttemptEnd:
    """Keep what an attempt contributes to the result of the call."""
    match attempt:
        case NotRun(was_sent=was_sent):
            return AttemptEnd.not_run if was_sent else AttemptEnd.not_sent
        case Doubtful():
            call.uncertain = attempt
            return AttemptEnd.lost
        case Delivered(_, status) if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            call.answer = call.answer or attempt
            return AttemptEnd.answered
        case Delivered():
            call.failure = call.failure or attempt
            return AttemptEnd.failed


def _conclude(call: _Call, remaining: float) -> Delivered | Verdict:
    delivered = call.answer or call.failure
    if delivered is not None:
        return delivered
    if call.uncertain is not None:
        reason = Reason.target_unreachable
        if call.uncertain.is_timeout:
            reason = Reason.target_timeout
        return build_uncertain(reason, call.uncertain.detail)
    if remaining < _MIN_SEND_SECONDS:
        return refuse(Reason.queue_timeout, 'no time is left')
    return refuse(
        Reason.no_target,
        f'{len(call.attempts.tried)} targets refused',
        _RETRY_AFTER_SECONDS,
    )


def _log_attempt(incoming: IncomingRequest, attempt: Attempt) -> None:
    match attempt:
        case Delivered(target, status) if status < HTTPStatus.BAD_REQUEST:
            return
        case Delivered(target, status):
            detail = str(status)
        case NotRun(target, detail) | Doubtful(target, detail):
            status = 0
    log_event(
        'attempt_failed',
        request=incoming.request,
        target=target,
        kind=type(attempt).__name__,
        detail=detail,
    )
