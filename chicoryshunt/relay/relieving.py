"""Moves long runs of this node off slow engines."""

import asyncio
from collections.abc import Iterable, Mapping

from chicoryshunt.dispatch.engines import Engine
from chicoryshunt.dispatch.relief import (
    REPEAT_SECONDS,
    Relief,
    ReliefPlanner,
    SlowEngine,
    SlowRun,
    group_runs,
    is_slow,
)
from chicoryshunt.events import log_event
from chicoryshunt.relay.context import RelayContext, build_placed_run_view
from chicoryshunt.relay.stream import Stream
from chicoryshunt.relay.stream_inputs import MoveRequested
from chicoryshunt.relay.stream_state import Phase
from chicoryshunt.rules.model import EngineRules
from chicoryshunt.types import RequestId, ServiceId, TargetId

_INTERVAL_SECONDS = 0.5
# After news of a slow engine the node decides at once, but not more often.
_MIN_INTERVAL_SECONDS = 0.1


class Reliever:
    """Starts the moves of this node's runs off slow engines.

    It decides twice a second while the node has streams.
    """

    def __init__(
        self, context: RelayContext, streams: Mapping[RequestId, Stream]
    ) -> None:
        """Use the streams of the node, which change while it serves."""
        self._context = context
        self._streams = streams
        self._planners: dict[ServiceId, ReliefPlanner] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._last_decision = float('-inf')
        context.exchanges.pace.subscribe(self._decide_soon)

    def start(self) -> None:
        """Decide at intervals from now on, until there is no stream."""
        if self._timer is None:
            self._schedule(_INTERVAL_SECONDS)

    def observe(self, stream: Stream) -> None:
        """Note the outcome of a relief after an input that is no event.

        Events may precede the request to move in the queue of inputs.
        """
        relief = self._context.reliefs.get(stream.request)
        state = stream.state
        if relief is None or state is None or state.phase is not Phase.flowing:
            return
        self._settle(relief, is_moved=state.engine.target == relief.destination)

    def discard(self, stream: Stream) -> None:
        """Note that a stream ended, maybe before its relief did."""
        relief = self._context.reliefs.get(stream.request)
        if relief is not None:
            self._settle(relief, is_moved=False)

    def _settle(self, relief: Relief, *, is_moved: bool) -> None:
        self._context.reliefs.pop(relief.request)
        self._context.metrics.count(
            'relief_moves',
            'Moves of runs off slow engines, by outcome',
            outcome='moved' if is_moved else 'failed',
        )
        for stream in self._streams.values():
            for leg in stream.legs.values():
                if leg.target.target == relief.source:
                    # The copy may have delayed the next event.
                    leg.observer.record_unread()

    def _schedule(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(
            seconds, self._run_timer
        )

    def _decide_soon(self) -> None:
        if self._timer is not None:
            since = self._context.clock.now() - self._last_decision
            self._schedule(max(_MIN_INTERVAL_SECONDS - since, 0))

    def _run_timer(self) -> None:
        self._timer = None
        if not self._streams:
            self._planners.clear()
            return
        self._schedule(_INTERVAL_SECONDS)
        self._last_decision = self._context.clock.now()
        services = {
            stream.service: stream.engine_rules
            for stream in self._streams.values()
        }
        for service, rules in services.items():
            if rules.can_move:
                self._decide(service, rules)

    def _decide(self, service: ServiceId, rules: EngineRules) -> None:
        planner = self._planners.setdefault(service, ReliefPlanner())
        own = self._list_own(service)
        slow = {
            stream.state.engine.target
            for stream in own.values()
            if stream.state
        }
        if not slow or self._context.has_leaving_runs(service):
            planner.pause()
            return
        planned = planner.plan(
            self._build_sources(slow, rules),
            self._build_destinations(service, slow, rules),
            own,
            tuple(self._context.reliefs.values()),
            self._context.token_rate,
            self._context.clock.now(),
        )
        for relief in planned:
            self._start(own[relief.request], relief)

    def _list_own(self, service: ServiceId) -> dict[RequestId, Stream]:
        """Return the streams of a service that may leave a slow engine."""
        return {
            stream.request: stream
            for stream in self._streams.values()
            if stream.service == service and self._may_be_relieved(stream)
        }

    def _may_be_relieved(self, stream: Stream) -> bool:
        state = stream.state
        if state is None or state.phase is not Phase.flowing:
            return False
        target = state.engine.target
        since = self._context.clock.now() - stream.moved_at
        return (
            stream.first_event_at > 0
            and since >= REPEAT_SECONDS
            and is_slow(self._context.find_slowness(target))
            and not self._context.is_leaving(target)
        )

    def _build_sources(
        self, targets: Iterable[TargetId], rules: EngineRules
    ) -> list[SlowEngine]:
        context = self._context
        now = context.clock.now()
        facts = filter(None, map(context.catalog.find, sorted(targets)))
        runs = (
            (
                known.run.target,
                SlowRun(
                    known.run.request,
                    build_placed_run_view(known.run, now - known.placed),
                ),
            )
            for known in context.workload.list_runs()
        )
        return group_runs(runs, context.build_engines(facts, rules))

    def _build_destinations(
        self,
        service: ServiceId,
        slow: Iterable[TargetId],
        rules: EngineRules,
    ) -> list[Engine]:
        facts = self._context.list_candidates(service, slow)
        return self._context.build_planned_engines(facts, rules)

    def _start(self, stream: Stream, relief: Relief) -> None:
        log_event(
            'relief_planned',
            request=relief.request,
            source=relief.source,
            destination=relief.destination,
            slowness=relief.slowness,
        )
        self._context.reliefs[relief.request] = relief
        stream.inputs.put_nowait(MoveRequested(relief.destination))
