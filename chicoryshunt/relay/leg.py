"""One leg of a stream: the exchange with the engine that serves it."""

import asyncio
import math
from dataclasses import dataclass
from typing import Protocol

from chicoryshunt.connection.event_stream import StreamDamage
from chicoryshunt.connection.upstream import (
    Answer,
    Body,
    BodyEnd,
    ConnectionLostError,
    NotSentError,
    OutgoingRequest,
    Upstream,
)
from chicoryshunt.dispatch.outliers import ExchangeOutcome
from chicoryshunt.dispatch.resume_time import StartTime
from chicoryshunt.fleet.facts import TargetFact
from chicoryshunt.relay.context import RelayContext
from chicoryshunt.relay.frames import EventReader
from chicoryshunt.relay.incoming import IncomingRequest
from chicoryshunt.relay.leg_watch import LegWatch
from chicoryshunt.relay.results import Delivered, Doubtful, NotRun
from chicoryshunt.relay.stream_inputs import (
    Input,
    LegEnd,
    LegEnded,
    LegEvent,
    LegId,
)
from chicoryshunt.relay.target_codec import AnswerKind, SendParams
from chicoryshunt.relay.write_gate import WriteGate

_MAX_FAILURE_BYTES = 1048576
# A failure is short; a longer wait would take time from another attempt.
_FAILURE_SECONDS = 1.0
# Bytes of an answer that are parsed without a turn for other requests.
_SLICE_BYTES = 2048
# A slice with more events than this is followed by a pause: engines write an
# event every few milliseconds.
_BURST_EVENTS = 32
_BURST_PAUSE_SECONDS = 0.01
# An engine may end a run for which there is no time for another event.
_LAST_EVENT_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The deadline of the caller has passed."""


InputQueue = asyncio.Queue[Input | DeadlinePassed]


@dataclass(frozen=True, slots=True)
class StallLimits:
    """Seconds without an event after which a leg has stalled.

    They apply until its first event and after it; ``None`` is no limit.
    """

    first: float | None
    later: float | None


class _Progress:
    """Time at which a leg has stalled, in seconds of the loop's clock."""

    def __init__(self, limits: StallLimits) -> None:
        self._limits = limits
        self.deadline = _add_seconds(limits.first)
        self.has_events = False

    def extend(self, seconds: float) -> None:
        """Move the deadline by a time in which the leg was not read."""
        if self.deadline is not None:
            self.deadline += seconds

    def restart(self) -> None:
        """Move the deadline after an event."""
        self.has_events = True
        self.deadline = _add_seconds(self._limits.later)


class LegObserver(Protocol):
    """Observer of a leg while its answer is read."""

    def record_events(self, count: int) -> None:
        """Record that events arrived."""

    def record_unread(self) -> None:
        """Record that the leg was not read, as its caller did not read."""

    def record_end(self, end: LegEnd) -> None:
        """Record how the answer ended."""

    def record_silence(self) -> None:
        """Record that the engine is silent, although the leg goes on."""

    def record_damage(self, outcome: ExchangeOutcome) -> None:
        """Record that the leg is given up because of its engine."""


@dataclass(slots=True)
class Leg:
    """An exchange with an engine; its events go to the queue of inputs.

    The engine was told to stop at ``runs_until``, in the loop's seconds.
    """

    id: LegId
    target: TargetFact
    upstream: Upstream
    observer: LegObserver
    runs_until: float = math.inf
    answer: Answer | None = None
    reader_task: asyncio.Task[None] | None = None

    def start(
        self, inputs: InputQueue, limits: StallLimits, gate: WriteGate
    ) -> None:
        """Start to queue every event, and then the end of the answer.

        Nothing is read while ``gate`` is closed.
        """
        if self.answer is not None:
            self.reader_task = asyncio.ensure_future(
                self._read_events(self.answer.body, inputs, limits, gate),
            )

    def close(self) -> None:
        """Close the connection, upon which the engine stops its run."""
        if self.reader_task is not None:
            self.reader_task.cancel()
        self.upstream.abort()

    async def _read_events(
        self,
        body: Body,
        inputs: InputQueue,
        limits: StallLimits,
        gate: WriteGate,
    ) -> None:
        """Read until the answer ends, is damaged or stalls.

        Only events count as progress: an engine that sends comments or parts
        of an event for ever has stalled.
        """
        reader = EventReader()
        progress = _Progress(limits)
        while True:
            await self._wait_open(gate, progress)
            piece = await _read_piece(body, progress.deadline)
            if piece is None:
                self._break_off(inputs, ExchangeOutcome.silent)
                return
            if isinstance(piece, BodyEnd):
                end = _classify_end(piece, reader, body, progress)
                self._end(inputs, self._correct_end(end))
                return
            if not await self._queue_events(
                piece, reader, progress, inputs, gate
            ):
                self._break_off(inputs, ExchangeOutcome.garbled)
                return

    async def _wait_open(self, gate: WriteGate, progress: _Progress) -> None:
        waited = await gate.wait_open()
        if waited:
            progress.extend(waited)
            self.observer.record_unread()

    async def _queue_events(
        self,
        piece: bytes,
        reader: EventReader,
        progress: _Progress,
        inputs: InputQueue,
        gate: WriteGate,
    ) -> bool:
        """Queue the events of a piece; return whether it is an answer's.

        Load pattern: an engine sends small events as fast as its connection
        takes them, and each costs this process more than it costs the engine.
        Other requests get a turn after each slice.
        """
        for start in range(0, len(piece), _SLICE_BYTES):
            if start:
                await asyncio.sleep(0)
                await self._wait_open(gate, progress)
            events = reader.feed(piece[start : start + _SLICE_BYTES])
            if isinstance(events, StreamDamage):
                return False
            event_count = sum(number is not None for number, _ in events)
            if event_count:
                progress.restart()
                self.observer.record_events(event_count)
            for number, frame in events:
                inputs.put_nowait(LegEvent(self.id, number, frame))
            if event_count > _BURST_EVENTS:
                await asyncio.sleep(_BURST_PAUSE_SECONDS)
        return True

    def _correct_end(self, end: LegEnd) -> LegEnd:
        """Return the end of an answer; the engine may have had to stop it."""
        now = asyncio.get_running_loop().time()
        is_late = now >= self.runs_until - _LAST_EVENT_SECONDS
        return LegEnd.cut if is_late and end is LegEnd.closed else end

    def _end(self, inputs: InputQueue, end: LegEnd) -> None:
        self.observer.record_end(end)
        inputs.put_nowait(LegEnded(self.id, end))

    def _break_off(self, inputs: InputQueue, outcome: ExchangeOutcome) -> None:
        """End the leg because of its engine, and close the connection."""
        self.observer.record_damage(outcome)
        self.upstream.abort()
        inputs.put_nowait(LegEnded(self.id, LegEnd.dropped))


