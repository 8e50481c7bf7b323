"""Detects targets that fail more often than others, as seen by this node."""

import statistics
from dataclasses import dataclass
from enum import Enum

from chicoryshunt.types import TargetId

# Weight of a new outcome in the moving average; about fifteen requests count.
_NEW_OUTCOME_WEIGHT = 0.07
# Consecutive failures, of kinds that healthy targets do not show, that pause a
# target.
_HARD_FAILURE_THRESHOLD = 2
# An outlier has a failure rate above the first value, and above the median of
# the other targets by the second.
_MIN_OUTLIER_RATE = 0.25
_MEDIAN_MARGIN = 0.2
_INITIAL_PAUSE_SECONDS = 1.0
_MAX_PAUSE_SECONDS = 8.0


class ExchangeOutcome(Enum):
    """Result of an exchange with a target."""

    answered = 'answered'
    failed = 'failed'
    unreachable = 'unreachable'
    silent = 'silent'
    garbled = 'garbled'


_HARD_FAILURES = frozenset(
    (ExchangeOutcome.unreachable, ExchangeOutcome.silent)
)


@dataclass(slots=True)
class _TargetStats:
    """Failure statistics of one target; ``paused_until`` is monotonic.

    ``was_overtaken``: another target answered in its place, and it has not
    answered since.
    """

    rate: float = 0
    hard_failures: int = 0
    was_overtaken: bool = False
    pause_seconds: float = _INITIAL_PAUSE_SECONDS
    paused_until: float = float('-inf')


class OutlierDetector:
    """Pauses failing targets, with a pause that doubles up to a maximum.

    A target may fail some of its requests although its published state is
    healthy. After the pause, its rate and hard failures still count, so one
    more failure may pause it again at once.
    """

    def __init__(self) -> None:
        """Create a detector without recorded outcomes."""
        self._stats: dict[TargetId, _TargetStats] = {}

    def record(
        self, target: TargetId, outcome: ExchangeOutcome, now: float
    ) -> bool:
        """Record an outcome; return whether it paused the target."""
        stats = self._stats.setdefault(target, _TargetStats())
        is_failure = outcome is not ExchangeOutcome.answered
        stats.rate += _NEW_OUTCOME_WEIGHT * (is_failure - stats.rate)
        if outcome in _HARD_FAILURES:
            stats.hard_failures += 1
        elif outcome is ExchangeOutcome.answered:
            stats.hard_failures = 0
            stats.was_overtaken = False
            if stats.rate < _MIN_OUTLIER_RATE:
                stats.pause_seconds = _INITIAL_PAUSE_SECONDS
        if is_failure and self._is_outlier(target, stats):
            stats.paused_until = now + stats.pause_seconds
            stats.pause_seconds = min(
                stats.pause_seconds * 2,
                _MAX_PAUSE_SECONDS,
            )
            return True
        return False

    def record_overtaken(self, target: TargetId) -> bool:
        """Record that another target answered first; return if it recurs.

        A slow target answers some requests in time, one that hangs answers
        none and is overtaken each time.
        """
        stats = self._stats.setdefault(target, _TargetStats())
        is_repeated = stats.was_overtaken
        stats.was_overtaken = True
        return is_repeated

    def is_paused(self, target: TargetId, now: float) -> bool:
        """Return whether a target should receive no new requests."""
        stats = self._stats.get(target)
        return stats is not None and now < stats.paused_until

    def get_failure_rate(self, target: TargetId) -> float:
        """Return the failure rate of a target, from 0 to 1."""
        stats = self._stats.get(target)
        return 0 if stats is None else stats.rate

    def forget(self, target: TargetId) -> None:
        """Drop the statistics of a removed target."""
        self._stats.pop(target, None)

    def _is_outlier(self, target: TargetId, stats: _TargetStats) -> bool:
        if stats.hard_failures >= _HARD_FAILURE_THRESHOLD:
            return True
        peer_rates = [
            other.rate for name, other in self._stats.items() if name != target
        ]
        median_rate = statistics.median(peer_rates) if peer_rates else 0
        return stats.rate > max(_MIN_OUTLIER_RATE, median_rate + _MEDIAN_MARGIN)
