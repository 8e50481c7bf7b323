"""The requests that wait at this node, in the order of the whole fleet."""

from collections.abc import Sequence
from dataclasses import dataclass

from chicoryshunt.dispatch.engines import Engine, list_free_memory
from chicoryshunt.dispatch.service_order import (
    Claim,
    Preceding,
    TeamHash,
    WaitingGroup,
    find_teams_over,
    group_requests,
    hash_service,
    hash_team,
    should_yield,
    sum_preceding,
)
from chicoryshunt.dispatch.waiting import FleetWaiter, WaitQueue
from chicoryshunt.events import log_event
from chicoryshunt.fleet.demand import MAX_GROUPS
from chicoryshunt.fleet.facts import TargetFact
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


class FleetQueue:
    """Requests that wait at this node beside those at other nodes.

    The order of the fleet applies if the rules name several teams.
    """

    def __init__(self, context: RelayContext) -> None:
        """Start without requests; report them to the other nodes."""
        self._context = context
        self._queue: WaitQueue[FleetWaiter] = WaitQueue()
        self._over: dict[ServiceId, _TeamsOver] = {}
        context.demand.report_with(self.summarise)

    def __len__(self) -> int:
        """Return how many requests wait at this node."""
        return len(self._queue)

    def enter(self, stream: Stream) -> FleetWaiter:
        """Return the queue's entry for a request."""
        return FleetWaiter(
            request=stream.request,
            priority=stream.admitted.priority,
            since=self._context.clock.now(),
            target_latency=stream.route.target_latency,
            claim=_build_claim(stream),
            service=stream.service,
            view=stream.view,
        )

    def add(self, waiter: FleetWaiter) -> None:
        """Add a waiting request."""
        self._queue.add(waiter)

    def remove(self, waiter: FleetWaiter) -> None:
        """Remove a request that was placed or abandoned."""
        self._queue.remove(waiter)

    def record_wait(self, waiter: FleetWaiter) -> None:
        """Record how long a request waited until it was placed or ended."""
        self._context.metrics.observe(
            'wait_seconds',
            'Time that generations waited for an engine, by priority',
            self._context.clock.now() - waiter.since,
            priority=str(waiter.priority),
        )

    def may_proceed(
        self, waiter: FleetWaiter, engines: Sequence[Engine], now: float
    ) -> bool:
        """Return whether a request that fits on an engine may be placed."""
        if not self._is_ordered():
            return self._queue.may_proceed(waiter, now)
        groups = self._context.demand.list_groups(now)
        if len(self._queue) <= 1 and not groups:
            return True
        over = self._find_teams_over(waiter.service, now)
        if not waiter.is_next(self._queue, over, now):
            waiter.yields.stop(now)
            if waiter.is_next(self._queue, _NO_TEAMS, now):
                self._count_passed_over(waiter)
            return False
        preceding = self._sum_preceding(waiter, over, engines, now)
        if not preceding.count or not self._yield(waiter, preceding, now):
            return True
        if not self._sum_preceding(waiter, _NO_TEAMS, engines, now).count:
            self._count_passed_over(waiter)
        return False

    def summarise(self, now: float) -> list[WaitingGroup]:
        """Return the groups of requests that wait here, for other nodes."""
        if not len(self._queue) or not self._is_ordered():
            return []
        reported = [
            one
            for one in self._queue
            if now - one.since > _REPORT_AFTER_SECONDS
        ]
        services = {one.service for one in reported}
        over = _NO_TEAMS.union(
            *(self._find_teams_over(service, now) for service in services)
        )
        return group_requests(
            (one.build_group() for one in reported), over, now, MAX_GROUPS
        )

    def _is_ordered(self) -> bool:
        """Return whether the rules name several teams."""
        index = self._context.catalog.rules
        return index is not None and len(index.rules.teams) > 1

    def _sum_preceding(
        self,
        waiter: FleetWaiter,
        over: frozenset[TeamHash],
        engines: Sequence[Engine],
        now: float,
    ) -> Preceding:
        """Return the requests that would take all room, also at other nodes.

        Those of this node count that found no room when they last looked.
        """
        groups = [
            *self._context.demand.list_groups(now),
            *(
                other.build_group()
                for other in self._queue
                if other is not waiter and other.may_be_overtaken(now)
            ),
        ]
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

    def _count_passed_over(self, waiter: FleetWaiter) -> None:
        if waiter.is_passed_over:
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
        claims += [one.claim for one in self._context.demand.list_groups(now)]
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
