"""Chooses the engine of a generation, or says when there will be room."""

from collections.abc import Sequence
from dataclasses import dataclass

from chicoryshunt.dispatch.forecast import (
    HORIZONS,
    Curve,
    RunView,
    add_curves,
    find_room_time,
    forecast_engine,
    forecast_run,
)
from chicoryshunt.types import DataCentreId, RequestId, TargetId

# Part of an engine's memory that predicted runs may fill. What is left
# absorbs answers that outlast their estimate.
ADMISSION_FRACTION = 0.9
# A short answer is over before the long ones have grown, so it may use all.
_SHORT_PART = 1.0
_SHORT_TOKENS = 64
# An engine in another data centre must be emptier by this part of its
# memory: its tokens cross a priced link.
_REMOTE_PART = 0.1
# Seconds of waiting prompts that weigh like a full memory.
_BACKLOG_SECONDS = 1.5
# How fast a busy engine reads a prompt.
PREFILL_TOKENS_PER_SECOND = 7000.0
# Prompts are taken to be read after this many seconds at the latest.
_PREFILL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Engine:
    """An engine with what runs on it."""

    target: TargetId
    data_centre: DataCentreId
    slots: int
    memory_tokens: int
    runs: tuple[RunView, ...] = ()
    penalty: float = 0


@dataclass(frozen=True, slots=True)
class Placed:
    """Send the request to this engine."""

    target: TargetId
    score: float


@dataclass(frozen=True, slots=True)
class NoRoom:
    """No engine has room; ``seconds`` until one is expected to have."""

    seconds: float


@dataclass(frozen=True, slots=True)
class NeverFits:
    """No engine can ever hold the request."""

    need_tokens: int


# Announcements of all nodes arrive within this time.
ANNOUNCE_DELAY_SECONDS = 0.015

EngineChoice = Placed | NoRoom | NeverFits


def choose_engine(
    engines: Sequence[Engine],
    demand: RunView,
    home: DataCentreId,
    pace: float,
) -> EngineChoice:
    """Return the engine that is predicted to have the most room.

    Load pattern: every node sees the same load, a little late. Each counts
    what all others have placed since, so that they do not all choose the
    same engine, and each prefers its own data centre, which spreads them.
    """
    need = demand.prompt_tokens + demand.max_tokens
    if engines and all(one.memory_tokens < need for one in engines):
        return NeverFits(need)
    curve = forecast_run(demand, pace)
    fitting = []
    waits = []
    for engine in engines:
        held = forecast_engine(engine.runs, pace)
        if _fits(engine, held, curve, demand):
            score = _rate(engine, add_curves(held, curve), home, pace)
            fitting.append((score, engine.target))
        else:
            waits.append(_expect_wait(engine, held, curve))
    if fitting:
        score, target = min(fitting)
        return Placed(target, score)
    return NoRoom(min(waits, default=HORIZONS[-1]))


@dataclass(frozen=True, slots=True)
class Announcement:
    """A run that was placed on an engine just now; ``placed`` in seconds."""

    request: RequestId
    placed: float


def has_precedence(other: Announcement, own: Announcement) -> bool:
    """Say whether another run stays, whatever becomes of one's own.

    Load pattern: requests wait on many nodes for a full engine, and all take
    the room that comes up before they hear of each other. Of announcements
    that crossed on their way, the one with the lower id stays on every node.
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
    taken = len(engine.runs)
    if taken >= engine.slots:
        return False
    most = engine.memory_tokens * ADMISSION_FRACTION
    if demand.expected_tokens <= _SHORT_TOKENS:
        most = engine.memory_tokens * _SHORT_PART
    return max(add_curves(held, curve)) <= most or not taken


def _expect_wait(engine: Engine, held: Curve, curve: Curve) -> float:
    most = engine.memory_tokens * ADMISSION_FRACTION
    found = find_room_time(held, curve, most)
    return HORIZONS[-1] if found is None else max(found, HORIZONS[1])


def _rate(
    engine: Engine,
    after: Curve,
    home: DataCentreId,
    pace: float,
) -> float:
    """Return how much a request would suffer here; less is better."""
    part = max(after) / engine.memory_tokens
    backlog = sum(
        run.prompt_tokens for run in engine.runs if run.age < _PREFILL_SECONDS
    )
    waits = backlog / PREFILL_TOKENS_PER_SECOND / _BACKLOG_SECONDS
    is_remote = engine.data_centre != home
    return part + waits + engine.penalty + is_remote * _REMOTE_PART