async def _read_piece(
    body: Body, deadline: float | None
) -> bytes | BodyEnd | None:
    """Return the next piece of a body, ``None`` if none arrives in time."""
    try:
        async with asyncio.timeout_at(deadline):
            return await body.read()
    except TimeoutError:
        # If this process was paused, the piece may have arrived meanwhile.
        return await body.read() if body.is_readable else None


def _add_seconds(limit: float | None) -> float | None:
    now = asyncio.get_running_loop().time()
    return None if limit is None else now + limit


def _classify_end(
    end: BodyEnd, reader: EventReader, body: Body, progress: _Progress
) -> LegEnd:
    """Return how an answer ended.

    One that only the end of its connection delimits is cut if it has no event.
    """
    if end is BodyEnd.cut or not reader.is_between_events:
        return LegEnd.cut
    if body.is_framed:
        return LegEnd.whole
    return LegEnd.closed if progress.has_events else LegEnd.cut


async def open_leg(
    context: RelayContext,
    incoming: IncomingRequest,
    target: TargetFact,
    params: SendParams,
    start_time: StartTime,
    leg: LegId,
) -> Leg | Delivered | NotRun | Doubtful:
    """Send a request to an engine and return the leg once it answers.

    A new connection is opened for every leg: whether a reused one is still
    alive only shows after the request may have run.
    """
    try:
        upstream = await context.pool.open(target.address)
    except NotSentError as error:
        context.record_unreachable(target.target, error)
        return NotRun(target.target, str(error), was_sent=False)
    context.record_connected(target.target)
    outgoing = context.codec.encode(incoming, params)
    watch = LegWatch(
        context, incoming, target, params.team, leg, context.clock.now()
    )
    watch.measure_pace()
    opened: Leg | Delivered | NotRun | Doubtful
    opened = Doubtful(target.target, 'cancelled')
    try:
        opened = await _exchange(
            context,
            incoming,
            outgoing,
            start_time,
            Leg(
                leg,
                target,
                upstream,
                watch,
                asyncio.get_running_loop().time() + params.remaining,
            ),
            watch,
        )
    finally:
        if not isinstance(opened, Leg):
            upstream.abort()
    return opened


async def _exchange(
    context: RelayContext,
    incoming: IncomingRequest,
    outgoing: OutgoingRequest,
    start_time: StartTime,
    leg: Leg,
    watch: LegWatch,
) -> Leg | Delivered | NotRun | Doubtful:
    target = leg.target.target
    until = context.clock.now() + start_time.seconds
    try:
        answer = await leg.upstream.send(outgoing, start_time.seconds)
    except NotSentError as error:
        return NotRun(target, str(error))
    except ConnectionLostError as error:
        is_timeout = isinstance(error.__cause__, TimeoutError)
        if start_time.is_full or not is_timeout:
            context.record_outcome(target, ExchangeOutcome.silent)
        if not is_timeout:
            watch.record_cut()
        return Doubtful(target, str(error), is_timeout)
    watch.record_opened()
    leg.answer = answer
    remaining = max(until - context.clock.now(), 0)
    return await _classify_answer(context, incoming, leg, answer, remaining)


async def _classify_answer(
    context: RelayContext,
    incoming: IncomingRequest,
    leg: Leg,
    answer: Answer,
    seconds: float,
) -> Leg | Delivered | NotRun | Doubtful:
    target = leg.target.target
    answer_kind = context.codec.classify_answer(incoming, answer)
    match answer_kind:
        case AnswerKind.not_run | AnswerKind.other_target:
            context.record_outcome(target, ExchangeOutcome.failed)
            return NotRun(target, f'{answer_kind.value}: {answer.status}')
        case AnswerKind.foreign:
            context.record_outcome(target, ExchangeOutcome.garbled)
            return Doubtful(target, 'answer to another request')
    if answer.is_success:
        context.record_outcome(target, ExchangeOutcome.answered)
        return leg
    context.record_outcome(target, ExchangeOutcome.failed)
    body = await answer.body.read_all(
        _MAX_FAILURE_BYTES, min(seconds, _FAILURE_SECONDS)
    )
    if isinstance(body, bytes):
        return Delivered(target, answer.status, answer.headers, body)
    return Doubtful(target, 'failure is cut')
