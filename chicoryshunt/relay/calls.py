"""Relays calls of plain services: one whole answer each."""

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
from chicoryshunt.relay.results import Attempt, Delivered, Doubtful, NotRun
from chicoryshunt.relay.target_codec import AnswerKind, SendParams
from chicoryshunt.rules.routing import AdmittedRequest
from chicoryshunt.types import Reason, Seconds, ServiceId, TargetId
from chicoryshunt.verdict import Verdict, build_uncertain, refuse

# A kept connection that was idle for longer may be dead without a sign. A
# request that may be repeated can be tried again, any other can not.
_REPEATABLE_IDLE_SECONDS = 8.0
_ONCE_IDLE_SECONDS = 0.25
# Part of the target latency after which another target is tried.
_TRY_PART = 0.6
_LEAST_TRY_SECONDS = 0.05
# Targets that refuse are left out; so many refusals mean that all are full.
_MOST_REFUSALS = 4
_MOST_ANSWER_BYTES = 8388608
_RETRY_SECONDS = Seconds(0.5)
# Less time than this is not worth sending a request for.
_LEAST_SECONDS = 0.005


@dataclass(slots=True)
class _Tries:
    """What was tried for one call."""

    tried: list[TargetId] = field(default_factory=list)
    refusals: int = 0
    runs: int = 0
    failure: Delivered | None = None
    doubt: Doubtful | None = None


class CallRelay:
    """Sends calls to targets, again where that is allowed."""

    def __init__(self, context: RelayContext) -> None:
        """Work on what the process shares."""
        self._context = context

    async def relay(
        self,
        incoming: IncomingRequest,
        admitted: AdmittedRequest,
        service: ServiceId,
        deadline: float,
    ) -> Delivered | Verdict:
        """Return the answer of a target, or a verdict without one."""
        tries = _Tries()
        while True:
            target = self._choose_next(service, tries, deadline)
            if target is None:
                break
            attempt = await self._try_target(
                incoming,
                admitted,
                target,
                deadline,
                is_last=tries.runs + 1 >= admitted.route.max_attempts,
            )
            if self._settle(attempt, admitted, tries):
                break
        return _conclude(tries, deadline - self._context.clock.now())

    def _choose_next(
        self,
        service: ServiceId,
        tries: _Tries,
        deadline: float,
    ) -> TargetFact | None:
        """Return the target of the next try, if there is to be one."""
        target = self._choose(service, tries)
        if deadline - self._context.clock.now() < _LEAST_SECONDS:
            return None
        if target is None or (tries.tried and not self._may_try_again(service)):
            return None
        tries.tried.append(target.target)
        return target

    def _choose(self, service: ServiceId, tries: _Tries) -> TargetFact | None:
        facts = self._context.list_candidates(service, tries.tried)
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
        return next((one for one in facts if one.target == chosen), None)

    def _may_try_again(self, service: ServiceId) -> bool:
        return self._context.retry_budget.spend(
            service,
            self._context.count_nodes(),
            self._context.clock.now(),
        )

    def _settle(
        self,
        attempt: Attempt,
        admitted: AdmittedRequest,
        tries: _Tries,
    ) -> bool:
        """Note an attempt; say whether it is the last one."""
        route = admitted.route
        match attempt:
            case NotRun():
                tries.refusals += 1
                return tries.refusals >= _MOST_REFUSALS
            case Doubtful():
                tries.runs += 1
                tries.doubt = attempt
            case Delivered(_, status):
                tries.runs += 1
                tries.failure = attempt
                if status < HTTPStatus.INTERNAL_SERVER_ERROR:
                    return True
        return not route.is_repeatable or tries.runs >= route.max_attempts

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
        patience = remaining
        if route.is_repeatable and not is_last:
            quick = max(route.target_latency * _TRY_PART, _LEAST_TRY_SECONDS)
            patience = min(remaining, quick)
        idle = _ONCE_IDLE_SECONDS
        if route.is_repeatable:
            idle = _REPEATABLE_IDLE_SECONDS
        with self._context.count_call(target.target):
            try:
                upstream = await self._context.pool.acquire(
                    target.address,
                    idle,
                )
            except NotSentError as error:
                self._context.record(target.target, ExchangeOutcome.unreachable)
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
                    patience,
                )
        _log_attempt(incoming, attempt)
        return attempt

    async def _exchange(
        self,
        upstream: Upstream,
        incoming: IncomingRequest,
        dispatch: SendParams,
        patience: float,
    ) -> Attempt:
        sending = self._context.codec.encode(incoming, dispatch)
        attempt: Attempt = Doubtful(dispatch.target, 'cancelled')
        try:
            attempt = await self._send(
                upstream, incoming, sending, dispatch, patience
            )
        finally:
            if isinstance(attempt, Doubtful):
                upstream.abort()
        return attempt

    async def _send(
        self,
        upstream: Upstream,
        incoming: IncomingRequest,
        sending: OutgoingRequest,
        dispatch: SendParams,
        patience: float,
    ) -> Attempt:
        until = self._context.clock.now() + patience
        try:
            answer = await upstream.send(sending, patience)
        except NotSentError as error:
            return NotRun(dispatch.target, str(error))
        except ConnectionLostError as error:
            self._context.record(dispatch.target, ExchangeOutcome.silent)
            is_timeout = isinstance(error.__cause__, TimeoutError)
            return Doubtful(dispatch.target, str(error), is_timeout)
        remaining = max(until - self._context.clock.now(), 0)
        return await self._read(
            incoming,
            dispatch.target,
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
        receipt = self._context.codec.classify_answer(incoming, answer)
        body = await answer.body.read_all(_MOST_ANSWER_BYTES, seconds)
        match receipt:
            case AnswerKind.not_run | AnswerKind.other_target:
                self._context.record(target, ExchangeOutcome.failed)
                return NotRun(target, f'{receipt.value}: {answer.status}')
            case AnswerKind.foreign:
                self._context.record(target, ExchangeOutcome.garbled)
                return Doubtful(target, 'answer to another request')
        if not isinstance(body, bytes):
            self._context.record(target, ExchangeOutcome.garbled)
            return Doubtful(target, 'answer is cut')
        is_failure = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        outcome = (
            ExchangeOutcome.failed if is_failure else ExchangeOutcome.answered
        )
        self._context.record(target, outcome)
        return Delivered(target, answer.status, answer.headers, body)


def _conclude(tries: _Tries, remaining: float) -> Delivered | Verdict:
    if tries.failure is not None:
        return tries.failure
    if tries.doubt is not None:
        reason = Reason.target_unreachable
        if tries.doubt.is_timeout:
            reason = Reason.target_timeout
        return build_uncertain(reason, tries.doubt.detail)
    if remaining < _LEAST_SECONDS:
        return refuse(Reason.queue_timeout, 'no time is left')
    return refuse(
        Reason.no_target,
        f'{len(tries.tried)} targets refused',
        _RETRY_SECONDS,
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
