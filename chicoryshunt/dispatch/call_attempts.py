"""Decides when a call is sent to another target, and which answer it gets."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from chicoryshunt.types import TargetId

# Share of the target latency after which a second attempt starts beside the
# first, so that it can still answer within the target latency.
_HEDGE_LATENCY_SHARE = 0.6
_MIN_HEDGE_SECONDS = 0.05
# More attempts at once add load without making an answer much more likely.
_MAX_OPEN = 2
# Each refusal excludes a target; this many mean that all targets are full.
_MAX_REFUSALS = 4


class AttemptEnd(Enum):
    """How an attempt ended; ``failed`` is a complete answer of 500 or above.

    ``lost``: it may have run, but there is no answer.
    """

    answered = 'answered'
    failed = 'failed'
    lost = 'lost'
    not_run = 'not_run'
    not_sent = 'not_sent'


class Responder(Enum):
    """Which attempt answered a call that was hedged."""

    first = 'first'
    second = 'second'
    neither = 'neither'


@dataclass(frozen=True, slots=True)
class AttemptLimits:
    """What the route of a call allows; ``target_latency`` is in seconds."""

    target_latency: float
    max_attempts: int
    is_repeatable: bool

    @property
    def max_runs(self) -> int:
        """Return how many targets may run the call."""
        return max(self.max_attempts, 1) if self.is_repeatable else 1


class CallAttempts:
    """Attempts at one call; times are in monotonic seconds.

    Load pattern: some answers take longer than most of the target latency. A
    first attempt that is cancelled then loses its answer, and the call fails
    if the retry budget or the targets are exhausted.
    """

    def __init__(self, limits: AttemptLimits) -> None:
        """Start without attempts."""
        self.tried: list[TargetId] = []
        self._limits = limits
        self._hedge_seconds = max(
            limits.target_latency * _HEDGE_LATENCY_SHARE, _MIN_HEDGE_SECONDS
        )
        self._started: dict[TargetId, float] = {}
        self._hedges: set[TargetId] = set()
        self._answered: TargetId | None = None
        self._runs = 0
        self._refusals = 0
        self._was_sent = False
        self._earliest = float('-inf')

    @property
    def is_answered(self) -> bool:
        """Return whether an attempt got a complete answer below 500."""
        return self._answered is not None

    @property
    def responder(self) -> Responder | None:
        """Return which attempt answered, ``None`` if the call had no hedge."""
        if not self._hedges:
            return None
        if self._answered is None:
            return Responder.neither
        is_second = self._answered in self._hedges
        return Responder.second if is_second else Responder.first

    @property
    def is_retry(self) -> bool:
        """Return whether another attempt would be a retry.

        It is not after an attempt whose target never received the call: no
        target gets more calls by it, and a retry that was spent for that
        attempt still counts.
        """
        return bool(self._started) or self._was_sent

    def find_start(self) -> float | None:
        """Return when the next attempt may start, ``None`` for not at all.

        Open attempts count as runs, since they may have run.
        """
        runs = self._runs + len(self._started)
        if (
            self.is_answered
            or self._refusals >= _MAX_REFUSALS
            or runs >= self._limits.max_runs
            or len(self._started) >= _MAX_OPEN
        ):
            return None
        return self._earliest

    def start(self, target: TargetId, now: float) -> None:
        """Record that an attempt starts."""
        if self._started:
            self._hedges.add(target)
        self.tried.append(target)
        self._started[target] = now
        self.postpone(now)

    def postpone(self, now: float) -> None:
        """Put the next attempt off, as there is no target or no budget."""
        self._earliest = now + self._hedge_seconds

    def end(self, target: TargetId, end: AttemptEnd) -> None:
        """Record how an attempt ended; after a failure the next may start."""
        self._started.pop(target)
        self._earliest = float('-inf')
        self._was_sent = end is not AttemptEnd.not_sent
        match end:
            case AttemptEnd.not_run | AttemptEnd.not_sent:
                self._refusals += 1
            case AttemptEnd.answered if not self.is_answered:
                self._answered = target
                self._runs += 1
            case _:
                self._runs += 1

    def list_silent(self, now: float) -> Iterator[TargetId]:
        """Yield open attempts that had the whole target latency to answer."""
        for target, started in self._started.items():
            if now - started >= self._limits.target_latency:
                yield target
