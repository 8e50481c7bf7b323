"""Reads the events of one answer, on as many connections as it takes."""

import asyncio
from typing import Any, cast

import msgspec
from twisted.internet.protocol import Protocol

from chicoryshunt.caller.answer import Answer, Arrived, parse_run_state
from chicoryshunt.connection.caller_api import AnswerEnd
from chicoryshunt.connection.event_stream import (
    EventDecoder,
    FrameBuffer,
    StreamDamage,
)
from chicoryshunt.request.assembler import Arrival, Assembler
from chicoryshunt.types import GenerationId

_MAX_EVENT_BYTES = 1048576
_END = b'event: end\ndata: '
_DECODE = EventDecoder().decode


class AnswerStream:
    """One generation's answer and the position in it."""

    def __init__(self, answer: Answer, token: str) -> None:
        """Collect into the answer; the token resumes a cut stream."""
        self.answer = answer
        self.token = token
        self.assembler = Assembler(GenerationId(answer.generation))

    @property
    def next_index(self) -> int:
        """Return the index to resume from."""
        return self.assembler.next_index

    async def read(self, response: Any, silent_seconds: float) -> None:
        """Read one connection until its end or until it is silent."""
        reader = _EventReader(self, silent_seconds)
        response.deliverBody(reader)
        await reader.done

    def take(self, frame: bytes) -> bool:
        """Take one frame; say whether more of this connection is wanted."""
        if frame.startswith(_END):
            return self._take_end(frame[len(_END) :])
        event = _DECODE(frame)
        if event is None:
            return True
        if isinstance(event, StreamDamage):
            return False
        start = self.assembler.next_index
        match self.assembler.accept(event):
            case Arrival.fresh | Arrival.overlap:
                self._collect(event.t[start - event.i :])
            case Arrival.gap:
                return False
        return True

    def _collect(self, tokens: tuple[str, ...]) -> None:
        now = asyncio.get_running_loop().time()
        self.answer.arrivals.append(Arrived(now, len(tokens)))
        self.answer.tokens.extend(tokens)

    def _take_end(self, body: bytes) -> bool:
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
    """Cuts one connection into frames."""

    def __init__(self, stream: AnswerStream, silent_seconds: float) -> None:
        self._loop = asyncio.get_running_loop()
        self.done: asyncio.Future[None] = self._loop.create_future()
        self._stream = stream
        self._buffer = FrameBuffer(_MAX_EVENT_BYTES)
        self._silent_seconds = silent_seconds
        self._heard = self._loop.time()
        self._timer = self._loop.call_later(silent_seconds, self._check)

    def dataReceived(self, data: bytes) -> None:
        self._heard = self._loop.time()
        if self.done.done():
            return
        match self._buffer.cut(data):
            case list(frames):
                if not all(self._stream.take(frame) for frame in frames):
                    self._stop()
            case _:
                self._stop()

    def connectionLost(self, reason: object = None) -> None:
        self._stop()

    def _check(self) -> None:
        left = self._heard + self._silent_seconds - self._loop.time()
        if left <= 0:
            self._stop()
        else:
            self._timer = self._loop.call_later(left, self._check)

    def _stop(self) -> None:
        self._timer.cancel()
        if self.done.done():
            return
        self.done.set_result(None)
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()
