"""Retries the cancellation of generations until their engine answers."""

import asyncio
from typing import Protocol

from chicoryshunt.connection.engine_client import EngineStream, ResumeFailure
from chicoryshunt.connection.target_api import GenerateOrder
from chicoryshunt.events import log_event, log_problem
from chicoryshunt.types import GenerationId
from chicoryshunt.verdict import Verdict

_ATTEMPTS = 8
_FIRST_PAUSE_SECONDS = 0.2
_MAX_CANCELS = 256


class Engine(Protocol):
    """Engine that runs a generation."""

    async def start(self, order: GenerateOrder) -> EngineStream | Verdict:
        """Start a generation and return its stream."""

    async def resume(
        self,
        generation: GenerationId,
        index: int,
    ) -> EngineStream | ResumeFailure:
        """Return the stream of a generation from a token index on."""

    async def cancel(self, generation: GenerationId) -> bool:
        """Stop a generation; return true if the engine answered."""


class CancelRetrier:
    """Retries cancellations in the background, a limited number at once."""

    def __init__(self) -> None:
        """Create a retrier without pending cancellations."""
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, engine: Engine, generation: GenerationId) -> None:
        """Start to cancel a generation, with retries until it is answered.

        The cancellation is dropped if too many are pending.
        """
        if len(self._tasks) >= _MAX_CANCELS:
            log_problem('cancel_dropped', generation=generation)
            return
        task = asyncio.ensure_future(_cancel(engine, generation))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _cancel(engine: Engine, generation: GenerationId) -> None:
    pause = _FIRST_PAUSE_SECONDS
    for _ in range(_ATTEMPTS):
        if await engine.cancel(generation):
            log_event('generation_cancelled', generation=generation)
            return
        await asyncio.sleep(pause)
        pause *= 2
    log_problem('cancel_failed', generation=generation)
