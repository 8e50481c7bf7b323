"""Plans how the runs of a leaving engine are moved, within its notice."""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from chicoryshunt.dispatch.engines import Engine
from chicoryshunt.dispatch.forecast import (
    RunView,
    expect_remaining,
    forecast_engine,
    forecast_run,
)
from chicoryshunt.types import RequestId, TargetId

# Time between an engine's notice and its end, where it is not told.
DEFAULT_NOTICE_SECONDS = 1.5
# Two calls, the last tokens and the new connection, beside the copying. A
# copy that begins earlier delays the last tokens of the run before it; where
# that run is heard to have left, the next one does not wait so long.
_STEP_SECONDS = 0.1
# A copy to another data centre takes this many times as long.
_REMOTE_FACTOR = 2.0
# Part of a destination's memory that moved runs may fill.
_ROOM_PART = 0.95
# A run that ends by itself with this chance in time is moved last.
_NEARLY_DONE_PART = 0.6


@dataclass(frozen=True, slots=True)
class Link:
    """How fast engines copy memory to each other."""

    bytes_per_token: int
    bytes_per_second: float

    def measure_copy(self, tokens: float, *, is_remote: bool) -> float:
        """Return the seconds that copying some tokens takes."""
        seconds = tokens * self.bytes_per_token / self.bytes_per_second
        if is_remote:
            seconds *= _REMOTE_FACTOR
        return seconds


@dataclass(frozen=True, slots=True)
class Leaving:
    """One run on the leaving engine."""

    request: RequestId
    run: RunView


@dataclass(frozen=True, slots=True)
class Move:
    """Copy a run to an engine, which takes ``seconds``.

    It begins when the ``earlier`` runs have left, or ``after`` some seconds
    at the latest.
    """

    request: RequestId
    destination: TargetId
    after: float
    seconds: float
    earlier: frozenset[RequestId] = frozenset()

    def may_begin(self, present: Collection[RequestId]) -> bool:
        """Say whether all earlier runs have left the engine."""
        return self.earlier.isdisjoint(present)


@dataclass(slots=True)
class _Room:
    """What a destination can still take, in tokens and slots."""

    engine: Engine
    tokens: float
    tokens_now: float
    slots: int


def plan_moves(
    source: Engine,
    leaving: Iterable[Leaving],
    others: Sequence[Engine],
    link: Link,
    pace: float,
) -> list[Move]:
    """Return the moves in their order; every node plans the same ones.

    Load pattern: an engine is reclaimed a second or two after its notice,
    and its runs share one link. One run is finished before the next begins,
    so that those which were moved are safe whenever the engine ends.
    """
    rooms = [_measure_room(engine, pace) for engine in others]
    ordered = sorted(leaving, key=lambda one: _rank(one, pace))
    is_hurried = _measure_far(ordered, link, pace) > DEFAULT_NOTICE_SECONDS
    moves: list[Move] = []
    after: float = 0
    for one in ordered:
        room = _find_room(rooms, one.run, source, pace, is_hurried=is_hurried)
        if room is None:
            continue
        is_remote = room.engine.data_centre != source.data_centre
        held = one.run.count_held(pace)
        seconds = link.measure_copy(held, is_remote=is_remote) + _STEP_SECONDS
        moves.append(
            Move(
                one.request,
                room.engine.target,
                after,
                seconds,
                frozenset(move.request for move in moves),
            ),
        )
        after += seconds
    return moves


def find_turn(moves: Sequence[Move], request: RequestId) -> Move | None:
    """Return the move of a run that is planned later than the others.

    The others keep their turns, so it waits for all of them.
    """
    others = [one for one in moves if one.request != request]
    for move in moves:
        if move.request == request:
            return Move(
                request,
                move.destination,
                sum(one.seconds for one in others),
                move.seconds,
                frozenset(one.request for one in others),
            )
    return None


def _measure_far(leaving: Iterable[Leaving], link: Link, pace: float) -> float:
    """Return how long all moves to other data centres would take."""
    return sum(
        link.measure_copy(one.run.count_held(pace), is_remote=True)
        + _STEP_SECONDS
        for one in leaving
    )


def _rank(one: Leaving, pace: float) -> tuple[bool, float, RequestId]:
    """Order by what a second on the link saves; ended ones last."""
    remaining = expect_remaining(one.run, pace)
    window = DEFAULT_NOTICE_SECONDS * pace * _NEARLY_DONE_PART
    worth = one.run.count_produced(pace) + remaining
    saved = worth / max(one.run.count_held(pace), 1)
    return remaining < window, -saved, one.request


def _measure_room(engine: Engine, pace: float) -> _Room:
    held = forecast_engine(engine.runs, pace)
    most = engine.memory_tokens * _ROOM_PART
    return _Room(
        engine,
        most - max(held),
        most - held[0],
        engine.slots - len(engine.runs),
    )


def _find_room(
    rooms: Sequence[_Room],
    run: RunView,
    source: Engine,
    pace: float,
    *,
    is_hurried: bool,
) -> _Room | None:
    """Return the room of a run: one that lasts, or one for the present.

    A lost answer is worse than a preemption that may come later. Where the
    notice is too short for copies to other data centres, a near engine with
    room for the present goes before a far one with room that lasts.
    """
    need = max(forecast_run(run, pace))
    held = run.count_held(pace)
    now = [room for room in rooms if room.slots and room.tokens_now >= held]
    # An engine refuses at once what it has no room for.
    now = now or [room for room in rooms if room.slots]
    lasting = [room for room in now if room.tokens >= need]
    home = source.data_centre
    near = [room for room in now if room.engine.data_centre == home]
    fitting = (is_hurried and near) or lasting or now
    if not fitting:
        return None
    chosen = max(fitting, key=lambda room: _prefer(room, source))
    chosen.tokens -= need
    chosen.tokens_now -= held
    chosen.slots -= 1
    return chosen


def _prefer(room: _Room, source: Engine) -> tuple[bool, float, TargetId]:
    is_near = room.engine.data_centre == source.data_centre
    return is_near, room.tokens, room.engine.target
