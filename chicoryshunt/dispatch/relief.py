"""Chooses runs to move off engines that could not be emptied in time."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from chicoryshunt.dispatch.engines import Engine
from chicoryshunt.dispatch.forecast import expect_remaining
from chicoryshunt.dispatch.handover import (
    DEFAULT_NOTICE_SECONDS,
    Leaving,
    Link,
    measure_step,
)
from chicoryshunt.types import RequestId, TargetId

# A destination stays emptier than the source by this part of its memory, or
# runs would go back and forth.
_MARGIN_PART = 0.1
# Runs that are nearly done are not worth a copy.
_LEAST_REMAINING_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Crowd:
    """An engine with the requests that run on it."""

    engine: Engine
    runs: tuple[Leaving, ...]

    def count_held(self, pace: float) -> float:
        """Return the memory tokens that all runs hold now, about."""
        return sum(one.run.count_held(pace) for one in self.runs)

    def measure_emptying(self, link: Link, pace: float) -> float:
        """Return the seconds that moving all runs far away would take."""
        return sum(
            measure_step(one.run, link, pace, is_remote=True)
            for one in self.runs
        )


@dataclass(frozen=True, slots=True)
class Relief:
    """Move a run while nobody has to leave."""

    request: RequestId
    source: TargetId
    destination: TargetId


def plan_relief(
    crowds: Sequence[Crowd],
    link: Link,
    pace: float,
) -> list[Relief]:
    """Return moves that may go on together; every node plans the same ones.

    Load pattern: engines are reclaimed in turn, and each that goes fills its
    neighbours, until one holds more than its own notice has time to move. A
    new engine stays empty meanwhile. No link has two moves at a time, for the
    last tokens of a stopped run would queue behind the other copy.
    """
    held = {one.engine.target: one.count_held(pace) for one in crowds}
    emptiest = sorted(crowds, key=lambda one: _rank(one, held))
    sources = [
        one
        for one in reversed(emptiest)
        if one.measure_emptying(link, pace) > DEFAULT_NOTICE_SECONDS
    ]
    reliefs: list[Relief] = []
    for source, destination in zip(sources, emptiest, strict=False):
        chosen = _choose_run(source, destination, held, pace)
        if chosen is not None:
            reliefs.append(chosen)
    return reliefs


def _rank(crowd: Crowd, held: dict[TargetId, float]) -> tuple[float, TargetId]:
    engine = crowd.engine
    return held[engine.target] / engine.memory_tokens, engine.target


def _choose_run(
    source: Crowd,
    destination: Crowd,
    held: dict[TargetId, float],
    pace: float,
) -> Relief | None:
    """Return the run that fits and has the most to generate yet."""
    taker = destination.engine
    if len(destination.runs) >= taker.slots:
        return None
    gap = held[source.engine.target] - held[taker.target]
    most = (gap - taker.memory_tokens * _MARGIN_PART) / 2
    fitting = [
        one
        for one in _list_lasting(source.runs, pace)
        if one.run.count_held(pace) <= most
    ]
    if not fitting:
        return None
    chosen = max(fitting, key=lambda one: _prefer(one, pace))
    return Relief(chosen.request, source.engine.target, taker.target)


def _list_lasting(runs: Iterable[Leaving], pace: float) -> list[Leaving]:
    least = _LEAST_REMAINING_SECONDS * pace
    return [one for one in runs if expect_remaining(one.run, pace) >= least]


def _prefer(one: Leaving, pace: float) -> tuple[float, RequestId]:
    return expect_remaining(one.run, pace), one.request
