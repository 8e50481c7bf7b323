"""Detects that the process itself was paused."""

from collections.abc import Callable

from chicoryshunt.clock import Clock

PAUSE_SECONDS = 1.0

PauseHandler = Callable[[float, float], None]


class PauseDetector:
    """Detects pauses by the time between two calls of ``check``.

    Every entry point calls ``check`` before it acts, so that no decision
    rests on state from before a pause.
    """

    def __init__(self, clock: Clock) -> None:
        """Measure the first gap from the current time."""
        self._clock = clock
        self._last_check = clock.now()
        self._handlers: list[PauseHandler] = []

    def subscribe(self, handle: PauseHandler) -> None:
        """Call ``handle(now, paused_seconds)`` after each pause."""
        self._handlers.append(handle)

    def check(self) -> float:
        """Return the current time; call the subscribers first after a pause."""
        now = self._clock.now()
        gap = now - self._last_check
        self._last_check = now
        if gap >= PAUSE_SECONDS:
            for handle in self._handlers:
                handle(now, gap)
        return now
