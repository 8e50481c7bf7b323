"""Decides when a request is hedged on a second target."""

import asyncio

from chicoryshunt.journal import Journal
from chicoryshunt.policy.budget import (
    Denial,
    ExtraAllowed,
    HedgeCandidate,
    RetryBudget,
    decide_hedge,
)
from chicoryshunt.request.order import GenerationRequest
from chicoryshunt.request.race import Race
from chicoryshunt.serving.attempts import Attempt, PendingAttempt
from chicoryshunt.serving.scheduler import Permit, Scheduler
from chicoryshunt.types import Seconds

_STALL_FACTOR = 3


class Hedging:
    """Hedges requests whose first token is late, within a budget."""

    def __init__(self, scheduler: Scheduler, journal: Journal) -> None:
        """Start with a full budget for every team."""
        self._scheduler = scheduler
        self._journal = journal
        self._budget = RetryBudget()

    async def should_hedge(
        self,
        wanted: GenerationRequest,
        race: Race,
        first: PendingAttempt,
        running: 'asyncio.Future[Attempt]',
    ) -> bool:
        """Wait for the first token; return whether to start a hedge."""
        parameters = self._scheduler.find_parameters(wanted.model)
        self._budget.record_first(
            wanted.team,
            parameters.hedge_ratio,
            self._scheduler.now(),
        )
        if not wanted.body.repeatable:
            return False
        permit = await first.wait_permit(running)
        if permit is None:
            return False
        hedge_delay = Seconds(
            max(parameters.hedge_after, permit.expected_stall * _STALL_FACTOR),
        )
        if await _wait_first_token(race, running, hedge_delay):
            return False
        self._scheduler.record_late_first_token(permit.route.target)
        return self._decide(wanted, permit, hedge_delay)

    def _decide(
        self,
        wanted: GenerationRequest,
        permit: Permit,
        waited: Seconds,
    ) -> bool:
        decision = decide_hedge(
            HedgeCandidate(wanted.team, wanted.body.repeatable, 0, waited),
            waited,
            self._budget,
            self._scheduler.now(),
        )
        match decision:
            case Denial():
                event, reason = 'hedge_denied', decision.value
            case ExtraAllowed():
                event, reason = 'generation_hedged', 'no_first_token'
        self._journal.record(
            wanted.request,
            event,
            reason,
            target=permit.route.target,
            waited=waited,
        )
        return isinstance(decision, ExtraAllowed)


async def _wait_first_token(
    race: Race,
    running: 'asyncio.Future[Attempt]',
    seconds: Seconds,
) -> bool:
    """Return whether a first token or the end comes in ``seconds``."""
    won = asyncio.ensure_future(race.wait_won())
    done, _ = await asyncio.wait(
        (won, running),
        timeout=seconds,
        return_when=asyncio.FIRST_COMPLETED,
    )
    won.cancel()
    return bool(done)
