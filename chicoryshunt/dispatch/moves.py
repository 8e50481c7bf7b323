"""Plans the migration of runs off engines that shut down."""

import itertools
from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from chicoryshunt.dispatch.engine_pace import MAX_EQUAL_RATIO
from chicoryshunt.dispatch.engines import MAX_BRIEF_TOKENS, Engine
from chicoryshunt.dispatch.forecast import (
    RunView,
    estimate_remaining,
    forecast_engine,
    forecast_run,
)
from chicoryshunt.types import RequestId, TargetId

# Time between the shutdown notice of an engine and its end, where the notice
# does not say.
DEFAULT_NOTICE_SECONDS = 1.5
# Time for two calls, the last tokens and the new connection, besides the copy.
# A copy that starts earlier delays the last tokens of the run before it. Once
# that run is known to have left, the next one starts without waiting longer.
_MOVE_OVERHEAD_SECONDS = 0.1
# A copy to another data centre takes this many times as long.
_REMOTE_COPY_FACTOR = 2.0
# Fraction of a destination's memory that may be filled.
_MEMORY_FRACTION = 0.95
# A run whose expected remaining time is below this fraction of the notice is
# moved last.
_NEARLY_DONE_FRACTION = 0.6


@dataclass(frozen=True, slots=True)
class Link:
    """Transfer rate of memory copies between engines."""

    bytes_per_token: int
    bytes_per_second: float

    def estimate_copy_seconds(self, tokens: float, *, is_remote: bool) -> float:
        """Return the seconds that a copy of some tokens takes."""
        seconds = tokens * self.bytes_per_token / self.bytes_per_second
        if is_remote:
            seconds *= _REMOTE_COPY_FACTOR
        return seconds


@dataclass(frozen=True, slots=True)
class LeavingRun:
    """A run on a leaving engine."""

    request: RequestId
    run: RunView


@dataclass(frozen=True, slots=True)
class LeavingEngine:
    """A leaving engine and the runs that remain on it."""

    engine: Engine
    runs: tuple[LeavingRun, ...]


@dataclass(frozen=True, slots=True)
class Move:
    """The planned copy of a run to another engine; it takes ``seconds``.

    It starts when the ``earlier`` runs have left their engines, and after
    ``after`` seconds at the latest.
    """

    request: RequestId
    source: TargetId
    destination: TargetId
    after: float
    seconds: float
    earlier: frozenset[RequestId] = frozenset()

    def may_start(self, present: Collection[RequestId]) -> bool:
        """Return whether no earlier run is present on a leaving engine."""
        return self.earlier.isdisjoint(present)


@dataclass(slots=True)
class _Destination:
    """A destination with its free tokens and slots.

    ``tokens`` is what is free over the whole forecast, ``tokens_now`` what is
    free at present. ``queue`` lists the runs that are to be copied to it, and
    ``free_at`` is the time in seconds when the last copy is done.
    """

    engine: Engine
    tokens: float
    tokens_now: float
    slots: int
    free_at: float = 0
    queue: list[RequestId] = field(default_factory=list)


@dataclass(slots=True)
class _Source:
    """A leaving engine and its runs, in the order in which they move.

    ``queue`` lists the runs whose moves are planned, and ``free_at`` is the
    time in seconds when the last of them is done.
    """

    engine: Engine
    pending: list[LeavingRun]
    is_short_notice: bool
    free_at: float = 0
    queue: list[RequestId] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Planner:
    """Assigns destinations and start times, one run at a time."""

    destinations: tuple[_Destination, ...]
    link: Link
    token_rate: float
    # The least slowness of the destinations.
    fastest: float

    def plan(self, source: _Source, one: LeavingRun) -> Move | None:
        """Return the move of a run and reserve what it needs."""
        candidate = self._find_destination(source, one.run)
        if candidate is None:
            return None
        start = max(source.free_at, candidate.free_at)
        copying = self._estimate_copy(source, candidate, one.run)
        move = Move(
            one.request,
            source.engine.target,
            candidate.engine.target,
            start,
            copying + _MOVE_OVERHEAD_SECONDS,
            frozenset((*source.queue, *candidate.queue)),
        )
        source.free_at = start + move.seconds
        source.queue.append(one.request)
        candidate.free_at = start + copying
        candidate.queue.append(one.request)
        candidate.tokens -= max(forecast_run(one.run, self.token_rate))
        candidate.tokens_now -= self._estimate_held(source, one.run)
        candidate.slots -= 1
        return move

    def _find_destination(
        self, source: _Source, run: RunView
    ) -> _Destination | None:
        """Return the destination of a run.

        Preferred are engines whose memory suffices for the whole forecast,
        then those that have room now, since a lost answer is worse than a
        possible preemption. If the notice is too short for copies to other
        data centres, any engine with room now will do, so that the fastest
        copy is chosen. Slow engines are used only if no other has room in
        time.
        """
        need = max(forecast_run(run, self.token_rate))
        held = self._estimate_held(source, run)
        free = [candidate for candidate in self.destinations if candidate.slots]
        # An engine immediately refuses a run that it has no room for.
        now = [
            candidate for candidate in free if candidate.tokens_now >= held
        ] or free
        now = self._avoid_slow(source, now, run)
        lasting = [candidate for candidate in now if candidate.tokens >= need]
        fitting = now if source.is_short_notice else lasting or now
        return min(
            fitting,
            key=lambda candidate: self._build_sort_key(source, candidate, run),
            default=None,
        )

    def _avoid_slow(
        self, source: _Source, fitting: list[_Destination], run: RunView
    ) -> list[_Destination]:
        """Return the destinations that are fast enough, or all of them.

        A lost answer is worse than a slow one, so a copy that is late for the
        notice does not go before one to a slow engine that is in time.
        """
        fast = [
            candidate
            for candidate in fitting
            if not self._is_too_slow(candidate.engine, run)
        ]
        if not fast or len(fast) == len(fitting):
            return fitting
        in_time = [
            candidate
            for candidate in fitting
            if self._is_in_time(source, candidate, run)
        ]
        is_fast_late = not any(
            self._is_in_time(source, candidate, run) for candidate in fast
        )
        return in_time if in_time and is_fast_late else fast

    def _is_in_time(
        self, source: _Source, candidate: _Destination, run: RunView
    ) -> bool:
        start = max(source.free_at, candidate.free_at)
        copying = self._estimate_copy(source, candidate, run)
        end = start + copying + _MOVE_OVERHEAD_SECONDS
        return end <= DEFAULT_NOTICE_SECONDS

    def _is_too_slow(self, engine: Engine, run: RunView) -> bool:
        is_slow = (
            engine.is_pace_known
            and engine.slowness > self.fastest * MAX_EQUAL_RATIO
            and run.expected_tokens > MAX_BRIEF_TOKENS
        )
        return is_slow or engine.has_long_gaps(run)

    def _estimate_held(self, source: _Source, run: RunView) -> float:
        return run.estimate_memory(self.token_rate / source.engine.slowness)

    def _build_sort_key(
        self,
        source: _Source,
        candidate: _Destination,
        run: RunView,
    ) -> tuple[float, float, TargetId]:
        """Return the sort key of a destination: fastest copy, most free memory.

        Time during which the link of the leaving engine is idle counts twice,
        because it delays the following runs as well.
        """
        idle = max(candidate.free_at - source.free_at, 0)
        seconds = self._estimate_copy(source, candidate, run)
        return seconds + 2 * idle, -candidate.tokens, candidate.engine.target

    def _estimate_copy(
        self,
        source: _Source,
        candidate: _Destination,
        run: RunView,
    ) -> float:
        is_remote = candidate.engine.data_centre != source.engine.data_centre
        held = self._estimate_held(source, run)
        return self.link.estimate_copy_seconds(held, is_remote=is_remote)


