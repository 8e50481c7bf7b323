"""Detects targets that fail more often than others, as seen by this node."""

import statistics
from dataclasses import dataclass
from enum import Enum

from chicoryshunt.types import TargetId

# Weight of a new outcome in the moving average; about fifteen requests count.
_NEW_OUTCOME_WEIGHT = 0.07
# Consecutive failures, of kinds that healthy targets do not show, that pause a
# target.
_MAX_HARD_FAILURES = 2
# An outlier has a failure rate above the first value, and above the median of
# the other targets by the second.
_MIN_OUTLIER_RATE = 0.25
_MEDIAN_MARGIN = 0.2
_INITIAL_PAUSE_SECONDS = 1.0
_MAX_PAUSE_SECONDS = 8.0


class Outcome(Enum):
    """Result of an exchange with a target."""

    answered = 'answered'
    failed = 'failed'
    unreachable = 'unreachable'
    silent = 'silent'
    garbled = 'garbled'


_HARD_FAILURES = frozenset((Outcome.unreachable, Outcome.silent))


@dataclass(slots=True)
class _TargetStats:
    """Failure statistics of one target; ``paused_until`` is monotonic."""

    rate: float = 0
    hard_failures: int = 0
    pause_seconds: float = _INITIAL_PAUSE_SECONDS
    paused_until: float = float('-inf')


class Outliers:
    """Pauses failing targets, with a pause that doubles up to a maximum.

    A target may fail some of its requests although its published state is
    healthy. After the pause, its rate and hard failures still count, so one
    more failure may pause it again at once.
    """

    def __init__(self) -> None:
        """Create a detector without recorded outcomes."""
        self._stats: dict[TargetId, _TargetStats] = {}

    def record(self, target: TargetId, outcome: Outcome, now: float) -> bool:
        """Record an outcome; return whether it paused the target."""
        record = self._stats.setdefault(target, _TargetStats())
        is_failure = outcome is not Outcome.answered
        record.rate += _NEW_OUTCOME_WEIGHT * (is_failure - record.rate)
        if outcome in _HARD_FAILURES:
            record.hard_failures += 1
        elif outcome is Outcome.answered:
            record.hard_failures = 0
            if record.rate < _MIN_OUTLIER_RATE:
                record.pause_seconds = _INITIAL_PAUSE_SECONDS
        if is_failure and self._is_outlier(target, record):
            record.paused_until = now + record.pause_seconds
            record.pause_seconds = min(
                record.pause_seconds * 2,
                _MAX_PAUSE_SECONDS,
            )
            return True
        return False

    def is_paused(self, target: TargetId, now: float) -> bool:
        """Return whether a target should receive no new requests."""
        record = self._stats.get(target)
        return record is not None and now < record.paused_until

    def get_rate(self, target: TargetId) -> float:
        """Return the failure rate of a target, from 0 to 1."""
        record = self._stats.get(target)
        return 0 if record is None else record.rate

    def forget(self, target: TargetId) -> None:
        """Drop the statistics of a removed target."""
        self._stats.pop(target, None)

    def _is_outlier(self, target: TargetId, record: _TargetStats) -> bool:
        if record.hard_failures >= _MAX_HARD_FAILURES:
            return True
        peer_rates = [
            other.rate for name, other in self._stats.items() if name != target
        ]
        median_rate = statistics.median(peer_rates) if peer_rates else 0
        return record.rate > max(
            _MIN_OUTLIER_RATE, median_rate + _MEDIAN_MARGIN
        )
