"""Measures the arrival times of one answer's tokens."""

from collections import Counter

_MS = 1000


class TokenTimings:
    """Tracks the time to the first token and the gaps between writes.

    Arguments are seconds of the loop's clock. ``gaps_ms`` counts gaps by
    their length in milliseconds. ``first_ms`` is ``None`` before the first
    token.
    """

    def __init__(self, started: float) -> None:
        """Start at the time of the request, ``started``."""
        self.first_ms: float | None = None
        self.gaps_ms: Counter[int] = Counter()
        self._last = started

    def record(self, now: float) -> None:
        """Record that tokens arrived at ``now``."""
        passed_ms = (now - self._last) * _MS
        self._last = now
        if self.first_ms is None:
            self.first_ms = passed_ms
        else:
            self.gaps_ms[round(passed_ms)] += 1
