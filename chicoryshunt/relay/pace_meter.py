"""Measures how fast an engine generates on one leg of a stream."""

import math

from chicoryshunt.fleet.pace_exchange import PaceExchange
from chicoryshunt.types import TargetId

# Events of one observation. While an engine reads two prompts of other runs,
# about fourteen events come up to twice as late as otherwise.
_EVENTS = 20
# A leg reports at most once in this time after its first observation.
_REPORT_SECONDS = 1.0


class PaceMeter:
    """Pace of one leg; times are in monotonic seconds."""

    def __init__(
        self,
        exchange: PaceExchange,
        target: TargetId,
        tokens_per_event: int,
    ) -> None:
        """Start to measure at the first event."""
        self._exchange = exchange
        self._target = target
        self._tokens_per_event = max(tokens_per_event, 1)
        self._next_report = float('-inf')
        self._is_measuring = False
        self._last: float = 0
        self._longest_gap: float = 0
        self._best = math.inf
        self._last_gap = math.inf
        self._last_count = 0
        self._events = 0

    def record_events(self, count: int, now: float) -> None:
        """Record that events arrived."""
        if not self._is_measuring or self._exchange.was_delayed(
            self._last, now
        ):
            self._restart(now)
            return
        gap = now - self._last
        self._longest_gap = max(self._longest_gap, gap)
        # Events may arrive together, one of them late: two gaps are added.
        pair = (gap + self._last_gap) / (count + self._last_count)
        self._best = min(self._best, pair)
        self._last_gap = gap
        self._last_count = count
        self._last = now
        self._events += count
        if self._events < _EVENTS or now < self._next_report:
            return
        if self._best > 0:
            self._exchange.report(
                self._target,
                self._best / self._tokens_per_event,
                self._longest_gap,
                now,
            )
        self._next_report = now + _REPORT_SECONDS
        self._restart(now)

    def skip(self) -> None:
        """Measure from the next event on; the gap before it does not count."""
        self._is_measuring = False

    def _restart(self, now: float) -> None:
        self._is_measuring = True
        self._last = now
        self._longest_gap = 0
        self._best = math.inf
        self._last_gap = math.inf
        self._last_count = 0
        self._events = 0
