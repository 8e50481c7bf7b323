"""Plans how the runs of leaving engines are moved, within their notice."""

import itertools
from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

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

    def estimate_copy_seconds(self, tokens: float, *, is_remote: bool) -> float:
        """Return the seconds that copying some tokens takes."""
        seconds = tokens * self.bytes_per_token / self.bytes_per_second
        if is_remote:
            seconds *= _REMOTE_FACTOR
        return seconds


@dataclass(frozen=True, slots=True)
class LeavingRun:
    """One run on the leaving engine."""

    request: RequestId
    run: RunView


@dataclass(frozen=True, slots=True)
class LeavingEngine:
    """A leaving engine and the runs that are still on it."""

    engine: Engine
    runs: tuple[LeavingRun, ...]


@dataclass(frozen=True, slots=True)
class Move:
    """Copy a run to an engine, which takes ``seconds``.

    It begins when the ``earlier`` runs have left their engines, or ``after``
    some seconds at the latest.
    """

    request: RequestId
    source: TargetId
    destination: TargetId
    after: float
    seconds: float
    earlier: frozenset[RequestId] = frozenset()

    def may_start(self, present: Collection[RequestId]) -> bool:
        """Say whether no earlier run is present on a leaving engine."""
        return self.earlier.isdisjoint(present)


@dataclass(slots=True)
class _Room:
    """What a destination can still take: tokens, slots, and from when.

    ``queue`` holds the runs that are copied to it, ``free_at`` the seconds
    until the last of them has arrived.
    """

    engine: Engine
    tokens: float
    tokens_now: float
    slots: int
    free_at: float = 0
    queue: list[RequestId] = field(default_factory=list)


@dataclass(slots=True)
class _Source:
    """A leaving engine while its moves are planned."""

    engine: Engine
    waiting: list[LeavingRun]
    is_hurried: bool
    free_at: float = 0
    queue: list[RequestId] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Planner:
    """Finds a destination and a turn for one run after the other."""

    rooms: tuple[_Room, ...]
    link: Link
    pace: float

    def plan(self, source: _Source, one: LeavingRun) -> Move | None:
        """Return the move of a run, and count what it takes."""
        room = self._find_room(source, one.run)
        if room is None:
            return None
        starts = max(source.free_at, room.free_at)
        copying = self._measure_copy(source, room, one.run)
        move = Move(
            one.request,
            source.engine.target,
            room.engine.target,
            starts,
            copying + _STEP_SECONDS,
            frozenset((*source.queue, *room.queue)),
        )
        source.free_at = starts + move.seconds
        source.queue.append(one.request)
        room.free_at = starts + copying
        room.queue.append(one.request)
        room.tokens -= max(forecast_run(one.run, self.pace))
        room.tokens_now -= one.run.count_held(self.pace)
        room.slots -= 1
        return move

    def _find_room(self, source: _Source, run: RunView) -> _Room | None:
        """Return the room of a run: one that lasts, or one for the present.

        A lost answer is worse than a preemption that may come later. Where
        the notice is too short for copies to other data centres, the copy
        that is done first is taken, whether or not its room lasts.
        """
        need = max(forecast_run(run, self.pace))
        held = run.count_held(self.pace)
        free = [room for room in self.rooms if room.slots]
        # An engine refuses at once what it has no room for.
        now = [room for room in free if room.tokens_now >= held] or free
        lasting = [room for room in now if room.tokens >= need]
        fitting = now if source.is_hurried else lasting or now
        return min(
            fitting,
            key=lambda room: self._rate(source, room, run),
            default=None,
        )

    def _rate(
        self,
        source: _Source,
        room: _Room,
        run: RunView,
    ) -> tuple[float, float, TargetId]:
        """Order rooms: the copy that is done first, then the emptiest.

        Time in which the link of the leaving engine stands idle counts twice,
        for the runs behind this one lose it as well.
        """
        idle = max(room.free_at - source.free_at, 0)
        seconds = self._measure_copy(source, room, run)
        return seconds + 2 * idle, -room.tokens, room.engine.target

    def _measure_copy(
        self,
        source: _Source,
        room: _Room,
        run: RunView,
    ) -> float:
        is_remote = room.engine.data_centre != source.engine.data_centre
        held = run.count_held(self.pace)
        return self.link.estimate_copy_seconds(held, is_remote=is_remote)


def plan_moves(
    departures: Iterable[LeavingEngine],
    others: Sequence[Engine],
    link: Link,
    pace: float,
) -> list[Move]:
    """Return the moves in their order; every node plans the same ones.

    Load pattern: several engines are reclaimed a second or two after their
    notice. The runs of each share its link, so one is finished before the
    next begins, and those which were moved are safe whenever the engine ends.
    Copies from two engines to the same one share that one's link and memory,
    so the engines are planned together, a run of each in turn.
    """
    rooms = tuple(_measure_room(engine, pace) for engine in others)
    planner = _Planner(rooms, link, pace)
    sources = [_order_runs(one, link, pace) for one in departures]
    sources.sort(key=lambda source: source.engine.target)
    planned = (planner.plan(*turn) for turn in _take_turns(sources))
    return [move for move in planned if move is not None]


def _take_turns(
    sources: Sequence[_Source],
) -> Iterator[tuple[_Source, LeavingRun]]:
    """Yield the first run of each engine, then the second of each."""
    rounds = itertools.zip_longest(*(source.waiting for source in sources))
    for runs in rounds:
        for source, one in zip(sources, runs, strict=True):
            if one is not None:
                yield source, one


def _order_runs(departure: LeavingEngine, link: Link, pace: float) -> _Source:
    ordered = sorted(departure.runs, key=lambda one: _rank(one, pace))
    is_hurried = _measure_far(ordered, link, pace) > DEFAULT_NOTICE_SECONDS
    return _Source(departure.engine, ordered, is_hurried)


def plan_last(moves: Sequence[Move], request: RequestId) -> Move | None:
    """Return the move of a run that is planned later than the others.

    The others of its engine keep their turns, so it waits for all of them.
    """
    own = next((one for one in moves if one.request == request), None)
    if own is None:
        return None
    others = [
        one
        for one in moves
        if one.source == own.source and one.request != request
    ]
    return Move(
        request,
        own.source,
        own.destination,
        sum(one.seconds for one in others),
        own.seconds,
        frozenset(one.request for one in others),
    )


def _measure_far(
    leaving: Iterable[LeavingRun], link: Link, pace: float
) -> float:
    """Return how long all moves to other data centres would take."""
    return sum(
        link.estimate_copy_seconds(one.run.count_held(pace), is_remote=True)
        + _STEP_SECONDS
        for one in leaving
    )


def _rank(one: LeavingRun, pace: float) -> tuple[bool, float, RequestId]:
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
