"""Clocks, so that tests can replace the system time."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of the monotonic time."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""


class SystemClock:
    """System clock that also advances while the machine is suspended."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Clock that moves only when ``advance`` is called."""

    def __init__(self, start: float = 0) -> None:
        """Start at a time in seconds."""
        self._now = start

    def now(self) -> float:
        """Return the time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self._now += seconds
