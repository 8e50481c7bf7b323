"""The requests that wait at this node, in the order of the whole fleet."""

import math
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, replace

from chicoryshunt.dispatch.engines import Engine, list_free_memory
from chicoryshunt.dispatch.service_order import (
    Claim,
    NoteKey,
    PlacementRate,
    Preceding,
    ReturnNote,
    ReturnTimes,
    TeamHash,
    WaitingGroup,
    find_teams_over,
    group_requests,
    hash_request,
    hash_service,
    hash_team,
    should_yield,
    sum_preceding,
)
from chicoryshunt.dispatch.waiting import FleetWaiter, WaitQueue
from chicoryshunt.events import log_event
from chicoryshunt.fleet.demand import MAX_GROUPS
from chicoryshunt.fleet.facts import TargetFact
from chicoryshunt.fleet.workload import KnownRun
from chicoryshunt.relay.context import RelayContext, build_placed_run_view
from chicoryshunt.relay.stream import Stream
from chicoryshunt.types import ServiceId

# Interval at which a waiting request looks for an engine with room.
POLL_SECONDS = 0.03
# Requests that have waited for less are not reported to other nodes.
_REPORT_AFTER_SECONDS = 0.1
# The teams that hold too much are found again after this time.
_SHARES_SECONDS = 0.1
# Share of its caller's patience after which a request goes first.
_STARVING_SHARE = 0.5

_NO_TEAMS: frozenset[TeamHash] = frozenset()


@dataclass(frozen=True, slots=True)
class _TeamsOver:
    """Teams that hold too much, as found at a time in monotonic seconds."""

    teams: frozenset[TeamHash]
    found_at: float


@dataclass(frozen=True, slots=True)
class WorkAhead:
    """What a request waits behind, and for how many seconds, if known.

    ``rate`` is in memory tokens per second.
    """

    preceding: Preceding
    rate: float | None = None

    @property
    def wait(self) -> float:
        """Return the estimated wait in seconds, 0 if the rate is unknown."""
        return self.preceding.tokens / self.rate if self.rate else 0


