"""Reads the events of a generation from one engine connection."""

import asyncio
from enum import Enum
from typing import Any, cast

from twisted.internet.protocol import Protocol

from chicoryshunt.connection.event_stream import (
    EventDecoder,
    FrameBuffer,
    StreamDamage,
    encode_tail,
    join_frames,
)
from chicoryshunt.request.assembler import Arrival, Assembler
from chicoryshunt.request.sequence import TokenSequence
from chicoryshunt.request.sink import AnswerSink

_DECODE = EventDecoder().decode
_FRESH = Arrival.fresh


class StopReason(Enum):
    """Reason why reading stopped."""

    end = 'end'
    cut = 'cut'
    stalled = 'stalled'
    gap = 'gap'
    garbled = 'garbled'
    oversized = 'oversized'


class StreamReader(Protocol):
    """Checks an engine's events and writes the new ones to the sink.

    ``has_received`` is set on each chunk and cleared by the stall watch.
    """

    def __init__(
        self,
        assembler: Assembler,
        passed: TokenSequence,
        sink: AnswerSink,
        max_event_bytes: int,
    ) -> None:
        """Create a reader that goes on from the assembler's position.

        ``passed`` checks the sequence of the tokens that are written.
        """
        self.stopped: asyncio.Future[StopReason] = (
            asyncio.get_running_loop().create_future()
        )
        self.has_received = False
        self._assembler = assembler
        self._sequence = passed
        self._sink = sink
        self._buffer = FrameBuffer(max_event_bytes)

    @property
    def is_paused(self) -> bool:
        """Return true if reading is paused because the caller is slow."""
        return self._sink.flow_control.is_paused

    def dataReceived(self, data: bytes) -> None:
        """Write the new tokens of a chunk to the sink."""
        self.has_received = True
        if self.stopped.done():
            return
        frames = self._buffer.feed(data)
        if isinstance(frames, StreamDamage):
            self._stop(StopReason.oversized)
        else:
            self._pass_on(frames)

    def connectionLost(self, reason: Any = None) -> None:
        """Stop reading because the connection is closed."""
        self._stop(StopReason.cut)

    def stall(self) -> None:
        """Stop reading because nothing arrives from the engine."""
        self._stop(StopReason.stalled)

    def close(self) -> None:
        """Close the connection to the engine."""
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()

    def _pass_on(self, frames: list[bytes]) -> None:
        fresh: list[bytes] = []
        for frame in frames:
            stop = self._check(frame, fresh)
            if stop is not None:
                self._stop(stop)
                break
        if fresh:
            self._sink.write(join_frames(fresh))

    def _check(self, frame: bytes, fresh: list[bytes]) -> StopReason | None:
        event = _DECODE(frame)
        if event is None:
            return None
        if isinstance(event, StreamDamage):
            return StopReason.garbled
        start = self._assembler.next_index
        arrival = self._assembler.accept(event)
        if arrival is _FRESH:
            if not self._sequence.accept(event.i, len(event.t)):
                return StopReason.garbled
            fresh.append(frame)
            return None
        match arrival:
            case Arrival.overlap:
                count = event.i + len(event.t) - start
                if not self._sequence.accept(start, count):
                    return StopReason.garbled
                fresh.append(encode_tail(event, start))
            case Arrival.gap:
                return StopReason.gap
            case Arrival.end:
                return StopReason.end
        return None

    def _stop(self, stop: StopReason) -> None:
        if not self.stopped.done():
            self.stopped.set_result(stop)
