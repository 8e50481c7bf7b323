"""Chooses engines for generations by the runs that all nodes placed."""

import asyncio
import random
from collections.abc import Iterable, Sequence
from enum import Enum

from chicoryshunt.dispatch.departures import Departures
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
from chicoryshunt.dispatch.resume_time import StartTime, find_start_time
from chicoryshunt.dispatch.service_order import hash_team
from chicoryshunt.dispatch.waiting import FleetWaiter
from chicoryshunt.events import log_routine
from chicoryshunt.fleet.facts import TargetFact
from chicoryshunt.fleet.messages import PlacedRun
from chicoryshunt.relay.context import RelayContext, build_placed_run_view
from chicoryshunt.relay.fleet_queue import POLL_SECONDS, FleetQueue, WorkAhead
from chicoryshunt.relay.holding import Hold
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
_NO_ROOM_DETAIL = 'no room in time'
_MIN_REMAINING_SECONDS = 0.02
# A run that restarts waits until its prompt has been read once more.
_RESTART_TIMEOUT_SECONDS = 3.0


class RefusalCause(Enum):
    """Why a generation is refused for lack of room.

    ``forecast``: no engine will have room in time; ``time_over``: none had;
    ``too_large``: none could hold it; ``engines``: engines refused it;
    ``retries``: the retry budget is exhausted.
    """

    forecast = 'forecast'
    time_over = 'time_over'
    too_large = 'too_large'
    engines = 'engines'
    retries = 'retries'


