"""Reader of the events of an answer across several connections."""

import asyncio
from typing import Any, cast

import msgspec
from twisted.internet.protocol import Protocol

from chicoryshunt.caller.answer import Answer, TokenArrival, parse_run_state
from chicoryshunt.connection.caller_api import AnswerEnd
from chicoryshunt.connection.event_stream import (
    EventDecoder,
    FrameBuffer,
    StreamDamage,
)
from chicoryshunt.request.assembler import Arrival, Assembler
from chicoryshunt.types import GenerationId

_MAX_EVENT_BYTES = 1048576
_END_PREFIX = b'event: end\ndata: '
_DECODE = EventDecoder().decode


class AnswerStream:
    """Answer of a generation and the position in it."""

    def __init__(self, answer: Answer, token: str) -> None:
        """Collect tokens into ``answer``; ``token`` resumes the stream."""
        self.answer = answer
        self.token = token
        self.assembler = Assembler(GenerationId(answer.generation))

    @property
    def next_index(self) -> int:
        """Return the index to resume from."""
        return self.assembler.next_index

    async def read(self, response: Any, idle_seconds: float) -> None:
        """Read a connection until it ends or is idle for too long."""
        reader = _EventReader(self, idle_seconds)
        response.deliverBody(reader)
        await reader.done

    def handle_frame(self, frame: bytes) -> bool:
        """Process a frame; return whether to read on from its connection."""
        if frame.startswith(_END_PREFIX):
            return self._handle_end(frame[len(_END_PREFIX) :])
        event = _DECODE(frame)
        if event is None:
            return True
        if isinstance(event, StreamDamage):
            return False
        start = self.assembler.next_index
        match self.assembler.accept(event):
            case Arrival.fresh | Arrival.overlap:
                self._append_tokens(event.t[start - event.i :])
            case Arrival.gap:
                return False
        return True

    def _append_tokens(self, tokens: tuple[str, ...]) -> None:
        now = asyncio.get_running_loop().time()
        self.answer.arrivals.append(TokenArrival(now, len(tokens)))
        self.answer.tokens.extend(tokens)

    def _handle_end(self, body: bytes) -> bool:
        try:
            end = msgspec.json.decode(body, type=AnswerEnd)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return False
        if end.tokens == self.next_index:
            self.answer.ending = end.ending
            self.answer.verdict = parse_run_state(end.verdict)
            self.answer.reason = end.reason
            self.answer.detail = end.detail
        return False


class _EventReader(Protocol):
    """Splits the bytes of one connection into frames."""

    def __init__(self, stream: AnswerStream, idle_seconds: float) -> None:
        self._loop = asyncio.get_running_loop()
        self.done: asyncio.Future[None] = self._loop.create_future()
        self._stream = stream
        self._buffer = FrameBuffer(_MAX_EVENT_BYTES)
        self._idle_seconds = idle_seconds
        self._received_at = self._loop.time()
        self._timer = self._loop.call_later(idle_seconds, self._check_idle)

    def dataReceived(self, data: bytes) -> None:
        self._received_at = self._loop.time()
        if self.done.done():
            return
        match self._buffer.feed(data):
            case list(frames):
                if not all(
                    self._stream.handle_frame(frame) for frame in frames
                ):
                    self._stop()
            case _:
                self._stop()

    def connectionLost(self, reason: object = None) -> None:
        self._stop()

    def _check_idle(self) -> None:
        remaining = self._received_at + self._idle_seconds - self._loop.time()
        if remaining <= 0:
            self._stop()
        else:
            self._timer = self._loop.call_later(remaining, self._check_idle)

    def _stop(self) -> None:
        self._timer.cancel()
        if self.done.done():
            return
        self.done.set_result(None)
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()
