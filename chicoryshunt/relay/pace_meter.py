"""Measures how fast an engine generates on one leg of a stream."""

import itertools

from chicoryshunt.fleet.pace_exchange import PaceExchange
from chicoryshunt.types import TargetId

# Events of the first observation: engines are replaced every few seconds, so
# their pace has to be known early.
_FIRST_EVENTS = 6
# Events that follow a prompt of another run come late, and tell the load of an
# engine instead of its pace. So the lower quartile of the times between events
# counts.
_QUARTILE = 4
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
        self._event_seconds: list[float] = []

    def record_events(self, count: int, now: float) -> None:
        """Record that events arrived."""
        if not self._is_measuring or self._exchange.was_delayed(
            self._last, now
        ):
            self._restart(now)
            return
        gap = now - self._last
        self._longest_gap = max(self._longest_gap, gap)
        self._last = now
        self._event_seconds.extend(itertools.repeat(gap / count, count))
        measured = len(self._event_seconds)
        # The first event starts the measurement.
        if measured < _FIRST_EVENTS - 1 or now < self._next_report:
            return
        usual = sorted(self._event_seconds)[measured // _QUARTILE]
        if usual > 0:
            self._exchange.report(
                self._target,
                usual / self._tokens_per_event,
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
        self._event_seconds.clear()
