"""Refuses early what would wait past its use."""

from dataclasses import dataclass

from chicoryshunt.types import Seconds

_MEMORY_SECONDS = 10
_LEAST_RETRY_SECONDS = 0.5
_MOST_RETRY_SECONDS = 30


@dataclass(frozen=True, slots=True)
class WaitAccepted:
    """The request is worth queueing."""

    expected_wait: Seconds


@dataclass(frozen=True, slots=True)
class WaitTooLong:
    """The request would be served after its patience ends."""

    expected_wait: Seconds
    queue_timeout: Seconds
    retry_after: Seconds


class DrainRate:
    """Work that leaves the queue in a second while requests wait."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._work: float = 0
        self._seconds: float = 0
        self._last: float | None = None

    def record(self, work: float, now: float, *, is_waiting: bool) -> None:
        """Count work taken from the queue, and time in which some waits."""
        if self._last is not None and is_waiting:
            passed = max(now - self._last, 0)
            kept = max(1 - passed / _MEMORY_SECONDS, 0)
            self._work = self._work * kept + work
            self._seconds = self._seconds * kept + passed
        self._last = now

    def predict_wait(self, work_ahead: float) -> Seconds:
        """Return how long it takes to serve the work ahead."""
        if self._seconds * 2 < 1 or self._work <= 0:
            return Seconds(0)
        return Seconds(work_ahead * self._seconds / self._work)


def check_wait(
    expected_wait: Seconds,
    patience: Seconds,
) -> WaitAccepted | WaitTooLong:
    """Decide whether a request should be queued or refused at once."""
    if expected_wait <= patience:
        return WaitAccepted(expected_wait)
    retry = min(
        max(expected_wait - patience, _LEAST_RETRY_SECONDS),
        _MOST_RETRY_SECONDS,
    )
    return WaitTooLong(expected_wait, patience, Seconds(retry))
