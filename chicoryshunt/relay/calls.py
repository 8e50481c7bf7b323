"""Relays calls of plain services, which have one complete answer each."""

from dataclasses import dataclass, field
from http import HTTPStatus

from chicoryshunt.connection.upstream import (
    Answer,
    ConnectionLostError,
    NotSentError,
    OutgoingRequest,
    Upstream,
)
from chicoryshunt.dispatch.outliers import ExchangeOutcome
from chicoryshunt.dispatch.services import ServiceTarget, choose_target
from chicoryshunt.events import log_event
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
# Share of the target latency after which another target is tried.
_ATTEMPT_LATENCY_SHARE = 0.6
_MIN_ATTEMPT_SECONDS = 0.05
# Each refusal excludes a target; this many mean that all targets are full.
_MAX_REFUSALS = 4
_MAX_ANSWER_BYTES = 8388608
_RETRY_AFTER_SECONDS = Seconds(0.5)
# A request is not sent with less than this time left.
_MIN_SEND_SECONDS = 0.005


@dataclass(slots=True)
class _Attempts:
    """Attempts at one call so far."""

    tried: list[TargetId] = field(default_factory=list)
    refusals: int = 0
    runs: int = 0
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
        attempts = _Attempts()
        while True:
            target = self._choose_next(service, attempts, deadline)
            if target is None:
                break
            attempt = await self._try_target(
                incoming,
                admitted,
                target,
                deadline,
                is_last=attempts.runs + 1 >= admitted.route.max_attempts,
            )
            if self._record_attempt(attempt, admitted, attempts):
                break
        return _conclude(attempts, deadline - self._context.clock.now())

    def _choose_next(
        self,
        service: ServiceId,
        attempts: _Attempts,
        deadline: float,
    ) -> TargetFact | None:
        """Return the target of the next attempt; ``None`` ends the call."""
        target = self._choose(service, attempts)
        if deadline - self._context.clock.now() < _MIN_SEND_SECONDS:
            return None
        if target is None or (
            attempts.tried and not self._spend_retry(service)
        ):
            return None
        attempts.tried.append(target.target)
        return target

    def _choose(
        self, service: ServiceId, attempts: _Attempts
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

    def _record_attempt(
        self,
        attempt: Attempt,
        admitted: AdmittedRequest,
        attempts: _Attempts,
    ) -> bool:
        """Record an attempt and return whether it is the last one."""
        route = admitted.route
        match attempt:
            case NotRun():
                attempts.refusals += 1
                return attempts.refusals >= _MAX_REFUSALS
            case Doubtful():
                attempts.runs += 1
                attempts.uncertain = attempt
            case Delivered(_, status):
                attempts.runs += 1
                attempts.failure = attempt
                if status < HTTPStatus.INTERNAL_SERVER_ERROR:
                    return True
        return not route.is_repeatable or attempts.runs >= route.max_attempts

    async def _try_target(
        self,
        incoming: IncomingRequest,
        admitted: AdmittedRequest,
        target: TargetFact,
        deadline: float,
        *,
        is_last: bool,
    ) -> Attempt:
        route = admitted.route
        remaining = deadline - self._context.clock.now()
        timeout = remaining
        if route.is_repeatable and not is_last:
            attempt_timeout = max(
                route.target_latency * _ATTEMPT_LATENCY_SHARE,
                _MIN_ATTEMPT_SECONDS,
            )
            timeout = min(remaining, attempt_timeout)
        idle = _UNREPEATABLE_IDLE_SECONDS
        if route.is_repeatable:
            idle = _REPEATABLE_IDLE_SECONDS
        with self._context.track_call(target.target):
            try:
                upstream = await self._context.pool.acquire(
                    target.address,
                    idle,
                )
            except NotSentError as error:
                self._context.record_outcome(
                    target.target, ExchangeOutcome.unreachable
                )
                attempt: Attempt = NotRun(target.target, str(error))
            else:
                attempt = await self._exchange(
                    upstream,
                    incoming,
                    SendParams(
                        target=target.target,
                        remaining=deadline - self._context.clock.now(),
                        priority=admitted.priority,
                        team=admitted.team_id,
                    ),
                    timeout,
                )
        _log_attempt(incoming, attempt)
        return attempt

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


def _conclude(attempts: _Attempts, remaining: float) -> Delivered | Verdict:
    if attempts.failure is not None:
        return attempts.failure
    if attempts.uncertain is not None:
        reason = Reason.target_unreachable
        if attempts.uncertain.is_timeout:
            reason = Reason.target_timeout
        return build_uncertain(reason, attempts.uncertain.detail)
    if remaining < _MIN_SEND_SECONDS:
        return refuse(Reason.queue_timeout, 'no time is left')
    return refuse(
        Reason.no_target,
        f'{len(attempts.tried)} targets refused',
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
