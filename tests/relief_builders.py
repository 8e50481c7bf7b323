"""Replay and rig of runs that are moved off slow engines."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from itertools import cycle
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from chicoryshunt.dispatch.engines import Engine
from chicoryshunt.dispatch.relief import (
    Relief,
    ReliefPlanner,
    SlowEngine,
    SlowRun,
)
from chicoryshunt.fleet.facts import TargetPhase
from chicoryshunt.metrics import Metrics
from chicoryshunt.relay.context import RelayContext
from chicoryshunt.relay.generations import GenerationRelay
from chicoryshunt.relay.stream import Stream
from chicoryshunt.relay.stream_inputs import EngineAddress, LegId
from chicoryshunt.relay.stream_state import StreamState
from chicoryshunt.relay.target_codec import Copied, CopyFailed, CopyFailure
from chicoryshunt.rules.model import EngineRules, ServiceRules
from chicoryshunt.rules.routing import AdmittedRequest
from chicoryshunt.types import RequestId, ServiceId, TargetId
from tests.fleet_builders import (
    HOME,
    FleetTrial,
    build_engine,
    build_fact,
    build_route,
    build_rules,
    build_run,
)
from tests.pace_builders import FAST_RATE, SLOW_RATE

_STEP_SECONDS = 0.05
_COPY_STEPS = 8
_NODES = 5
_LAST_STEPS = 400
_TOKENS = 900
NO_ROOM = CopyFailed(CopyFailure.no_room)
SLOWNESS = FAST_RATE / SLOW_RATE


@dataclass
class _Run:
    request: RequestId
    target: TargetId
    node: int
    placed: float
    tokens: float = 0
    was_slow: bool = False


@dataclass
class ReliefReplay:
    """Twelve engines, four of them slow, and five nodes.

    ``load`` long runs arrive in each second and are placed on the engines in
    turn, as if no pace was known. A copy takes 0.4 s. In each 3 s, an engine
    of the service is leaving with runs for ``leaving_seconds``.
    """

    relieves: bool
    load: float = 2
    leaving_seconds: float = 0
    seconds: list[float] = field(default_factory=list)
    most_copies: int = 0

    def __post_init__(self) -> None:
        self._slowness = {
            TargetId(f'e{index:02}'): 1 if index % 3 else SLOWNESS
            for index in range(12)
        }
        self._turns = cycle(self._slowness)
        self._runs: list[_Run] = []
        self._planners = [ReliefPlanner() for _ in range(_NODES)]
        self._copies: list[tuple[int, int, Relief]] = []

    def run(self, seconds: float) -> None:
        """Replay so many seconds of arrivals, and until all runs have ended."""
        arrivals = round(seconds / _STEP_SECONDS)
        for step in range(arrivals + _LAST_STEPS):
            if step < arrivals and not step % round(
                1 / self.load / _STEP_SECONDS
            ):
                self._place(step)
            self._advance(step)
            self._end_copies(step)
            node = step % 10
            if self.relieves and node < _NODES:
                self._decide(node, step)

    def _place(self, step: int) -> None:
        target = next(self._turns)
        self._runs.append(
            _Run(
                RequestId(f'r{step:04}'),
                target,
                step // 10 % _NODES,
                step * _STEP_SECONDS,
                was_slow=self._slowness[target] > 1,
            )
        )

    def _advance(self, step: int) -> None:
        for run in tuple(self._runs):
            run.tokens += FAST_RATE / self._slowness[run.target] * _STEP_SECONDS
            if run.tokens >= _TOKENS:
                self._runs.remove(run)
                if run.was_slow:
                    self.seconds.append(step * _STEP_SECONDS - run.placed)

    def _end_copies(self, step: int) -> None:
        ended = {
            one[2].request: one[2] for one in self._copies if one[0] <= step
        }
        self._copies = [one for one in self._copies if one[0] > step]
        for run in self._runs:
            relief = ended.get(run.request)
            if relief is not None:
                run.target = relief.destination

    def _decide(self, node: int, step: int) -> None:
        now = step * _STEP_SECONDS
        if now % 3 < self.leaving_seconds:
            self._planners[node].pause()
            return
        engines = [self._build(target, now) for target in self._slowness]
        sources = [
            SlowEngine(
                engine,
                tuple(
                    SlowRun(run.request, build_run(age=now - run.placed))
                    for run in self._runs
                    if run.target == engine.target
                ),
            )
            for engine in engines
            if engine.slowness > 1
        ]
        planned = self._planners[node].plan(
            sources,
            engines,
            {run.request for run in self._runs if run.node == node},
            [relief for _, one, relief in self._copies if one == node],
            FAST_RATE,
            now,
        )
        end = step + _COPY_STEPS
        self._copies.extend((end, node, relief) for relief in planned)
        copying = [one[2].source for one in self._copies]
        most = max(map(copying.count, copying), default=0)
        self.most_copies = max(self.most_copies, most)

    def _build(self, target: TargetId, now: float) -> Engine:
        views = [
            build_run(age=now - run.placed)
            for run in self._runs
            if run.target == target
        ]
        return replace(
            build_engine(target, *views), slowness=self._slowness[target]
        )


def _ignore(_: object) -> None:
    """Send nothing, as there is no other node."""


class _LoopClock:
    def now(self) -> float:
        return 100 + asyncio.get_running_loop().time()


class ReliefRig:
    """A node with four engines; copies take 0.4 s.

    They have the given outcomes, and fail for lack of room after these.
    """

    def __init__(self, *outcomes: Copied | CopyFailed) -> None:
        node = FleetTrial(1).nodes[0]
        # Sources and destinations.
        self.orders: list[tuple[str, str]] = []
        self.released: list[str] = []
        self.streams: list[Stream] = []
        self.tasks: list[asyncio.Task[None]] = []
        self._outcomes = list(outcomes)
        self._rules = EngineRules(24, 34000, 1, 1e6, True, 4)
        service = ServiceRules(ServiceId('plain'), 9, 0, 0, self._rules)
        rules = msgspec.structs.replace(
            build_rules(build_route()), services=(service,)
        )
        node.catalog.apply_rules(rules, 'test')
        self.context = RelayContext(
            data_centre=HOME,
            clock=_LoopClock(),
            catalog=node.catalog,
            membership=node.membership,
            workload=node.workload,
            pool=cast(Any, None),
            codec=cast(
                Any,
                SimpleNamespace(
                    encode_copy=lambda _, to, stops_run: (to,),
                    encode_release=lambda handle: handle,
                ),
            ),
            retry_budget=cast(Any, None),
            exchanges=node.exchanges,
            metrics=Metrics(),
            send=_ignore,
            publish=_ignore,
        )
        self._relay = GenerationRelay(self.context)
        cast(Any, self._relay)._mover._send_order = self._answer
        for index in range(4):
            self.set_phase(f'e{index}', TargetPhase.ready)

    def set_phase(self, engine: str, phase: TargetPhase) -> None:
        """Publish the phase of an engine."""
        revision = 1 if phase is TargetPhase.ready else 2
        fact = build_fact(engine, revision, phase, address=engine, slots=24)
        self.context.catalog.apply(fact, 100, 'test')
        if phase is not TargetPhase.ready:
            self._relay.on_target_changed(fact)

    def watch_gaps(self) -> list[str]:
        """Return a list of the gaps on e0 that will not count."""
        gaps: list[str] = []
        leg = SimpleNamespace(
            target=build_fact('e0'),
            observer=SimpleNamespace(
                record_unread=lambda: gaps.append('skipped')
            ),
            close=lambda: None,
        )
        self.streams[0].legs[LegId(0)] = cast(Any, leg)
        return gaps

    async def slow_down(self) -> None:
        """Make e0 known as slow, and wait until the node has decided."""
        target = TargetId('e0')
        now = self.context.clock.now()
        self.context.exchanges.pace.report(target, 1 / SLOW_RATE, 0.03, now)
        await asyncio.sleep(0.1)

    @property
    def state(self) -> StreamState:
        """Return the state of the first stream."""
        state = self.streams[0].state
        assert state is not None
        return state

    def begin(self, name: str, engine: str = 'e0') -> Stream:
        """Begin a long stream on an engine."""
        now = self.context.clock.now()
        stream = Stream(
            cast(
                Any, SimpleNamespace(request=RequestId(name), received_at=now)
            ),
            AdmittedRequest(build_route(), None),
            ServiceId('plain'),
            self._rules,
            now + 60,
            cast(Any, SimpleNamespace(is_started=False)),
            build_run(),
        )
        stream.state = StreamState(
            EngineAddress(TargetId(engine), engine), is_resumable=False
        )
        stream.first_event_at = now
        self._relay._placer.announce_run(stream, TargetId(engine))
        self.streams.append(stream)
        self.tasks.append(asyncio.ensure_future(self._process(stream)))
        return stream

    def count(self, outcome: str) -> float:
        """Return how many reliefs had an outcome."""
        return self.context.metrics.get('relief_moves', outcome=outcome)

    async def _process(self, stream: Stream) -> None:
        with self._relay._track(stream):
            await self._relay._process_inputs(stream)

    async def _answer(
        self, source: str, order: str | tuple[str]
    ) -> Copied | CopyFailed:
        if isinstance(order, str):
            self.released.append(order)
            return Copied(order, 0)
        self.orders.append((source, order[0]))
        await asyncio.sleep(_COPY_STEPS * _STEP_SECONDS)
        return self._outcomes.pop(0) if self._outcomes else NO_ROOM


@asynccontextmanager
async def open_rig(
    *outcomes: Copied | CopyFailed,
) -> AsyncIterator[ReliefRig]:
    """Run a node with a long run ``r`` on e0 until the block ends."""
    rig = ReliefRig(*outcomes)
    rig.begin('r')
    for index in range(1, 5):
        now = rig.context.clock.now()
        target = TargetId(f'e{index}')
        rig.context.exchanges.pace.report(target, 1 / FAST_RATE, 0.03, now)
    # The median is computed four times a second.
    await asyncio.sleep(0.3)
    try:
        yield rig
    finally:
        for task in rig.tasks:
            task.cancel()
        await asyncio.gather(*rig.tasks, return_exceptions=True)
