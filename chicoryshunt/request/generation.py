"""Relays one generation from its engine's stream to the caller."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, cast

from chicoryshunt.connection.engine_client import EngineStream, ResumeFailure
from chicoryshunt.connection.target_api import GenerateOrder
from chicoryshunt.events import log_event
from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.request.assembler import Assembler
from chicoryshunt.request.cancels import CancelRetrier, Engine
from chicoryshunt.request.flow_control import Pausable
from chicoryshunt.request.reader import StopReason, StreamReader
from chicoryshunt.request.sequence import TokenSequence, check_end
from chicoryshunt.request.sink import AnswerSink
from chicoryshunt.request.stall import StallWatch
from chicoryshunt.request.takeovers import Takeovers
from chicoryshunt.types import GenerationId, Reason, RunState
from chicoryshunt.verdict import Verdict

_RESUME_ATTEMPTS = 5
_RESUME_PAUSE_SECONDS = 0.2
_MAX_SILENCE_SECONDS = 300.0
_WHOLE_ENDINGS = frozenset(('stop', 'length'))


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a relay; ``verdict`` is ``None`` if the answer is whole.

    ``tokens`` is the number of tokens that the stream has reached.
    ``delivered`` is true if the caller may have some of them.
    """

    tokens: int
    ending: str
    verdict: Verdict | None
    delivered: bool

    def may_restart(self, *, repeatable: bool) -> bool:
        """Return true if the request may be sent to another engine."""
        if self.verdict is None or self.delivered:
            return False
        match self.verdict.reason:
            case Reason.target_unreachable | Reason.target_refused:
                return repeatable or self.verdict.run is RunState.not_run
            case (
                Reason.engine_lost
                | Reason.engine_garbled
                | Reason.unknown_generation
            ):
                return repeatable
            case _:
                return False


@dataclass(frozen=True, slots=True)
class RelayLimits:
    """Largest size of an event and time for a lost caller to resume."""

    event_bytes: int
    caller_grace_seconds: float


@dataclass(frozen=True, slots=True)
class GenerationContext:
    """Objects that all generations of a process share."""

    watch: StallWatch
    takeovers: Takeovers
    cancels: CancelRetrier
    limits: RelayLimits
    invariants: InvariantChecker


