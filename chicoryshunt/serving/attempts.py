"""Attempts to run one generation, and the choice among their results."""

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
    """Result of one attempt; ``target`` is ``None`` if none was assigned.

    ``has_won`` says that this attempt answers the caller.
    """

    outcome: Outcome
    target: TargetId | None = None
    has_won: bool = False

    @property
    def is_refusal(self) -> bool:
        """Return whether the verdict says that the request did not run."""
        verdict = self.outcome.verdict
        return verdict is not None and verdict.run is RunState.not_run


class PendingAttempt:
    """An attempt in progress, with its permit once it has one."""

    def __init__(self, contender: Contender) -> None:
        """Start without a permit."""
        self.contender = contender
        self._permit: Permit | None = None
        self._permitted = asyncio.Event()

    def set_permit(self, permit: Permit) -> None:
        """Set the permit, right before the request is sent."""
        self._permit = permit
        self._permitted.set()

    async def wait_permit(
        self,
        running: 'asyncio.Future[Attempt]',
    ) -> Permit | None:
        """Return the permit, or ``None`` if the attempt ends without one."""
        permitted = asyncio.ensure_future(self._permitted.wait())
        await asyncio.wait(
            (permitted, running),
            return_when=asyncio.FIRST_COMPLETED,
        )
        permitted.cancel()
        return self._permit


class AttemptGroup:
    """The concurrent attempts of one request."""

    def __init__(self) -> None:
        """Start without attempts."""
        self._running: list[asyncio.Future[Attempt]] = []

    def start(
        self,
        attempt: Coroutine[Any, Any, Attempt],
    ) -> 'asyncio.Future[Attempt]':
        """Run one more attempt concurrently."""
        running = asyncio.ensure_future(attempt)
        self._running.append(running)
        return running

    async def gather(self) -> list[Attempt]:
        """Return the results of all attempts, in the order of their start."""
        return list(await asyncio.gather(*self._running))

    def cancel(self) -> None:
        """Cancel the attempts that still run."""
        for running in self._running:
            running.cancel()


@contextmanager
def run_attempts() -> Iterator[AttemptGroup]:
    """Yield a group whose attempts are cancelled at the end of the block."""
    group = AttemptGroup()
    try:
        yield group
    finally:
        group.cancel()


def choose_final(attempts: Sequence[Attempt]) -> Attempt:
    """Return the attempt that has won, else combine them in order."""
    for attempt in attempts:
        if attempt.has_won:
            return attempt
    chosen = attempts[0]
    for later in attempts[1:]:
        chosen = choose_attempt(chosen, later)
    return chosen


def choose_attempt(first: Attempt, restarted: Attempt) -> Attempt:
    """Return the result that the caller is told after a second attempt.

    If the first attempt may have run, a refusal of the second must not tell
    the caller that the request did not run.
    """
    may_have_run = restarted.is_refusal and not first.is_refusal
    return first if restarted.target is None or may_have_run else restarted
