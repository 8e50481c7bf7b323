"""Chooses the engine of a generation, or estimates when one has room."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from chicoryshunt.dispatch.backlog import estimate_backlog
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
# Runs older than this are assumed to have finished their prefill, unless the
# backlog of their engine is longer than this.
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

    @property
    def prefill_rate(self) -> float:
        """Return how many tokens of prompts are read per second."""
        return PREFILL_TOKENS_PER_SECOND / self.slowness

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
    engine, which has no room, are not. ``backlog`` is the time in seconds until
    the engine has prefilled the request, and ``exceeds_backlog`` is set if
    every engine with room would exceed the bound. Of all engines together,
    ``held_tokens`` are predicted to be held and ``free_tokens`` to be left
    beside the request.
    """

    target: TargetId
    score: float
    slowness: float = 1
    has_long_gaps: bool = False
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
    for one run on an engine of median pace. An engine whose gaps are too long
    for the run, or whose backlog would exceed ``max_backlog`` seconds, is
    chosen only if no other has room.
    """
    needed = demand.prompt_tokens + demand.max_tokens
    if engines and all(one.memory_tokens < needed for one in engines):
        return NeverFits(needed)
    forecasts = [
        _forecast(engine, demand, token_rate / engine.slowness)
        for engine in engines
    ]
    fastest = _find_fastest(engines)
    offers = [
        _offer(one, demand, home, max_backlog, fastest)
        for one in forecasts
        if _fits(one, demand)
    ]
    if offers:
        return replace(
            _choose_best(offers, engines, demand),
            held_tokens=sum(max(one.held) for one in forecasts),
            free_tokens=_sum_free(forecasts)
            - max(forecast_run(demand, token_rate)),
        )
    return NoRoom(min(map(_estimate_wait, forecasts), default=HORIZONS[-1]))


def list_free_memory(
    engines: Sequence[Engine], demand: RunView, token_rate: float
) -> list[float]:
    """Return the free memory tokens of each engine with room for a run."""
    forecasts = [
        _forecast(engine, demand, token_rate / engine.slowness)
        for engine in engines
    ]
    return [
        one.engine.memory_tokens * ADMISSION_FRACTION - max(one.held)
        for one in forecasts
        if _fits(one, demand)
    ]


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


@dataclass(frozen=True, slots=True)
class _Forecast:
    """Memory tokens on an engine over time: now, of a request, and of both."""

    engine: Engine
    held: Curve
    added: Curve
    after: Curve


def _forecast(engine: Engine, demand: RunView, token_rate: float) -> _Forecast:
    held = forecast_engine(engine.runs, token_rate)
    added = forecast_run(demand, token_rate)
    return _Forecast(engine, held, added, add_curves(held, added))


def _fits(one: _Forecast, demand: RunView) -> bool:
    engine = one.engine
    running = len(engine.runs)
    if running >= engine.slots:
        return False
    limit = engine.memory_tokens * ADMISSION_FRACTION
    if demand.expected_tokens <= _SHORT_ANSWER_TOKENS:
        limit = engine.memory_tokens * _SHORT_ANSWER_FRACTION
    return max(one.after) <= limit or not running


def _estimate_wait(one: _Forecast) -> float:
    limit = one.engine.memory_tokens * ADMISSION_FRACTION
    horizon = find_fitting_horizon(one.held, one.added, limit)
    return HORIZONS[-1] if horizon is None else max(horizon, HORIZONS[1])


def _offer(
    one: _Forecast,
    demand: RunView,
    home: DataCentreId,
    max_backlog: float | None,
    fastest: float | None,
) -> Placed:
    """Return the placement of a request on an engine that has room."""
    engine = one.engine
    backlog = estimate_backlog(engine.runs, engine.prefill_rate)
    finish = backlog + demand.prompt_tokens / engine.prefill_rate
    is_bounded = max_backlog is not None and finish > max_backlog
    score = _score(engine, one.after, home, backlog)
    return Placed(
        engine.target,
        score + _score_pace(engine, demand, fastest),
        engine.slowness,
        engine.has_long_gaps(demand),
        finish,
        # A prompt that exceeds the bound by itself may use an idle engine.
        exceeds_backlog=is_bounded and backlog > 0,
    )


def _build_sort_key(placed: Placed) -> tuple[bool, bool, float, TargetId]:
    return (
        placed.has_long_gaps,
        placed.exceeds_backlog,
        placed.score,
        placed.target,
    )


def _sum_free(forecasts: Sequence[_Forecast]) -> float:
    """Return the memory tokens that the runs on all engines leave free."""
    return sum(
        max(one.engine.memory_tokens * ADMISSION_FRACTION - max(one.held), 0)
        for one in forecasts
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
        backlog = recent / engine.prefill_rate
    backlog_score = backlog / _FULL_BACKLOG_SECONDS
    is_remote = engine.data_centre != home
    return used + backlog_score + engine.penalty + is_remote * _REMOTE_PENALTY


def _choose_best(
    fitting: Sequence[Placed], engines: Sequence[Engine], demand: RunView
) -> Placed:
    """Return the best engine, one whose gaps are too long only if it must."""
    best = min(fitting, key=_build_sort_key)
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
