"""Reads one engine connection of a generation."""

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


class Stop(Enum):
    """Say why reading stopped."""

    end = 'end'
    cut = 'cut'
    stalled = 'stalled'
    gap = 'gap'
    garbled = 'garbled'
    oversized = 'oversized'


class StreamReader(Protocol):
    """Checks events of an engine and passes fresh ones to the caller."""

    def __init__(
        self,
        assembler: Assembler,
        passed: TokenSequence,
        sink: AnswerSink,
        max_event_bytes: int,
    ) -> None:
        """Read into the given assembler; count what is passed on."""
        self.stopped: asyncio.Future[Stop] = (
            asyncio.get_running_loop().create_future()
        )
        self.heard = False
        self._assembler = assembler
        self._passed = passed
        self._sink = sink
        self._buffer = FrameBuffer(max_event_bytes)

    @property
    def is_paused(self) -> bool:
        """Say whether the caller's slowness holds the engine back."""
        return self._sink.flow_control.is_paused

    def dataReceived(self, data: bytes) -> None:
        """Pass on the fresh events of a chunk."""
        self.heard = True
        if self.stopped.done():
            return
        frames = self._buffer.feed(data)
        if isinstance(frames, StreamDamage):
            self._stop(Stop.oversized)
        else:
            self._pass_on(frames)

    def connectionLost(self, reason: Any = None) -> None:
        """End the reading."""
        self._stop(Stop.cut)

    def stall(self) -> None:
        """End the reading, for the engine is silent."""
        self._stop(Stop.stalled)

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

    def _check(self, frame: bytes, fresh: list[bytes]) -> Stop | None:
        event = _DECODE(frame)
        if event is None:
            return None
        if isinstance(event, StreamDamage):
            return Stop.garbled
        start = self._assembler.next_index
        arrival = self._assembler.accept(event)
        if arrival is _FRESH:
            if not self._passed.accept(event.i, len(event.t)):
                return Stop.garbled
            fresh.append(frame)
            return None
        match arrival:
            case Arrival.overlap:
                count = event.i + len(event.t) - start
                if not self._passed.accept(start, count):
                    return Stop.garbled
                fresh.append(encode_tail(event, start))
            case Arrival.gap:
                return Stop.gap
            case Arrival.end:
                return Stop.end
        return None

    def _stop(self, stop: Stop) -> None:
        if not self.stopped.done():
            self.stopped.set_result(stop)
