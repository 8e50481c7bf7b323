"""Chooses engines for generations by the runs that all nodes placed."""

import asyncio
import random
from collections.abc import Iterable, Sequence

from chicoryshunt.dispatch.engines import (
    ANNOUNCE_DELAY_SECONDS,
    Announcement,
    Engine,
    EngineChoice,
    NeverFits,
    NoRoom,
    Placed,
    choose_engine,
    has_precedence,
)
from chicoryshunt.dispatch.service_order import hash_team
from chicoryshunt.dispatch.waiting import FleetWaiter
from chicoryshunt.events import log_routine
from chicoryshunt.fleet.facts import TargetFact
from chicoryshunt.fleet.messages import PlacedRun
from chicoryshunt.relay.context import RelayContext
from chicoryshunt.relay.fleet_queue import POLL_SECONDS, Backlog, FleetQueue
from chicoryshunt.relay.planned_stop import refuse_stopping
from chicoryshunt.relay.stream import Stream
from chicoryshunt.relay.stream_actions import (
    OpenLeg,
)
from chicoryshunt.relay.target_codec import SendParams
from chicoryshunt.types import Reason, Seconds, TargetId
from chicoryshunt.verdict import Verdict, refuse

# Retries are spread over this share of the expected wait.
_RETRY_JITTER = 0.5
# Callers respect a retry time up to this share of the time they have left.
_MAX_RETRY_SHARE = 1 / 3
_DEFAULT_RETRY_SECONDS = 1.0
_MIN_REMAINING_SECONDS = 0.02