class Placer:
    """Places generations by the runs that all nodes have placed."""

    def __init__(self, context: RelayContext) -> None:
        """Start without waiting requests."""
        self._context = context
        self._wait_queue = FleetQueue(context)
        self._departures = Departures()

    async def find_engine(
        self,
        stream: Stream,
        tried: Sequence[TargetId],
    ) -> TargetFact | Verdict:
        """Return an engine once one has room; refuse if none will in time."""
        hold = Hold(
            self._context, stream, self._departures, is_retry=bool(tried)
        )
        with self._wait_queue.enter(stream) as waiter, hold.measure():
            while True:
                self._wait_queue.add(waiter)
                found = self._try_place(stream, tried, waiter, hold)
                if isinstance(found, Verdict):
                    return found
                max_backlog = hold.max_backlog if waiter.can_wait else None
                if found is not None and await self._announce(
                    stream, waiter, found, max_backlog
                ):
                    return found
                await asyncio.sleep(max(POLL_SECONDS, hold.poll_seconds))

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

    def record_departure(self, fact: TargetFact) -> None:
        """Record the notice of an engine, with the memory its runs hold."""
        context = self._context
        now = context.clock.now()
        tokens = sum(
            build_placed_run_view(
                known.run, now - known.placed
            ).estimate_memory(context.token_rate)
            for known in context.workload.list_runs()
            if known.run.target == fact.target
        )
        self._departures.record(fact.service, fact.target, tokens, now)

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

    def find_start_time(
        self,
        stream: Stream,
        target: TargetFact,
        opening: OpenLeg | None = None,
    ) -> StartTime:
        """Return the time for an engine to start a run."""
        context = self._context
        now = context.clock.now()
        if opening is None:
            return StartTime(stream.deadline - now, is_full=True)
        if opening.memory is None:
            return StartTime(_RESTART_TIMEOUT_SECONDS, is_full=True)
        engines = context.build_planned_engines(
            [target], stream.engine_rules, frozenset((stream.request,))
        )
        return find_start_time(engines[0], stream.find_latest_restart() - now)

    def spend_retry(self, stream: Stream) -> bool:
        """Take one retry from the budget; return whether there was one."""
        return self._context.retry_budget.spend(
            stream.service,
            self._context.count_nodes(),
            self._context.clock.now(),
        )

    def refuse_retry(self, stream: Stream) -> Verdict:
        """Refuse a run that may not be sent to another engine."""
        return self._refuse_no_capacity(
            stream, RefusalCause.retries, 'no retries are left'
        )

    def refuse_by_engines(self, stream: Stream, detail: str) -> Verdict:
        """Refuse a run that several engines have refused."""
        return self._refuse_no_capacity(stream, RefusalCause.engines, detail)

    def _refuse_no_capacity(
        self,
        stream: Stream,
        cause: RefusalCause,
        detail: str,
        seconds: float = _DEFAULT_RETRY_SECONDS,
    ) -> Verdict:
        """Refuse for lack of room, with the time after which to retry."""
        self._count_refusal(cause)
        remaining = max(stream.deadline - self._context.clock.now(), 0)
        spread = 1 + random.random() * _RETRY_JITTER
        wait = min(seconds * spread, remaining * _MAX_RETRY_SHARE)
        return refuse(Reason.no_capacity, detail, Seconds(wait))

    async def _announce(
        self,
        stream: Stream,
        waiter: FleetWaiter,
        target: TargetFact,
        max_backlog: float | None,
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
            stream, target, own, max_backlog
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
        max_backlog: float | None,
    ) -> bool:
        """Return whether an engine has room beside runs that go before.

        Load pattern: requests that are held back on many nodes choose the
        same engine once its backlog is small, before they hear of each other.
        """
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
            max_backlog,
        )
        return isinstance(choice, Placed) and not choice.exceeds_backlog

    def _try_place(
        self,
        stream: Stream,
        tried: Iterable[TargetId],
        waiter: FleetWaiter,
        hold: Hold,
    ) -> TargetFact | Verdict | None:
        refusal = self._context.prompt_guard.find_refusal(stream.incoming)
        if refusal is not None:
            return refuse(Reason.crashing_prompt, refusal)
        now = self._context.clock.now()
        if not self._ends_before_stop(stream, now):
            return refuse_stopping()
        facts = self._context.list_candidates(stream.service, tried)
        engines = self._build_engines(stream, facts)
        choice = self._choose(stream, engines, hold.max_backlog)
        remaining = stream.find_latest_start() - now
        waiter.record_room(now, has_room=isinstance(choice, Placed))
        is_held = hold.update(waiter, choice, now)
        match choice:
            case Placed() if is_held:
                return None
            case Placed(target) if self._wait_queue.may_proceed(
                waiter, engines, now
            ):
                self._log_placed(stream, choice, now - waiter.since)
                return _find_fact(facts, target)
            case NeverFits(need):
                self._count_refusal(RefusalCause.too_large)
                detail = f'no engine holds {need} tokens'
                return refuse(Reason.no_capacity, detail)
            case NoRoom(seconds) if not hold.seconds:
                refused = self._refuse_late(stream, waiter, seconds, remaining)
                if refused is not None:
                    return refused
        if remaining < _MIN_REMAINING_SECONDS:
            return self._refuse_no_capacity(
                stream, RefusalCause.time_over, _NO_ROOM_DETAIL
            )
        return None

    def _refuse_late(
        self,
        stream: Stream,
        waiter: FleetWaiter,
        seconds: float,
        remaining: float,
    ) -> Verdict | None:
        """Refuse a request that cannot start in the ``remaining`` seconds.

        Load pattern: callers that are refused in a burst return together,
        and behind requests that came later than they.
        """
        if seconds < remaining:
            return None
        now = self._context.clock.now()
        ahead = self._wait_queue.estimate_work_ahead(waiter, now)
        verdict = self._refuse_no_capacity(
            stream, RefusalCause.forecast, _NO_ROOM_DETAIL, seconds
        )
        if ahead.rate:
            verdict = self._refuse_behind(stream, waiter, ahead, seconds, now)
        self._wait_queue.note_refusal(waiter, verdict.retry_after or 0, now)
        return verdict

    def _count_refusal(self, cause: RefusalCause) -> None:
        self._context.metrics.count(
            'capacity_refusals',
            'Generations that were refused for lack of room, by cause',
            cause=cause.value,
        )

    def _refuse_behind(
        self,
        stream: Stream,
        waiter: FleetWaiter,
        ahead: WorkAhead,
        forecast: float,
        now: float,
    ) -> Verdict:
        """Refuse with a return time that keeps the order of the callers."""
        longest = max(stream.deadline - now, 0) * _MAX_RETRY_SHARE
        retry_after = self._wait_queue.reserve_return(
            waiter, ahead, forecast, longest, now
        )
        preceding = ahead.preceding
        return refuse(
            Reason.no_capacity,
            f'no room in time behind {preceding.count} requests'
            f' of {preceding.tokens:.0f} tokens',
            Seconds(retry_after),
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
        self,
        stream: Stream,
        engines: Sequence[Engine],
        max_backlog: float | None = None,
    ) -> EngineChoice:
        return choose_engine(
            engines,
            stream.view,
            self._context.data_centre,
            self._context.token_rate,
            max_backlog,
        )

    def _log_placed(
        self,
        stream: Stream,
        placed: Placed,
        waited: float,
    ) -> None:
        if placed.slowness > 1:
            self._context.metrics.count(
                'runs_placed_on_slow_engines',
                'Runs placed on engines that are slower than most',
            )
        log_routine(
            'run_placed',
            request=stream.request,
            target=placed.target,
            score=placed.score,
            slowness=placed.slowness,
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
