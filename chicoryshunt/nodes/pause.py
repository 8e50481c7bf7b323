"""Notices that the process itself was paused."""

from collections.abc import Callable

from chicoryshunt.clock import Clock

PAUSE_SECONDS = 1.0

Wake = Callable[[float, float], None]


class PauseDetector:
    """Watches the gap between turns of the loop.

    Every entry point calls ``check`` before it acts, so that nothing is
    done on beliefs from before a pause.
    """

    def __init__(self, clock: Clock) -> None:
        """Start at the clock's present."""
        self._clock = clock
        self._last = clock.now()
        self._wakes: list[Wake] = []

    def subscribe(self, wake: Wake) -> None:
        """Call ``wake(now, paused_seconds)`` after each pause."""
        self._wakes.append(wake)

    def check(self) -> float:
        """Return the present, after telling of a pause if there was one."""
        now = self._clock.now()
        gap = now - self._last
        self._last = now
        if gap >= PAUSE_SECONDS:
            for wake in self._wakes:
                wake(now, gap)
        return now