class Placer:
    """Places generations by the runs that all nodes have placed."""

    def __init__(self, context: RelayContext) -> None:
        """Start without waiting requests."""
        self._context = context
        self._wait_queue = FleetQueue(context)

    async def find_engine(
        self,
        stream: Stream,
        tried: Sequence[TargetId],
    ) -> TargetFact | Verdict:
        """Return an engine once one has room; refuse if none will in time."""
        waiter = self._wait_queue.enter(stream)
        try:
            while True:
                self._wait_queue.add(waiter)
                found = self._try_place(stream, tried, waiter)
                if isinstance(found, Verdict):
                    return found
                if found is not None and await self._announce(
                    stream, waiter, found
                ):
                    return found
                await asyncio.sleep(POLL_SECONDS)
        finally:
            self._wait_queue.remove(waiter)
            self._wait_queue.record_wait(waiter)

    def find_other_engine(self, stream: Stream) -> TargetFact | None:
        """Return an engine with room that has not failed or refused the run."""
        state = stream.state
        tried = set(stream.refusing)
        if state is not None:
            tried.add(state.engine.target)
        facts = self._context.list_candidates(stream.service, tried)
        choice = self._choose(stream, self._build_engines(stream, facts))
        if isinstance(choice, Placed):
            return _find_fact(facts, choice.target)
        return None

    def announce_run(
        self, stream: Stream, target: TargetId, *, has_waited: bool = False
    ) -> None:
        """Announce to the other nodes which engine a run is on."""
        context = self._context
        now = context.clock.now()
        stream.placed_at = stream.placed_at or now
        run = PlacedRun(
            stream.request,
            target,
            stream.view.prompt_tokens,
            stream.view.expected_tokens,
            stream.view.max_tokens,
            now - stream.placed_at,
            hash_team(stream.admitted.team_id),
            has_waited,
        )
        context.send(context.workload.place(run, now))

    def build_send_params(
        self,
        stream: Stream,
        target: TargetFact,
        opening: OpenLeg | None = None,
    ) -> SendParams:
        """Return how a run is sent to an engine; ``opening`` continues it."""
        memory = None
        last_event = stream.incoming.last_event
        if opening is not None:
            memory = opening.memory
            last_event = opening.last_event
            self._context.cold.consume(target.target)
        return SendParams(
            target=target.target,
            remaining=stream.deadline - self._context.clock.now(),
            priority=stream.admitted.priority,
            team=stream.admitted.team_id,
            memory=memory,
            last_event=last_event,
        )

    def spend_retry(self, stream: Stream) -> bool:
        """Take one retry from the budget; return whether there was one."""
        return self._context.retry_budget.spend(
            stream.service,
            self._context.count_nodes(),
            self._context.clock.now(),
        )

    def refuse_no_capacity(
        self,
        stream: Stream,
        detail: str,
        seconds: float = _DEFAULT_RETRY_SECONDS,
    ) -> Verdict:
        """Refuse for lack of room, with the time after which to retry."""
        remaining = max(stream.deadline - self._context.clock.now(), 0)
        spread = 1 + random.random() * _RETRY_JITTER
        wait = min(seconds * spread, remaining * _MAX_RETRY_SHARE)
        return refuse(Reason.no_capacity, detail, Seconds(wait))

    async def _announce(
        self,
        stream: Stream,
        waiter: FleetWaiter,
        target: TargetFact,
    ) -> bool:
        """Announce a placement; return whether it holds against others."""
        self._wait_queue.remove(waiter)
        self._context.cold.consume(target.target)
        # Callers that return have waited as well.
        waited = self._context.clock.now() - waiter.claim.arrived
        self.announce_run(
            stream, target.target, has_waited=waited >= POLL_SECONDS
        )
        own = Announcement(stream.request, self._context.clock.now())
        await asyncio.sleep(ANNOUNCE_DELAY_SECONDS)
        if self._still_fits(
            stream, target, own
        ) and self._context.keeps_cold_rate(target.target, own):
            return True
        log_routine(
            'placement_withdrawn',
            request=stream.request,
            target=target.target,
        )
        self._context.send(self._context.workload.end(stream.request))
        self._context.cold.give_back(target.target)
        stream.placed_at = 0
        return False

    def _still_fits(
        self,
        stream: Stream,
        target: TargetFact,
        own: Announcement,
    ) -> bool:
        """Return whether an engine has room beside runs that go before."""
        yielding = frozenset(
            known.run.request
            for known in self._context.workload.list_runs()
            if not has_precedence(
                Announcement(known.run.request, known.placed), own
            )
        )
        engines = self._context.build_planned_engines(
            [target],
            stream.engine_rules,
            yielding,
        )
        choice = choose_engine(
            engines,
            stream.view,
            self._context.data_centre,
            self._context.token_rate,
        )
        return isinstance(choice, Placed)

    def _try_place(
        self,
        stream: Stream,
        tried: Iterable[TargetId],
        waiter: FleetWaiter,
    ) -> TargetFact | Verdict | None:
        refusal = self._context.prompt_guard.find_refusal(stream.incoming)
        if refusal is not None:
            return refuse(Reason.crashing_prompt, refusal)
        now = self._context.clock.now()
        if not self._ends_before_stop(stream, now):
            return refuse_stopping()
        facts = self._context.list_candidates(stream.service, tried)
        engines = self._build_engines(stream, facts)
        choice = self._choose(stream, engines)
        remaining = stream.find_latest_start() - now
        waiter.record_room(now, has_room=isinstance(choice, Placed))
        match choice:
            case Placed(target) if self._wait_queue.may_proceed(
                waiter, engines, now
            ):
                self._log_placed(stream, choice, now - waiter.since)
                return _find_fact(facts, target)
            case NeverFits(need):
                detail = f'no engine holds {need} tokens'
                return refuse(Reason.no_capacity, detail)
            case NoRoom(seconds):
                refused = self._refuse_late(stream, waiter, seconds, remaining)
                if refused is not None:
                    return refused
        if remaining < _MIN_REMAINING_SECONDS:
            return self.refuse_no_capacity(stream, 'no room in time')
        return None

    def _refuse_late(
        self,
        stream: Stream,
        waiter: FleetWaiter,
        seconds: float,
        remaining: float,
    ) -> Verdict | None:
        """Refuse a request that cannot start in the ``remaining`` seconds.

        Load pattern: callers wait in vain behind requests of other nodes.
        """
        now = self._context.clock.now()
        is_expected = seconds >= remaining
        if not is_expected and not self._wait_queue.is_estimate_due(
            waiter, now
        ):
            return None
        backlog = self._wait_queue.estimate_backlog(waiter, now)
        if not is_expected and backlog.wait <= remaining:
            return None
        self._count_refusal('forecast' if is_expected else 'behind_others')
        verdict = self.refuse_no_capacity(stream, 'no room in time', seconds)
        if backlog.rate:
            verdict = self._refuse_behind(stream, waiter, backlog, seconds, now)
        self._wait_queue.note_refusal(waiter, verdict.retry_after or 0, now)
        return verdict

    def _refuse_behind(
        self,
        stream: Stream,
        waiter: FleetWaiter,
        backlog: Backlog,
        forecast: float,
        now: float,
    ) -> Verdict:
        """Refuse with a return time that keeps the order of the callers."""
        longest = max(stream.deadline - now, 0) * _MAX_RETRY_SHARE
        retry_after = self._wait_queue.reserve_return(
            waiter, backlog, forecast, longest, now
        )
        preceding = backlog.preceding
        return refuse(
            Reason.no_capacity,
            f'no room in time behind {preceding.count} requests'
            f' of {preceding.tokens:.0f} tokens',
            Seconds(retry_after),
        )

    def _count_refusal(self, reason: str) -> None:
        self._context.metrics.count(
            'capacity_refusals',
            'Generations that were refused for lack of room, by reason',
            reason=reason,
        )

    def _ends_before_stop(self, stream: Stream, now: float) -> bool:
        stop = self._context.planned_stop
        return stop is None or stop.accepts(
            stream.incoming.received_at,
            stream.find_latest_end(now, self._context.token_rate),
            stream.deadline,
        )

    def _build_engines(
        self, stream: Stream, facts: Iterable[TargetFact]
    ) -> list[Engine]:
        return self._context.build_planned_engines(facts, stream.engine_rules)

    def _choose(
        self, stream: Stream, engines: Sequence[Engine]
    ) -> EngineChoice:
        return choose_engine(
            engines,
            stream.view,
            self._context.data_centre,
            self._context.token_rate,
        )

    def _log_placed(
        self,
        stream: Stream,
        placed: Placed,
        waited: float,
    ) -> None:
        log_routine(
            'run_placed',
            request=stream.request,
            target=placed.target,
            score=placed.score,
            waited_seconds=waited,
            waiting=len(self._wait_queue),
            pace=self._context.token_rate,
            prompt_tokens=stream.view.prompt_tokens,
            expected_tokens=stream.view.expected_tokens,
        )


def _find_fact(
    facts: Iterable[TargetFact], target: TargetId
) -> TargetFact | None:
    return next((fact for fact in facts if fact.target == target), None)
