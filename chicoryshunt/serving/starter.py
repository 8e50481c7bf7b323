"""Starts generations on targets, with retries and hedges in a budget."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from chicoryshunt.configuration.write_guard import WriteGuard
from chicoryshunt.connection.client import HttpClient
from chicoryshunt.connection.engine_client import EngineClient
from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.journal import Journal
from chicoryshunt.limits.router import Route
from chicoryshunt.policy.budget import (
    Denial,
    ExtraAllowed,
    RetryBudget,
)
from chicoryshunt.policy.dispatcher import StopReason
from chicoryshunt.request.generation import (
    Generation,
    GenerationContext,
    Outcome,
)
from chicoryshunt.request.order import GenerationRequest, build_order
from chicoryshunt.request.race import Contender, Race
from chicoryshunt.request.resume_token import ResumeToken, encode_token
from chicoryshunt.request.sink import AnswerSink, Sink
from chicoryshunt.serving.attempts import (
    Attempt,
    PendingAttempt,
    choose_attempt,
    choose_final,
    run_attempts,
)
from chicoryshunt.serving.hedging import Hedging
from chicoryshunt.serving.scheduler import Permit, Scheduler
from chicoryshunt.types import (
    GenerationId,
    Reason,
    Seconds,
    VmId,
)
from chicoryshunt.verdict import Verdict, refuse

_MAX_ATTEMPTS = 3
_RETRY_SECONDS = Seconds(1)
_TARGET_KEPT_REASONS = frozenset(
    (Reason.cancelled, Reason.no_target, Reason.resumed_elsewhere),
)


@dataclass(frozen=True, slots=True)
class GenerationBuilder:
    """Builds the object that relays a generation from a target."""

    vm: VmId
    context: GenerationContext
    client: HttpClient
    sign: Callable[[bytes], bytes]

    def build(
        self,
        route: Route,
        sink: AnswerSink,
        token: ResumeToken,
    ) -> Generation:
        """Return a generation from ``route`` to ``sink``.

        Its resume tokens are copies of ``token`` that name this VM and the
        generation.
        """

        def make_token(generation: GenerationId) -> str:
            updated = msgspec.structs.replace(
                token,
                vm=self.vm,
                generation=generation,
            )
            return encode_token(updated, self.sign)

        engine = EngineClient(self.client, route.address)
        return Generation(self.context, engine, sink, make_token)


class Starter:
    """Starts generations that the scheduler admits and restarts lost ones."""

    def __init__(
        self,
        builder: GenerationBuilder,
        scheduler: Scheduler,
        journal: Journal,
        guard: WriteGuard,
        invariants: InvariantChecker,
    ) -> None:
        """Start with a full retry budget for every team."""
        self._builder = builder
        self._scheduler = scheduler
        self._journal = journal
        self._guard = guard
        self._invariants = invariants
        self._budget = RetryBudget()
        self._hedging = Hedging(scheduler, journal)

    async def start(
        self,
        wanted: GenerationRequest,
        sink: Sink,
        retry_ratio: float,
    ) -> Attempt:
        """Run a generation; restart it when it fails before any delivery.

        ``retry_ratio`` is how many retries each first attempt of the team
        earns.
        """
        now = self._scheduler.now()
        self._budget.record_first(wanted.team, retry_ratio, now)
        attempt = await self._start_hedged(wanted, sink)
        for _ in range(_MAX_ATTEMPTS - 1):
            if not self._may_restart(wanted, attempt.outcome):
                break
            sink.discard()
            restarted = await self._start_hedged(wanted, sink)
            self._check_refusal(attempt, restarted)
            attempt = choose_attempt(attempt, restarted)
        return attempt

    def _check_refusal(self, first: Attempt, restarted: Attempt) -> None:
        chosen = choose_attempt(first, restarted)
        self._invariants.check(
            Invariant.true_refusal,
            first.is_refusal or not chosen.is_refusal,
            target=first.target,
        )

    def _may_restart(
        self,
        wanted: GenerationRequest,
        outcome: Outcome,
    ) -> bool:
        if not outcome.may_restart(repeatable=wanted.body.repeatable):
            return False
        decision = self._budget.spend(wanted.team, self._scheduler.now())
        match decision:
            case Denial():
                event, reason = 'restart_denied', decision.value
            case ExtraAllowed():
                event, reason = 'generation_restarted', name_reason(outcome)
        self._journal.record(wanted.request, event, reason)
        return isinstance(decision, ExtraAllowed)

    async def _start_hedged(
        self,
        wanted: GenerationRequest,
        sink: Sink,
    ) -> Attempt:
        """Start an attempt, and a second one if the first token is late."""
        race = Race(sink)
        first = PendingAttempt(race.enter())
        with run_attempts() as attempts:
            running = attempts.start(self._start_once(wanted, first))
            if await self._hedging.should_hedge(wanted, race, first, running):
                attempts.start(
                    self._start_once(wanted, PendingAttempt(race.enter()))
                )
            return choose_final(await attempts.gather())

    async def _start_once(
        self,
        wanted: GenerationRequest,
        attempt: PendingAttempt,
    ) -> Attempt:
        contender = attempt.contender
        permit = await self._scheduler.admit(
            wanted, contender.wait_disconnected
        )
        if isinstance(permit, Verdict):
            return Attempt(Outcome(0, '', permit, delivered=False))
        attempt.set_permit(permit)
        with self._scheduler.hold(permit):
            outcome = await self._run(permit, wanted, contender)
        self._record_end(permit, outcome)
        is_won = outcome.verdict is None and contender.claim()
        return Attempt(
            outcome, permit.route.target, is_won or outcome.delivered
        )

    async def _run(
        self,
        permit: Permit,
        wanted: GenerationRequest,
        contender: Contender,
    ) -> Outcome:
        token = ResumeToken(
            self._builder.vm,
            permit.route.target,
            GenerationId(''),
            wanted.model,
            wanted.team,
            wanted.request,
        )
        generation = self._builder.build(permit.route, contender, token)
        permit.read_position = lambda: generation.position
        outcome = await self._send(permit, generation, wanted)
        permit.stop = _classify_stop(outcome)
        permit.is_taken_over = _is_taken_over(outcome)
        if permit.stop is StopReason.lost:
            self._scheduler.record_target_loss(permit.route.target)
        return outcome

    async def _send(
        self,
        permit: Permit,
        generation: Generation,
        wanted: GenerationRequest,
    ) -> Outcome:
        target = permit.route.target
        if self._guard.may_write(target):
            return await generation.start(
                build_order(wanted, permit.engine_priority),
            )
        refusal = refuse(
            Reason.no_target,
            f'{target} takes no new work',
            _RETRY_SECONDS,
        )
        return Outcome(0, '', refusal, delivered=False)

    def _record_end(self, permit: Permit, outcome: Outcome) -> None:
        self._journal.record(
            permit.request,
            'generation_ended',
            name_reason(outcome),
            target=permit.route.target,
            tokens=outcome.tokens,
        )


def name_reason(outcome: Outcome) -> str:
    """Return the reason that a generation ended with, for logs."""
    verdict = outcome.verdict
    return outcome.ending if verdict is None else verdict.reason.value


def _classify_stop(outcome: Outcome) -> StopReason:
    if outcome.verdict is None:
        return (
            StopReason.ended if outcome.ending == 'stop' else StopReason.bounded
        )
    if outcome.verdict.reason in _TARGET_KEPT_REASONS:
        return StopReason.cancelled
    return StopReason.lost


def _is_taken_over(outcome: Outcome) -> bool:
    verdict = outcome.verdict
    return verdict is not None and verdict.reason is Reason.resumed_elsewhere
