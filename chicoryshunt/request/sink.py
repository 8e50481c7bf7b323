"""Writes one generation to its caller, buffered or streamed."""

import asyncio
from typing import Protocol

from chicoryshunt.connection.caller_api import (
    GENERATION_HEADER,
    INCOMPLETE,
    RESUME_HEADER,
    AnswerEnd,
    encode_answer_end,
)
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.request.flow_control import FlowControl
from chicoryshunt.request.token_timings import TokenTimings
from chicoryshunt.types import GenerationId, RunState
from chicoryshunt.verdict import Verdict


class AnswerSink(Protocol):
    """Destination of the relay of one generation."""

    flow_control: FlowControl

    @property
    def is_delivered(self) -> bool:
        """Return true if the caller may have tokens of this answer."""

    async def wait_disconnected(self) -> None:
        """Wait until the caller disconnects."""

    def may_announce(self, generation: GenerationId) -> bool:
        """Return true if this generation may follow what was sent."""

    def announce(self, generation: GenerationId, token: str) -> None:
        """Set the generation of the next frames and its resume token."""

    def write(self, frames: bytes) -> None:
        """Stream or buffer whole frames."""

    def abort(self) -> None:
        """Abort the caller's connection."""


class BufferBudget:
    """Limits the memory for buffered answers of the whole process."""

    def __init__(self, answer_bytes: int, total_bytes: int) -> None:
        """Set the limits of one answer and of all answers together."""
        self._answer_bytes = answer_bytes
        self._remaining_bytes = total_bytes

    def reserve(self, size: int, buffered: int) -> bool:
        """Reserve ``size`` bytes; return false if they exceed a limit.

        ``buffered`` is what the same answer has reserved before.
        """
        if size > self._remaining_bytes or buffered + size > self._answer_bytes:
            return False
        self._remaining_bytes -= size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self._remaining_bytes += size


class Sink:
    """Writes an answer to its caller.

    With a budget, frames are buffered until the end, so that the request can
    be restarted on another engine. An answer that exceeds the budget is
    streamed from then on.
    """

    def __init__(
        self,
        exchange: Exchange,
        budget: BufferBudget | None = None,
    ) -> None:
        """Create the sink of an exchange; buffer only with a budget."""
        self.flow_control = FlowControl()
        self._loop = asyncio.get_running_loop()
        self.timings = TokenTimings(self._loop.time())
        self._exchange = exchange
        self._budget = budget
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._generation: GenerationId | None = None

    @property
    def is_delivered(self) -> bool:
        """Return true if the caller may have tokens of this answer."""
        return self._exchange.is_started

    @property
    def is_disconnected(self) -> bool:
        """Return true if the caller has disconnected."""
        return self._exchange.is_disconnected

    async def wait_disconnected(self) -> None:
        """Wait until the caller disconnects."""
        await self._exchange.wait_disconnected()

    def may_announce(self, generation: GenerationId) -> bool:
        """Return true if this generation may follow what was sent."""
        return not self.is_delivered or self._generation == generation

    def announce(
        self,
        generation: GenerationId,
        token: str,
        flow_control: FlowControl | None = None,
    ) -> None:
        """Set the generation of the next frames and its resume token.

        ``flow_control`` pauses the engine that the frames come from.
        """
        if flow_control is not None:
            self.flow_control = flow_control
        self._generation = generation
        self._exchange.set_header('content-type', 'text/event-stream')
        self._exchange.set_header('cache-control', 'no-store')
        self._exchange.set_header(GENERATION_HEADER, generation)
        self._exchange.set_header(RESUME_HEADER, token)
        self._exchange.set_verdict(RunState.ran)
        self._exchange.register_producer(self.flow_control)

    def write(self, frames: bytes) -> None:
        """Stream or buffer whole frames."""
        self.timings.record(self._loop.time())
        if self._budget is None:
            self._exchange.write(frames)
        elif self._budget.reserve(len(frames), self._buffered_bytes):
            self._buffered.append(frames)
            self._buffered_bytes += len(frames)
        else:
            self._flush()
            self._budget = None
            self._exchange.write(frames)

    def discard(self) -> None:
        """Drop the buffered frames and detach the engine."""
        self._take_buffered()
        self._exchange.unregister_producer()

    def finish(self, end: AnswerEnd) -> None:
        """Send the buffered frames and the end of the answer."""
        self._flush()
        self._exchange.unregister_producer()
        self._exchange.write(encode_answer_end(end))
        self._exchange.finish()

    def respond_verdict(self, verdict: Verdict) -> None:
        """Answer with only a verdict; nothing may have been delivered."""
        self.discard()
        for name in (GENERATION_HEADER, RESUME_HEADER):
            self._exchange.remove_header(name)
        self._exchange.respond_verdict(verdict)

    def abort(self) -> None:
        """Drop the buffered frames and abort the caller's connection."""
        self._take_buffered()
        self._exchange.abort()

    def _flush(self) -> None:
        buffered = self._take_buffered()
        if buffered:
            self._exchange.write(buffered)

    def _take_buffered(self) -> bytes:
        buffered = b''.join(self._buffered)
        self._buffered.clear()
        if self._budget is not None:
            self._budget.release(self._buffered_bytes)
        self._buffered_bytes = 0
        return buffered


def describe_end(
    tokens: int, ending: str, verdict: Verdict | None
) -> AnswerEnd:
    """Return the last event of an answer that has started."""
    if verdict is None:
        return AnswerEnd(ending, tokens, RunState.ran.value)
    return AnswerEnd(
        INCOMPLETE,
        tokens,
        verdict.run.value,
        verdict.reason.value,
        verdict.detail,
    )
