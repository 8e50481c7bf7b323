"""Chooses the engine of a generation, or estimates when one has room."""

from collections.abc import Sequence
from dataclasses import dataclass

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
# Runs older than this are assumed to have finished their prefill.
_MAX_PREFILL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Engine:
    """An engine and the runs on it.

    ``penalty`` is added to its score; it is the engine's failure rate.
    """

    target: TargetId
    data_centre: DataCentreId
    slots: int
    memory_tokens: int
    runs: tuple[RunView, ...] = ()
    penalty: float = 0


@dataclass(frozen=True, slots=True)
class Placed:
    """The engine chosen for a request; a lower ``score`` is better."""

    target: TargetId
    score: float


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
    for one run.
    """
    needed = demand.prompt_tokens + demand.max_tokens
    if engines and all(one.memory_tokens < needed for one in engines):
        return NeverFits(needed)
    curve = forecast_run(demand, token_rate)
    fitting = []
    waits = []
    for engine in engines:
        held = forecast_engine(engine.runs, token_rate)
        if _fits(engine, held, curve, demand):
            score = _score(engine, add_curves(held, curve), home, token_rate)
            fitting.append((score, engine.target))
        else:
            waits.append(_estimate_wait(engine, held, curve))
    if fitting:
        score, target = min(fitting)
        return Placed(target, score)
    return NoRoom(min(waits, default=HORIZONS[-1]))


def list_free_memory(
    engines: Sequence[Engine], demand: RunView, token_rate: float
) -> list[float]:
    """Return the free memory tokens of each engine with room for a run."""
    curve = forecast_run(demand, token_rate)
    free = []
    for engine in engines:
        held = forecast_engine(engine.runs, token_rate)
        if _fits(engine, held, curve, demand):
            free.append(engine.memory_tokens * ADMISSION_FRACTION - max(held))
    return free


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
    token_rate: float,
) -> float:
    """Return the score of placing a request here; lower is better."""
    used = max(after) / engine.memory_tokens
    backlog = sum(
        run.prompt_tokens
        for run in engine.runs
        if run.age < _MAX_PREFILL_SECONDS
    )
    backlog_score = backlog / PREFILL_TOKENS_PER_SECOND / _FULL_BACKLOG_SECONDS
    is_remote = engine.data_centre != home
    return used + backlog_score + engine.penalty + is_remote * _REMOTE_PENALTY
