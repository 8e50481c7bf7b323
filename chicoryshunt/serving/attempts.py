"""The starts of one request: on their way, and what became of them."""

import asyncio
from collections.abc import Coroutine, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from chicoryshunt.request.generation import Outcome
from chicoryshunt.request.race import Contender
from chicoryshunt.serving.scheduler import Permit
from chicoryshunt.types import RunState, TargetId


@dataclass(frozen=True, slots=True)
class Attempt:
    """One start of a generation; ``target`` is ``None`` if none took it.

    ``has_won`` says that the caller's answer is this one.
    """

    outcome: Outcome
    target: TargetId | None = None
    has_won: bool = False

    @property
    def is_refusal(self) -> bool:
        """Say whether the caller is told that it did not run."""
        verdict = self.outcome.verdict
        return verdict is not None and verdict.run is RunState.not_run


class PendingAttempt:
    """One start on its way, and the permit that it got."""

    def __init__(self, contender: Contender) -> None:
        """Start without a permit."""
        self.contender = contender
        self._permit: Permit | None = None
        self._permitted = asyncio.Event()

    def set_permit(self, permit: Permit) -> None:
        """Note the permit, right before the write."""
        self._permit = permit
        self._permitted.set()

    async def wait_permit(
        self,
        running: 'asyncio.Future[Attempt]',
    ) -> Permit | None:
        """Return the permit, or nothing if the start ends without one."""
        permitted = asyncio.ensure_future(self._permitted.wait())
        await asyncio.wait(
            (permitted, running),
            return_when=asyncio.FIRST_COMPLETED,
        )
        permitted.cancel()
        return self._permit


class AttemptGroup:
    """The starts of one request that are on their way."""

    def __init__(self) -> None:
        """Begin without starts."""
        self._running: list[asyncio.Future[Attempt]] = []

    def start(
        self,
        attempt: Coroutine[Any, Any, Attempt],
    ) -> 'asyncio.Future[Attempt]':
        """Run one more start."""
        running = asyncio.ensure_future(attempt)
        self._running.append(running)
        return running

    async def gather(self) -> list[Attempt]:
        """Return what became of every start."""
        return list(await asyncio.gather(*self._running))

    def cancel(self) -> None:
        """Stop what still runs."""
        for running in self._running:
            running.cancel()


@contextmanager
def run_attempts() -> Iterator[AttemptGroup]:
    """Yield starts that end with the block."""
    group = AttemptGroup()
    try:
        yield group
    finally:
        group.cancel()


def choose_final(attempts: Sequence[Attempt]) -> Attempt:
    """Return the start that has won, else what became of the first."""
    for attempt in attempts:
        if attempt.has_won:
            return attempt
    chosen = attempts[0]
    for later in attempts[1:]:
        chosen = choose_attempt(chosen, later)
    return chosen


def choose_attempt(first: Attempt, restarted: Attempt) -> Attempt:
    """Keep what was lost when the restart was refused.

    The first try may have run, so the refusal of the second is no answer.
    """
    may_have_run = restarted.is_refusal and not first.is_refusal
    return first if restarted.target is None or may_have_run else restarted
