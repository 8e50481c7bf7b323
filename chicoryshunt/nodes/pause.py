"""Notices that the process itself was paused."""

from collections.abc import Callable

from chicoryshunt.clock import Clock

PAUSE_SECONDS = 1.0

PauseHandler = Callable[[float, float], None]


class Pulse:
    """Watches the gap between turns of the loop.

    Every entry point calls ``check`` before it acts, so that nothing is
    done on beliefs from before a pause.
    """

    def __init__(self, clock: Clock) -> None:
        """Start at the clock's present."""
        self._clock = clock
        self._last_check = clock.now()
        self._handlers: list[PauseHandler] = []

    def subscribe(self, wake: PauseHandler) -> None:
        """Call ``wake(now, paused_seconds)`` after each pause."""
        self._handlers.append(wake)

    def check(self) -> float:
        """Return the present, after telling of a pause if there was one."""
        now = self._clock.now()
        gap = now - self._last_check
        self._last_check = now
        if gap >= PAUSE_SECONDS:
            for wake in self._handlers:
                wake(now, gap)
        return now
