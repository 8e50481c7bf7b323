"""Plans moves of long runs from slow engines that stay ready."""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, replace

import xxhash

from chicoryshunt.dispatch.engine_pace import MAX_EQUAL_RATIO
from chicoryshunt.dispatch.engines import MAX_BRIEF_TOKENS, Engine
from chicoryshunt.dispatch.forecast import (
    RunView,
    add_curves,
    estimate_remaining,
    forecast_engine,
    forecast_run,
)
from chicoryshunt.types import RequestId, TargetId

# A run that ends sooner gains less than its copy costs.
_MIN_REMAINING_SECONDS = 1.0
# Fraction of a destination's memory that may be filled. It is less than for
# new requests: a relief is not urgent, and other nodes do not know of it yet.
_MEMORY_FRACTION = 0.8
# Time for the node of a run to decide, copy and switch. After it, the next run
# of the engine may be moved: the node may be unable to move the first one.
_TURN_SECONDS = 1.0
# A run is not moved twice within this time.
REPEAT_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class SlowRun:
    """A run on a slow engine."""

    request: RequestId
    run: RunView


@dataclass(frozen=True, slots=True)
class SlowEngine:
    """A slow engine and the runs that all nodes have on it."""

    engine: Engine
    runs: tuple[SlowRun, ...]


@dataclass(frozen=True, slots=True)
class Relief:
    """The move of a run; ``run`` is how it looks at its destination."""

    request: RequestId
    source: TargetId
    destination: TargetId
    slowness: float
    run: RunView


class ReliefPlanner:
    """Plans the relief of one service on one node.

    Load pattern: long runs stay for 20 s on engines that generate at a third
    of the rate of others, which have room.
    """

    def __init__(self) -> None:
        """Start without turns."""
        # The run whose turn it is on an engine, and since when.
        self._turns: dict[TargetId, tuple[RequestId, float]] = {}
        # Until when runs that had their turn are passed over.
        self._passed: dict[RequestId, float] = {}

    def pause(self) -> None:
        """End all turns; the next plan starts new ones."""
        self._turns.clear()

    def plan(
        self,
        sources: Iterable[SlowEngine],
        destinations: Sequence[Engine],
        own: Collection[RequestId],
        pending: Collection[Relief],
        token_rate: float,
        now: float,
    ) -> list[Relief]:
        """Return the moves to start now, at most one for each engine.

        ``own`` are the runs that this node can move. ``pending`` are its moves
        in progress: their engines move no other run, and the room that they
        need is left to them.
        """
        busy = {relief.source for relief in pending}
        idle = [one for one in sources if one.engine.target not in busy]
        first_runs = self._find_first_runs(idle, token_rate, now)
        planned: list[Relief] = []
        for source in idle:
            first = first_runs.get(source.engine.target)
            if first is None or first.request not in own:
                continue
            relief = _plan_one(
                source.engine,
                first,
                _add_pending(destinations, (*pending, *planned)),
                token_rate,
            )
            if relief is not None:
                planned.append(relief)
                self._passed[first.request] = now + REPEAT_SECONDS
                self._turns.pop(source.engine.target)
        return planned

    def _find_first_runs(
        self, sources: Iterable[SlowEngine], token_rate: float, now: float
    ) -> dict[TargetId, SlowRun]:
        """Return the run of each engine whose turn it is, alike on all nodes.

        Nodes hear of the same runs, but not of each other's failed moves, so a
        turn ends with its time.
        """
        self._end_turns(now)
        earlier = self._turns
        self._turns = {}
        first_runs = {}
        for source in sources:
            first = self._find_first(source, token_rate)
            if first is not None:
                target = source.engine.target
                turn = earlier.get(target)
                if turn is None or turn[0] != first.request:
                    turn = first.request, now
                self._turns[target] = turn
                first_runs[target] = first
        return first_runs

    def _end_turns(self, now: float) -> None:
        """Pass over the runs that had their turn for some time."""
        self._passed = {
            request: until
            for request, until in self._passed.items()
            if until > now
        }
        for request, since in self._turns.values():
            if now - since >= _TURN_SECONDS:
                self._passed[request] = now + REPEAT_SECONDS

    def _find_first(
        self, source: SlowEngine, token_rate: float
    ) -> SlowRun | None:
        """Return the run that was placed first of those that are long."""
        rate = token_rate / source.engine.slowness
        return min(
            (
                one
                for one in source.runs
                if one.request not in self._passed and _is_long(one.run, rate)
            ),
            key=lambda one: (-one.run.age, one.request),
            default=None,
        )


def is_slow(slowness: float) -> bool:
    """Return whether an engine is so slow that its long runs are moved."""
    return slowness > MAX_EQUAL_RATIO


def _is_long(run: RunView, rate: float) -> bool:
    if run.expected_tokens <= MAX_BRIEF_TOKENS:
        return False
    return estimate_remaining(run, rate) > rate * _MIN_REMAINING_SECONDS


def _add_pending(
    destinations: Iterable[Engine], pending: Iterable[Relief]
) -> list[Engine]:
    """Return the engines with the runs that are to move there."""
    coming: dict[TargetId, tuple[RunView, ...]] = {}
    for relief in pending:
        earlier = coming.get(relief.destination, ())
        coming[relief.destination] = (*earlier, relief.run)
    return [
        replace(engine, runs=engine.runs + coming.get(engine.target, ()))
        for engine in destinations
    ]


def _plan_one(
    source: Engine,
    one: SlowRun,
    destinations: Iterable[Engine],
    token_rate: float,
) -> Relief | None:
    """Return the move of a run, ``None`` if no engine has room for it.

    Copies to another data centre take longer. Nodes spread the runs of several
    engines over those that have room, as they would all find the same emptiest
    one.
    """
    views = {
        engine.target: _view_at(one.run, source, engine)
        for engine in destinations
    }
    fitting = [
        engine
        for engine in destinations
        if _takes_relief(engine, views[engine.target], token_rate)
    ]
    chosen = min(
        fitting,
        key=lambda engine: (
            engine.data_centre != source.data_centre,
            _compute_rank(one.request, engine.target),
        ),
        default=None,
    )
    if chosen is None:
        return None
    return Relief(
        one.request,
        source.target,
        chosen.target,
        source.slowness,
        views[chosen.target],
    )


def _view_at(run: RunView, source: Engine, destination: Engine) -> RunView:
    """Return a run with the age at which another engine had got as far."""
    return replace(run, age=run.age * destination.slowness / source.slowness)


def _takes_relief(engine: Engine, run: RunView, token_rate: float) -> bool:
    """Return whether an engine is not slow and has room for a whole run."""
    if not engine.is_pace_known or engine.slowness > 1:
        return False
    if len(engine.runs) >= engine.slots:
        return False
    rate = token_rate / engine.slowness
    held = forecast_engine(engine.runs, rate)
    after = max(add_curves(held, forecast_run(run, rate)))
    return after <= engine.memory_tokens * _MEMORY_FRACTION


def _compute_rank(request: RequestId, target: TargetId) -> int:
    return xxhash.xxh3_64_intdigest(f'{request}\0{target}'.encode())


def group_runs(
    runs: Iterable[tuple[TargetId, SlowRun]],
    engines: Iterable[Engine],
) -> list[SlowEngine]:
    """Return slow engines with the runs on them."""
    by_target: dict[TargetId, list[SlowRun]] = {}
    for target, one in runs:
        by_target.setdefault(target, []).append(one)
    return [
        SlowEngine(engine, tuple(by_target.get(engine.target, ())))
        for engine in engines
    ]
