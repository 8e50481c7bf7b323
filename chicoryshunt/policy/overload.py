"""Refuses requests early that would wait too long in the queue."""

from dataclasses import dataclass

from chicoryshunt.types import Seconds

_WINDOW_SECONDS = 10
_MIN_RETRY_SECONDS = 0.5
_MAX_RETRY_SECONDS = 30


@dataclass(frozen=True, slots=True)
class WaitAccepted:
    """The expected wait is acceptable."""

    expected_wait: Seconds


@dataclass(frozen=True, slots=True)
class WaitTooLong:
    """The expected wait is longer than the request may be queued."""

    expected_wait: Seconds
    queue_timeout: Seconds
    retry_after: Seconds


class DrainRate:
    """Tracks how much work leaves the queue per second while requests wait."""

    def __init__(self) -> None:
        """Create a rate without observations."""
        self._work: float = 0
        self._seconds: float = 0
        self._last: float | None = None

    def record(self, work: float, now: float, *, is_waiting: bool) -> None:
        """Record work taken from the queue, and time if requests wait."""
        if self._last is not None and is_waiting:
            elapsed = max(now - self._last, 0)
            remaining_weight = max(1 - elapsed / _WINDOW_SECONDS, 0)
            self._work = self._work * remaining_weight + work
            self._seconds = self._seconds * remaining_weight + elapsed
        self._last = now

    def predict_wait(self, work_ahead: float) -> Seconds:
        """Return the seconds to serve the work ahead, 0 if unknown."""
        if self._seconds * 2 < 1 or self._work <= 0:
            return Seconds(0)
        return Seconds(work_ahead * self._seconds / self._work)


def check_wait(
    expected_wait: Seconds,
    queue_timeout: Seconds,
) -> WaitAccepted | WaitTooLong:
    """Decide whether to queue a request or refuse it at once."""
    if expected_wait <= queue_timeout:
        return WaitAccepted(expected_wait)
    retry = min(
        max(expected_wait - queue_timeout, _MIN_RETRY_SECONDS),
        _MAX_RETRY_SECONDS,
    )
    return WaitTooLong(expected_wait, queue_timeout, Seconds(retry))