class FleetQueue:
    """Requests that wait at this node beside those at other nodes.

    The order of the fleet applies if the rules name several teams.
    """

    def __init__(self, context: RelayContext) -> None:
        """Start without requests; report them to the other nodes."""
        self._context = context
        self._queue: WaitQueue[FleetWaiter] = WaitQueue()
        self._over: dict[ServiceId, _TeamsOver] = {}
        self._rates: dict[ServiceId, PlacementRate] = {}
        self._return_times: dict[ServiceId, ReturnTimes] = {}
        context.exchanges.demand.report_with(self.summarise)
        context.workload.on_placed(self._record_placement)

    def __len__(self) -> int:
        """Return how many requests wait at this node."""
        return len(self._queue)

    @contextmanager
    def enter(self, stream: Stream) -> Iterator[FleetWaiter]:
        """Yield the queue's entry for a request; remove it at the end."""
        waiter = self._build_waiter(stream)
        try:
            yield waiter
        finally:
            self.remove(waiter)
            self._record_wait(waiter)

    def add(self, waiter: FleetWaiter) -> None:
        """Add a waiting request."""
        self._queue.add(waiter)

    def remove(self, waiter: FleetWaiter) -> None:
        """Remove a request that was placed or abandoned."""
        self._queue.remove(waiter)

    def may_proceed(
        self, waiter: FleetWaiter, engines: Sequence[Engine], now: float
    ) -> bool:
        """Return whether a request that fits on an engine may be placed."""
        if not self._is_ordered():
            return self._queue.may_proceed(waiter, now)
        groups = self._context.exchanges.demand.list_groups(now)
        if len(self._queue) <= 1 and not groups:
            return True
        over = self._find_teams_over(waiter.service, now)
        if self._goes_next_here(waiter, over, engines, now):
            preceding = self._sum_preceding(waiter, groups, over, engines, now)
            if not preceding.count or not self._yield(waiter, preceding, now):
                return True
        else:
            waiter.yields.stop(now)
        if waiter.claim.team in over:
            self._check_passed_over(waiter, engines, now)
        return False

    def estimate_work_ahead(self, waiter: FleetWaiter, now: float) -> WorkAhead:
        """Return what a request without room waits behind in the fleet."""
        if not self._is_ordered():
            return WorkAhead(Preceding())
        demand = self._context.exchanges.demand
        groups = [*demand.list_groups(now), *demand.list_notes(now)]
        groups += [
            other.build_group()
            for other in self._queue
            if other is not waiter and not other.is_held
        ]
        over = self._find_teams_over(waiter.service, now) if groups else ()
        rate = self._rates.get(waiter.service)
        return WorkAhead(
            sum_preceding(waiter.claim, groups, over, now),
            None if rate is None else rate.measure(now),
        )

    def reserve_return(
        self,
        waiter: FleetWaiter,
        ahead: WorkAhead,
        forecast: float,
        longest: float,
        now: float,
    ) -> float:
        """Return after how many seconds a refused caller is to return.

        It is at most ``longest``.
        """
        seconds = max(ahead.wait, forecast)
        if not ahead.rate:
            return min(seconds, longest)
        times = self._return_times.setdefault(waiter.service, ReturnTimes())
        tokens = waiter.build_group().tokens
        return times.reserve(
            min(seconds, longest), tokens / ahead.rate, longest, now
        )

    def note_refusal(
        self, waiter: FleetWaiter, seconds: float, now: float
    ) -> None:
        """Note at all nodes that a refused caller may return in seconds."""
        if waiter.key is None:
            return
        group = waiter.build_group()
        claim = replace(group.claim, late_at=math.inf, first_at=math.inf)
        self._context.exchanges.demand.add_note(
            ReturnNote(waiter.key, replace(group, claim=claim), now + seconds),
            now,
        )

    def summarise(self, now: float) -> list[WaitingGroup]:
        """Return the groups of requests that wait here, for other nodes."""
        if not len(self._queue) or not self._is_ordered():
            return []
        reported = [
            one
            for one in self._queue
            if now - one.since > _REPORT_AFTER_SECONDS and not one.is_held
        ]
        services = {one.service for one in reported}
        over = _NO_TEAMS.union(
            *(self._find_teams_over(service, now) for service in services)
        )
        return group_requests(
            (one.build_group() for one in reported), over, now, MAX_GROUPS
        )

    def _build_waiter(self, stream: Stream) -> FleetWaiter:
        claim = _build_claim(stream)
        key = None
        if self._is_ordered():
            key = _hash_request(stream)
            claim = self._apply_note(claim, key)
        return FleetWaiter(
            request=stream.request,
            priority=stream.admitted.priority,
            since=self._context.clock.now(),
            target_latency=stream.route.target_latency,
            claim=claim,
            key=key,
            service=stream.service,
            view=stream.view,
        )

    def _record_wait(self, waiter: FleetWaiter) -> None:
        """Record how long a request waited until it was placed or ended."""
        self._context.metrics.observe(
            'wait_seconds',
            'Time that generations waited for an engine, by priority',
            self._context.clock.now() - waiter.since,
            priority=str(waiter.priority),
        )

    def _apply_note(self, claim: Claim, key: NoteKey | None) -> Claim:
        """Give the place of a request that was refused before, if noted."""
        now = self._context.clock.now()
        note = None
        if key is not None:
            note = self._context.exchanges.demand.take_note(key, now)
        if note is None:
            return claim
        arrived = min(note.group.claim.arrived, claim.arrived)
        log_event(
            'request_returned',
            request=claim.request,
            seconds=claim.arrived - arrived,
            early_seconds=note.return_at - now,
        )
        return replace(claim, arrived=arrived)

    def _record_placement(self, known: KnownRun) -> None:
        if not known.run.has_waited:
            return
        fact = self._context.catalog.find(known.run.target)
        if fact is not None:
            rate = self._rates.setdefault(fact.service, PlacementRate())
            tokens = known.run.prompt_tokens + known.run.expected_tokens
            rate.record(known.run.request, tokens, known.placed)

    def _is_ordered(self) -> bool:
        """Return whether the rules name several teams."""
        index = self._context.catalog.rules
        return index is not None and len(index.rules.teams) > 1

    def _goes_next_here(
        self,
        waiter: FleetWaiter,
        over: frozenset[TeamHash],
        engines: Sequence[Engine],
        now: float,
    ) -> bool:
        """Return whether no request of this node goes first.

        Requests that found no room may look once more before a later one
        takes the room that became free.
        """
        if not waiter.is_next(self._queue, over, now):
            return False
        missed = [
            other.build_group()
            for other in self._queue
            if other.has_missed(waiter.room_since)
        ]
        return not self._sum_preceding(waiter, missed, over, engines, now).count

    def _sum_preceding(
        self,
        waiter: FleetWaiter,
        groups: Sequence[WaitingGroup],
        over: frozenset[TeamHash],
        engines: Sequence[Engine],
        now: float,
    ) -> Preceding:
        """Return the requests of some groups that would take all room."""
        if not sum_preceding(waiter.claim, groups, over, now).count:
            return Preceding()
        free = list_free_memory(engines, waiter.view, self._context.token_rate)
        preceding = sum_preceding(
            waiter.claim, groups, over, now, max(free, default=0)
        )
        if should_yield(preceding.count, len(free)):
            return preceding
        return Preceding()

    def _yield(
        self, waiter: FleetWaiter, preceding: Preceding, now: float
    ) -> bool:
        """Return whether a request yields once more; log the first time."""
        is_first = not waiter.yields.has_begun
        if not waiter.yields.take(now, POLL_SECONDS):
            return False
        if is_first:
            log_event(
                'request_yielded',
                request=waiter.request,
                priority=waiter.priority,
                preceding=preceding.count,
                tokens=preceding.tokens,
            )
        return True

    def _check_passed_over(
        self, waiter: FleetWaiter, engines: Sequence[Engine], now: float
    ) -> None:
        """Count a request that would go next but for its team's share."""
        groups = self._context.exchanges.demand.list_groups(now)
        if (
            waiter.is_passed_over
            or not self._goes_next_here(waiter, _NO_TEAMS, engines, now)
            or self._sum_preceding(
                waiter, groups, _NO_TEAMS, engines, now
            ).count
        ):
            return
        waiter.is_passed_over = True
        self._context.metrics.count(
            'requests_passed_over',
            'Requests that waited because their team exceeds its share',
        )

    def _find_teams_over(
        self, service: ServiceId, now: float
    ) -> frozenset[TeamHash]:
        known = self._over.get(service)
        if known is not None and now - known.found_at < _SHARES_SECONDS:
            return known.teams
        teams = self._compute_teams_over(service, now)
        self._over[service] = _TeamsOver(teams, now)
        return teams

    def _compute_teams_over(
        self, service: ServiceId, now: float
    ) -> frozenset[TeamHash]:
        context = self._context
        rules = context.find_engine_rules(service)
        if rules is None:
            return _NO_TEAMS
        targets = {
            known.fact.target
            for known in context.catalog.list_usable(service)
            if isinstance(known.fact, TargetFact)
        }
        held: dict[TeamHash, float] = {}
        for known in context.workload.list_runs():
            if known.run.target not in targets:
                continue
            team = TeamHash(known.run.team)
            view = build_placed_run_view(known.run, now - known.placed)
            memory = view.estimate_memory(context.token_rate)
            held[team] = held.get(team, 0) + memory
        return find_teams_over(
            held,
            self._list_waiting_teams(service, now),
            len(targets) * rules.memory_tokens,
        )

    def _list_waiting_teams(
        self, service: ServiceId, now: float
    ) -> set[TeamHash]:
        wanted = hash_service(service)
        claims = [one.claim for one in self._queue]
        claims += [
            one.claim for one in self._context.exchanges.demand.list_groups(now)
        ]
        return {claim.team for claim in claims if claim.service == wanted}


def _build_claim(stream: Stream) -> Claim:
    arrived = stream.incoming.received_at
    patience = stream.find_latest_start() - arrived
    return Claim(
        hash_service(stream.service),
        stream.admitted.priority,
        hash_team(stream.admitted.team_id),
        arrived,
        arrived + stream.route.target_latency,
        arrived + patience * _STARVING_SHARE,
        stream.request,
    )


def _hash_request(stream: Stream) -> NoteKey | None:
    params = stream.incoming.params
    return hash_request(
        stream.admitted.team_id,
        stream.route.name,
        () if params is None else params.prefix,
    )