def plan_moves(
    leaving_engines: Iterable[LeavingEngine],
    others: Sequence[Engine],
    link: Link,
    token_rate: float,
) -> list[Move]:
    """Return the moves in order; the result is the same on every node.

    Several engines may be reclaimed together, a second or two after their
    notice. The runs of an engine share its link, so they are copied one after
    the other: runs already copied survive if the engine ends early. Copies
    from two engines to the same destination share its link and memory, so all
    engines are planned together, taking one run of each in turn.
    """
    destinations = tuple(
        _build_destination(engine, token_rate) for engine in others
    )
    fastest = min(
        (one.slowness for one in others if one.is_pace_known), default=1
    )
    planner = _Planner(destinations, link, token_rate, fastest)
    sources = [_build_source(one, link, token_rate) for one in leaving_engines]
    sources.sort(key=lambda source: source.engine.target)
    planned = (planner.plan(*turn) for turn in _interleave_runs(sources))
    return [move for move in planned if move is not None]


def _interleave_runs(
    sources: Sequence[_Source],
) -> Iterator[tuple[_Source, LeavingRun]]:
    """Yield the first run of each engine, then the second of each."""
    rounds = itertools.zip_longest(*(source.pending for source in sources))
    for runs in rounds:
        for source, one in zip(sources, runs, strict=True):
            if one is not None:
                yield source, one


def _build_source(
    leaving_engine: LeavingEngine, link: Link, token_rate: float
) -> _Source:
    token_rate /= leaving_engine.engine.slowness
    ordered = sorted(
        leaving_engine.runs,
        key=lambda one: _build_run_sort_key(one, token_rate),
    )
    is_short_notice = (
        _estimate_remote_moves(ordered, link, token_rate)
        > DEFAULT_NOTICE_SECONDS
    )
    return _Source(leaving_engine.engine, ordered, is_short_notice)


def plan_last(moves: Sequence[Move], request: RequestId) -> Move | None:
    """Return the move of a run, planned after all others of its engine.

    The other runs keep their start times. ``None`` if the run has no move.
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


def _estimate_remote_moves(
    leaving_runs: Iterable[LeavingRun], link: Link, token_rate: float
) -> float:
    """Return the seconds that moves to another data centre would take."""
    return sum(
        link.estimate_copy_seconds(
            one.run.estimate_memory(token_rate), is_remote=True
        )
        + _MOVE_OVERHEAD_SECONDS
        for one in leaving_runs
    )


def _build_run_sort_key(
    one: LeavingRun, token_rate: float
) -> tuple[bool, float, RequestId]:
    """Return the sort key of a run: most tokens saved per token copied.

    Runs that are about to end come last.
    """
    remaining = estimate_remaining(one.run, token_rate)
    window = DEFAULT_NOTICE_SECONDS * token_rate * _NEARLY_DONE_FRACTION
    saved_tokens = one.run.estimate_generated(token_rate) + remaining
    saved_per_token = saved_tokens / max(one.run.estimate_memory(token_rate), 1)
    return remaining < window, -saved_per_token, one.request


def _build_destination(engine: Engine, token_rate: float) -> _Destination:
    held = forecast_engine(engine.runs, token_rate / engine.slowness)
    limit = engine.memory_tokens * _MEMORY_FRACTION
    return _Destination(
        engine,
        limit - max(held),
        limit - held[0],
        engine.slots - len(engine.runs),
    )
