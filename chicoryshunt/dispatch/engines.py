"""Chooses the engine of a generation, or estimates when one has room."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from chicoryshunt.dispatch.engine_pace import MAX_EQUAL_RATIO
from chicoryshunt.dispatch.forecast import (
    HORIZONS,
    Curve,
    RunView,
    add_curves,
    find_fitting_horizon,
    forecast_engine,
    forecast_run,
)
from chicoryshunt.types import DataCentreId, RequestId, TargetId

# Fraction of an engine's memory that predicted runs may fill. The rest
# absorbs answers that are longer than estimated.
ADMISSION_FRACTION = 0.9
# A short answer ends before the long ones have grown, so it may use all memory.
_SHORT_ANSWER_FRACTION = 1.0
_SHORT_ANSWER_TOKENS = 64
# Score penalty, as a fraction of the memory, of an engine in another data
# centre: traffic between data centres is charged for.
_REMOTE_PENALTY = 0.1
# A prefill backlog of this many seconds scores like a full memory.
_FULL_BACKLOG_SECONDS = 1.5
# Prefill rate of a busy engine.
PREFILL_TOKENS_PER_SECOND = 7000.0
# Answers up to this length may be sent to any engine: they end soon even on a
# slow one, and have few gaps.
MAX_BRIEF_TOKENS = 16
# Score penalty of an engine of unknown pace for a longer answer, where the
# engines of the service differ; a slow engine scores worse in proportion.
_UNKNOWN_PACE_PENALTY = 0.1
# Runs older than this are assumed to have finished their prefill.
_MAX_PREFILL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Engine:
    """An engine and the runs on it.

    ``penalty`` is added to its score; it is the engine's failure rate.
    ``slowness`` is how many times the median a token takes, 1 if unknown;
    ``longest_gap`` is the one to expect, in seconds, 0 if unknown.
    """

    target: TargetId
    data_centre: DataCentreId
    slots: int
    memory_tokens: int
    runs: tuple[RunView, ...] = ()
    penalty: float = 0
    slowness: float = 1
    longest_gap: float = 0
    is_pace_known: bool = True

    def has_long_gaps(self, run: RunView) -> bool:
        """Return whether the gaps here are too long for a run.

        Engines of usual pace have long gaps by their load, which passes.
        """
        return (
            run.max_gap is not None
            and self.slowness > MAX_EQUAL_RATIO
            and run.expected_tokens > MAX_BRIEF_TOKENS
            and self.longest_gap > run.max_gap
        )


@dataclass(frozen=True, slots=True)
class Placed:
    """The engine chosen for a request; a lower ``score`` is better.

    ``has_long_gaps``: its gaps are too long for the run, and those of another
    engine, which has no room, are not.
    """

    target: TargetId
    score: float
    slowness: float = 1
    has_long_gaps: bool = False


@dataclass(frozen=True, slots=True)
class NoRoom:
    """No engine has room; one is expected to have in ``seconds``."""

    seconds: float


@dataclass(frozen=True, slots=True)
class NeverFits:
    """No engine has enough memory for the request, even when idle."""

    need_tokens: int


# Announcements reach all other nodes within this time.
ANNOUNCE_DELAY_SECONDS = 0.015

EngineChoice = Placed | NoRoom | NeverFits


def choose_engine(
    engines: Sequence[Engine],
    demand: RunView,
    home: DataCentreId,
    token_rate: float,
) -> EngineChoice:
    """Return the engine that is predicted to have the most room.

    All nodes see the same load with a delay. So that they do not all choose
    the same engine, each counts what the other nodes have placed since, and
    each prefers its own data centre. ``token_rate`` is in tokens per second
    for one run on an engine of median pace. An engine whose gaps are too long
    for the run is chosen only if no other has room.
    """
    needed = demand.prompt_tokens + demand.max_tokens
    if engines and all(one.memory_tokens < needed for one in engines):
        return NeverFits(needed)
    fitting = []
    waits = []
    fastest = _find_fastest(engines)
    for engine in engines:
        rate = token_rate / engine.slowness
        curve = forecast_run(demand, rate)
        held = forecast_engine(engine.runs, rate)
        if _fits(engine, held, curve, demand):
            score = _score(engine, add_curves(held, curve), home)
            score += _score_pace(engine, demand, fastest)
            fitting.append(_build_placed(engine, demand, score))
        else:
            waits.append(_estimate_wait(engine, held, curve))
    if fitting:
        return _choose_best(fitting, engines, demand)
    return NoRoom(min(waits, default=HORIZONS[-1]))


@dataclass(frozen=True, slots=True)
class Announcement:
    """A run that was just placed on an engine, at ``placed`` seconds."""

    request: RequestId
    placed: float


def has_precedence(other: Announcement, own: Announcement) -> bool:
    """Return whether another run has precedence over one's own.

    When requests on many nodes wait for a full engine, all of them take the
    room that becomes free before they hear of each other. Of announcements
    that cross in transit, every node keeps the one with the lowest id.
    """
    if other.placed < own.placed - ANNOUNCE_DELAY_SECONDS:
        return True
    return other.request < own.request


def _fits(
    engine: Engine,
    held: Curve,
    curve: Curve,
    demand: RunView,
) -> bool:
    running = len(engine.runs)
    if running >= engine.slots:
        return False
    limit = engine.memory_tokens * ADMISSION_FRACTION
    if demand.expected_tokens <= _SHORT_ANSWER_TOKENS:
        limit = engine.memory_tokens * _SHORT_ANSWER_FRACTION
    return max(add_curves(held, curve)) <= limit or not running


def _estimate_wait(engine: Engine, held: Curve, curve: Curve) -> float:
    limit = engine.memory_tokens * ADMISSION_FRACTION
    horizon = find_fitting_horizon(held, curve, limit)
    return HORIZONS[-1] if horizon is None else max(horizon, HORIZONS[1])


def _score(
    engine: Engine,
    after: Curve,
    home: DataCentreId,
) -> float:
    """Return the score of placing a request here; lower is better."""
    used = max(after) / engine.memory_tokens
    backlog = sum(
        run.prompt_tokens
        for run in engine.runs
        if run.age < _MAX_PREFILL_SECONDS
    )
    rate = PREFILL_TOKENS_PER_SECOND / engine.slowness
    backlog_score = backlog / rate / _FULL_BACKLOG_SECONDS
    is_remote = engine.data_centre != home
    return used + backlog_score + engine.penalty + is_remote * _REMOTE_PENALTY


def _build_placed(engine: Engine, demand: RunView, score: float) -> Placed:
    return Placed(
        engine.target, score, engine.slowness, engine.has_long_gaps(demand)
    )


def _choose_best(
    fitting: Sequence[Placed], engines: Sequence[Engine], demand: RunView
) -> Placed:
    """Return the best engine, one whose gaps are too long only if it must."""
    best = min(
        fitting, key=lambda one: (one.has_long_gaps, one.score, one.target)
    )
    if best.has_long_gaps and all(one.has_long_gaps(demand) for one in engines):
        return replace(best, has_long_gaps=False)
    return best


def _find_fastest(engines: Sequence[Engine]) -> float | None:
    """Return the least slowness, ``None`` if the engines are equally fast."""
    known = [one.slowness for one in engines if one.is_pace_known]
    if not known or max(known) <= min(known) * MAX_EQUAL_RATIO:
        return None
    return min(known)


def _score_pace(
    engine: Engine, demand: RunView, fastest: float | None
) -> float:
    """Return the penalty for an engine's pace; short answers have none."""
    if fastest is None or demand.expected_tokens <= MAX_BRIEF_TOKENS:
        return 0
    if not engine.is_pace_known:
        return _UNKNOWN_PACE_PENALTY
    ratio = engine.slowness / fastest
    return _UNKNOWN_PACE_PENALTY * ratio if ratio > MAX_EQUAL_RATIO else 0
