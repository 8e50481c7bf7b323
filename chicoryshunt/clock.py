"""Time as the program sees it, replaceable in tests."""

import time
from typing import Protocol


class Clock(Protocol):
    """Tell the monotonic time in seconds."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""


class SystemClock:
    """Clock of the running machine, which also counts suspended time."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Clock that moves only when it is told to."""

    def __init__(self, start: float = 0) -> None:
        """Start the clock at the given second."""
        self._now = start

    def now(self) -> float:
        """Return the time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self._now += seconds
