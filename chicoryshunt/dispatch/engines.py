"""Chooses the engine of a generation, or estimates when one has room."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from chicoryshunt.dispatch.backlog import estimate_backlog
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
# Runs older than this are assumed to have finished their prefill, unless the
# backlog of their engine is longer than this.
_MAX_PREFILL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Engine:
    """An engine and the runs on it.

    ``penalty`` is added to its score; it is the engine's failure rate.
    ``slowness`` is how many times longer a token takes than elsewhere.
    """

    target: TargetId
    data_centre: DataCentreId
    slots: int
    memory_tokens: int
    runs: tuple[RunView, ...] = ()
    penalty: float = 0
    slowness: float = 1.0


@dataclass(frozen=True, slots=True)
class Placed:
    """The engine chosen for a request; a lower ``score`` is better.

    ``backlog`` is the time in seconds until the engine has prefilled the
    request, and ``exceeds_backlog`` is set if every engine with room would
    exceed the bound. Of all engines together, ``held_tokens`` are predicted to
    be held and ``free_tokens`` to be left beside the request.
    """

    target: TargetId
    score: float
    backlog: float = 0
    exceeds_backlog: bool = False
    held_tokens: float = 0
    free_tokens: float = 0


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
    max_backlog: float | None = None,
) -> EngineChoice:
    """Return the engine that is predicted to have the most room.

    All nodes see the same load with a delay. So that they do not all choose
    the same engine, each counts what the other nodes have placed since, and
    each prefers its own data centre. ``token_rate`` is in tokens per second
    for one run. Engines whose backlog would exceed ``max_backlog`` seconds
    are chosen only if no other has room.
    """
    needed = demand.prompt_tokens + demand.max_tokens
    if engines and all(one.memory_tokens < needed for one in engines):
        return NeverFits(needed)
    curve = forecast_run(demand, token_rate)
    offers = []
    waits = []
    peaks = []
    for engine in engines:
        held = forecast_engine(engine.runs, token_rate)
        peaks.append(max(held))
        if _fits(engine, held, curve, demand):
            after = add_curves(held, curve)
            offers.append(_offer(engine, after, demand, home, max_backlog))
        else:
            waits.append(_estimate_wait(engine, held, curve))
    if offers:
        return replace(
            min(offers, key=_build_sort_key),
            held_tokens=sum(peaks),
            free_tokens=_sum_free(engines, peaks) - max(curve),
        )
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


def _offer(
    engine: Engine,
    after: Curve,
    demand: RunView,
    home: DataCentreId,
    max_backlog: float | None,
) -> Placed:
    """Return the placement of a request on an engine that has room."""
    rate = PREFILL_TOKENS_PER_SECOND / engine.slowness
    backlog = estimate_backlog(engine.runs, rate)
    finish = backlog + demand.prompt_tokens / rate
    is_bounded = max_backlog is not None and finish > max_backlog
    return Placed(
        engine.target,
        _score(engine, after, home, backlog),
        finish,
        # A prompt that exceeds the bound by itself may use an idle engine.
        exceeds_backlog=is_bounded and backlog > 0,
    )


def _build_sort_key(placed: Placed) -> tuple[bool, float, TargetId]:
    return placed.exceeds_backlog, placed.score, placed.target


def _sum_free(engines: Sequence[Engine], peaks: Sequence[float]) -> float:
    """Return the memory tokens that the runs on all engines leave free."""
    return sum(
        max(engine.memory_tokens * ADMISSION_FRACTION - peak, 0)
        for engine, peak in zip(engines, peaks, strict=True)
    )


def _score(
    engine: Engine,
    after: Curve,
    home: DataCentreId,
    backlog: float,
) -> float:
    """Return the score of placing a request here; lower is better."""
    used = max(after) / engine.memory_tokens
    if backlog <= _MAX_PREFILL_SECONDS:
        recent = sum(
            run.prompt_tokens
            for run in engine.runs
            if run.age < _MAX_PREFILL_SECONDS
        )
        backlog = recent / PREFILL_TOKENS_PER_SECOND
    backlog_score = backlog / _FULL_BACKLOG_SECONDS
    is_remote = engine.data_centre != home
    return used + backlog_score + engine.penalty + is_remote * _REMOTE_PENALTY
