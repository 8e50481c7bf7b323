"""Measures how fast an engine generates on one leg of a stream."""

from chicoryshunt.dispatch.engines import MAX_BRIEF_TOKENS
from chicoryshunt.fleet.pace_exchange import PaceExchange
from chicoryshunt.relay.incoming import IncomingRequest
from chicoryshunt.types import TargetId

# Events of the first observation: engines are replaced every few seconds, so
# their pace has to be known early.
_FIRST_EVENTS = 6
_FIRST_EVENTS_OF_SHORT_ANSWER = 2
# A leg reports at most once in this time after its first observation.
_REPORT_SECONDS = 1.0


class PaceMeter:
    """Pace of one leg; times are in monotonic seconds."""

    def __init__(
        self,
        exchange: PaceExchange,
        target: TargetId,
        tokens_per_event: int,
        *,
        is_short: bool,
    ) -> None:
        """Start to measure at the first event."""
        self._exchange = exchange
        self._target = target
        self._tokens_per_event = max(tokens_per_event, 1)
        first = _FIRST_EVENTS_OF_SHORT_ANSWER if is_short else _FIRST_EVENTS
        # The first event counts, but starts the measurement.
        self._needed = first - 1
        self._next_report = float('-inf')
        self._is_measuring = False
        self._started: float = 0
        self._last: float = 0
        self._events = 0
        self._longest_gap: float = 0

    def record_events(self, count: int, now: float) -> None:
        """Record that events arrived."""
        if not self._is_measuring or self._exchange.was_delayed(
            self._last, now
        ):
            self._restart(now)
            return
        self._longest_gap = max(self._longest_gap, now - self._last)
        self._last = now
        self._events += count
        if self._events < self._needed or now < self._next_report:
            return
        tokens = self._events * self._tokens_per_event
        if now > self._started:
            self._exchange.report(
                self._target,
                (now - self._started) / tokens,
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
        self._started = now
        self._last = now
        self._events = 0
        self._longest_gap = 0


def build_pace_meter(
    exchange: PaceExchange,
    incoming: IncomingRequest,
    target: TargetId,
    tokens_per_event: int,
) -> PaceMeter:
    """Return the meter of a leg of a generation."""
    expected = None
    if incoming.params is not None:
        expected = incoming.params.expected_tokens or incoming.params.max_tokens
    return PaceMeter(
        exchange,
        target,
        tokens_per_event,
        is_short=expected is not None and expected <= MAX_BRIEF_TOKENS,
    )