class Generation:
    """Streams one generation and resumes it when its connection breaks."""

    def __init__(
        self,
        context: GenerationContext,
        engine: Engine,
        sink: AnswerSink,
        make_token: Callable[[GenerationId], str],
    ) -> None:
        """Create the relay between an engine and a caller.

        ``make_token`` returns the resume token of a generation.
        """
        self._context = context
        self._engine = engine
        self._sink = sink
        self._make_token = make_token
        self._assembler = Assembler(GenerationId(''))
        self._sequence = TokenSequence()
        self._failures = 0
        self._progress_at = asyncio.get_running_loop().time()

    @property
    def position(self) -> int:
        """Return the index of the next token."""
        return self._assembler.next_index

    async def start(self, order: GenerateOrder) -> Outcome:
        """Start the generation and relay it until it ends or fails."""
        stream = await self._engine.start(order)
        if isinstance(stream, Verdict):
            return self._conclude(stream)
        return await self._relay_from(stream, 0)

    async def resume(self, generation: GenerationId, index: int) -> Outcome:
        """Relay a generation that was started before, from ``index`` on."""
        self._reset_position(generation, index)
        stream = await self._reconnect('caller')
        if isinstance(stream, Verdict):
            return self._conclude(self._cancel_on_failure(stream))
        return await self._relay_from(stream, index)

    async def _relay_from(self, stream: EngineStream, index: int) -> Outcome:
        generation = stream.generation
        self._reset_position(generation, index)
        if self._would_mix(generation):
            return self._conclude(
                self._cancel_on_failure(self._build_mix_verdict())
            )
        self._sink.announce(generation, self._make_token(generation))
        with self._context.takeovers.track(generation) as taken:
            follower = asyncio.ensure_future(self._follow(stream))
            try:
                verdict = await self._wait_end(follower, taken)
            finally:
                follower.cancel()
        return self._conclude(verdict)

    def _reset_position(self, generation: GenerationId, index: int) -> None:
        self._assembler = Assembler(generation, index)
        self._sequence = TokenSequence(index)

    def _would_mix(self, generation: GenerationId) -> bool:
        """Return true if the caller has tokens of another generation."""
        return not self._context.invariants.check(
            Invariant.token_once,
            self._sink.may_announce(generation),
            generation=generation,
        )

    def _build_mix_verdict(self) -> Verdict:
        return self._build_incomplete(
            Reason.internal_error,
            'the answer has begun with another generation',
        )

    async def _wait_end(
        self,
        follower: 'asyncio.Future[Verdict | None]',
        taken: asyncio.Event,
    ) -> Verdict | None:
        """Wait for the end of the stream, a disconnect or a takeover."""
        await self._wait_first(follower, taken)
        if taken.is_set():
            return self._end_taken_over()
        if follower.done():
            return self._cancel_on_failure(follower.result())
        follower.cancel()
        return await self._handle_disconnect(taken)

    async def _wait_first(
        self,
        follower: 'asyncio.Future[Verdict | None]',
        taken: asyncio.Event,
    ) -> None:
        taking = asyncio.ensure_future(taken.wait())
        leaving = asyncio.ensure_future(self._sink.wait_disconnected())
        waits: list[asyncio.Future[Any]] = [follower, taking, leaving]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            taking.cancel()
            leaving.cancel()

    def _end_taken_over(self) -> Verdict:
        self._sink.abort()
        return Verdict(
            RunState.ran,
            Reason.resumed_elsewhere,
            'the caller resumed on another connection',
        )

    async def _handle_disconnect(self, taken: asyncio.Event) -> Verdict:
        """Cancel the generation unless the caller resumes in time.

        Only a caller that may have tokens is given time to resume.
        """
        if self._sink.is_delivered:
            grace = self._context.limits.caller_grace_seconds
            with suppress(TimeoutError):
                await asyncio.wait_for(taken.wait(), grace)
                return self._end_taken_over()
        generation = self._assembler.generation
        if not await self._engine.cancel(generation):
            self._context.cancels.add(self._engine, generation)
        return Verdict(RunState.ran, Reason.cancelled, 'the caller is gone')

    def _cancel_on_failure(self, verdict: Verdict | None) -> Verdict | None:
        if verdict is not None:
            generation = self._assembler.generation
            self._context.cancels.add(self._engine, generation)
        return verdict

    async def _follow(self, stream: EngineStream) -> Verdict | None:
        """Read the stream, with resumes; return why it has no end, if so."""
        while True:
            stop = await self._read(stream)
            if stop is StopReason.end:
                return self._check_ending()
            failure = self._check_resumable(stop)
            if failure is not None:
                return failure
            resumed = await self._reconnect(stop.value)
            if isinstance(resumed, Verdict):
                return resumed
            stream = resumed

    def _check_resumable(self, stop: StopReason) -> Verdict | None:
        """Return why the stream can't be resumed, ``None`` if it can."""
        if stop in {StopReason.garbled, StopReason.oversized}:
            return self._build_incomplete(
                Reason.engine_garbled,
                f'{stop.value} event from the engine',
            )
        if stop in {StopReason.cut, StopReason.gap}:
            self._failures += 1
        silence = asyncio.get_running_loop().time() - self._progress_at
        if silence > _MAX_SILENCE_SECONDS:
            return self._build_incomplete(
                Reason.engine_lost,
                f'no token for {silence:.0f} s',
            )
        return None

    def _record_progress(self, index: int) -> None:
        is_ahead = self._assembler.next_index > index
        if is_ahead or self._sink.flow_control.is_paused:
            self._progress_at = asyncio.get_running_loop().time()
            self._failures = 0

    async def _read(self, stream: EngineStream) -> StopReason:
        reader = StreamReader(
            self._assembler,
            self._sequence,
            self._sink,
            self._context.limits.event_bytes,
        )
        index = self._assembler.next_index
        self._context.watch.add(reader)
        stream.response.deliverBody(reader)
        if reader.transport is not None:
            self._sink.flow_control.attach(cast(Pausable, reader.transport))
        try:
            return await reader.stopped
        finally:
            self._close(reader)
            self._record_progress(index)

    def _close(self, reader: StreamReader) -> None:
        self._sink.flow_control.detach()
        self._context.watch.discard(reader)
        reader.close()

    async def _reconnect(self, reason: str) -> EngineStream | Verdict:
        generation = self._assembler.generation
        index = self._assembler.next_index
        log_event(
            'generation_resumed',
            generation=generation,
            index=index,
            reason=reason,
        )
        while self._failures <= _RESUME_ATTEMPTS:
            pauses = max(0, self._failures - 1)
            await asyncio.sleep(_RESUME_PAUSE_SECONDS * pauses)
            stream = await self._engine.resume(generation, index)
            if isinstance(stream, EngineStream):
                return stream
            if stream is ResumeFailure.unknown:
                return self._build_incomplete(
                    Reason.unknown_generation,
                    f'the engine does not know generation {generation}',
                )
            self._failures += 1
        return self._build_incomplete(
            Reason.engine_lost,
            f'the engine did not answer {_RESUME_ATTEMPTS} times',
        )

    def _check_ending(self) -> Verdict | None:
        ending = self._assembler.ending
        if ending in _WHOLE_ENDINGS:
            return None
        return self._build_incomplete(
            Reason.cancelled,
            f'the engine ended the generation with {ending!r}',
        )

    def _build_incomplete(self, reason: Reason, detail: str) -> Verdict:
        tokens = self._assembler.next_index
        return Verdict(
            RunState.ran,
            reason,
            f'incomplete after {tokens} tokens: {detail}',
        )

    def _conclude(self, verdict: Verdict | None) -> Outcome:
        invariants = self._context.invariants
        return Outcome(
            self._assembler.next_index,
            self._assembler.ending,
            check_end(invariants, self._assembler, self._sequence, verdict),
            self._sink.is_delivered,
        )
