"""The caller's side of one generation: held back or streamed."""

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
    """Where the relay of one generation writes to."""

    flow_control: FlowControl

    @property
    def is_delivered(self) -> bool:
        """Say whether the caller may have tokens of this answer."""

    async def wait_disconnected(self) -> None:
        """Return when the caller is lost."""

    def may_announce(self, generation: GenerationId) -> bool:
        """Say whether tokens of a generation may follow what was sent."""

    def announce(self, generation: GenerationId, token: str) -> None:
        """Name the generation whose frames follow, and how to resume it."""

    def write(self, frames: bytes) -> None:
        """Pass on or hold back whole frames."""

    def abort(self) -> None:
        """Cut the caller's connection."""


class BufferBudget:
    """Memory for answers that are held back, shared by the process."""

    def __init__(self, answer_bytes: int, total_bytes: int) -> None:
        """Bound one answer and all of them together."""
        self._answer_bytes = answer_bytes
        self._left = total_bytes

    def reserve(self, size: int, held: int) -> bool:
        """Reserve more for an answer that holds some; say if it fits."""
        if size > self._left or held + size > self._answer_bytes:
            return False
        self._left -= size
        return True

    def release(self, size: int) -> None:
        """Return what was reserved."""
        self._left += size


class Sink:
    """Passes frames on to a caller.

    With a budget, frames are held back until the end, so that a lost engine
    costs no answer. What does not fit into the budget is streamed.
    """

    def __init__(
        self,
        exchange: Exchange,
        budget: BufferBudget | None = None,
    ) -> None:
        """Answer the exchange."""
        self.flow_control = FlowControl()
        self._loop = asyncio.get_running_loop()
        self.timings = TokenTimings(self._loop.time())
        self._exchange = exchange
        self._budget = budget
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._generation: GenerationId | None = None

    @property
    def is_delivered(self) -> bool:
        """Say whether the caller may have tokens of this answer."""
        return self._exchange.is_started

    @property
    def is_disconnected(self) -> bool:
        """Say whether the caller's connection is lost."""
        return self._exchange.is_disconnected

    async def wait_disconnected(self) -> None:
        """Return when the caller's connection is lost."""
        await self._exchange.wait_disconnected()

    def may_announce(self, generation: GenerationId) -> bool:
        """Say whether tokens of a generation may follow what was sent."""
        return not self.is_delivered or self._generation == generation

    def announce(
        self,
        generation: GenerationId,
        token: str,
        valve: FlowControl | None = None,
    ) -> None:
        """Name the generation whose frames follow, and how to resume it.

        ``valve`` holds back the engine that the frames come from.
        """
        if valve is not None:
            self.flow_control = valve
        self._generation = generation
        self._exchange.set_header('content-type', 'text/event-stream')
        self._exchange.set_header('cache-control', 'no-store')
        self._exchange.set_header(GENERATION_HEADER, generation)
        self._exchange.set_header(RESUME_HEADER, token)
        self._exchange.set_verdict(RunState.ran)
        self._exchange.register_producer(self.flow_control)

    def write(self, frames: bytes) -> None:
        """Pass on or hold back whole frames."""
        self.timings.record(self._loop.time())
        if self._budget is None:
            self._exchange.write(frames)
        elif self._budget.reserve(len(frames), self._held_bytes):
            self._held.append(frames)
            self._held_bytes += len(frames)
        else:
            self._flush()
            self._budget = None
            self._exchange.write(frames)

    def discard(self) -> None:
        """Forget what is held back and the engine it came from."""
        self._drop_held()
        self._exchange.unregister_producer()

    def finish(self, end: AnswerEnd) -> None:
        """Send what is held back and the end of the answer."""
        self._flush()
        self._exchange.unregister_producer()
        self._exchange.write(encode_answer_end(end))
        self._exchange.finish()

    def respond_verdict(self, verdict: Verdict) -> None:
        """Answer with a verdict alone; nothing was delivered."""
        self.discard()
        for name in (GENERATION_HEADER, RESUME_HEADER):
            self._exchange.remove_header(name)
        self._exchange.respond_verdict(verdict)

    def abort(self) -> None:
        """Cut the caller's connection."""
        self._drop_held()
        self._exchange.abort()

    def _flush(self) -> None:
        held = self._drop_held()
        if held:
            self._exchange.write(held)

    def _drop_held(self) -> bytes:
        held = b''.join(self._held)
        self._held.clear()
        if self._budget is not None:
            self._budget.release(self._held_bytes)
        self._held_bytes = 0
        return held


def describe_end(
    tokens: int, ending: str, verdict: Verdict | None
) -> AnswerEnd:
    """Return the last event of an answer that was begun."""
    if verdict is None:
        return AnswerEnd(ending, tokens, RunState.ran.value)
    return AnswerEnd(
        INCOMPLETE,
        tokens,
        verdict.run.value,
        verdict.reason.value,
        verdict.detail,
    )
