"""Which targets fail more than their peers, from what this node saw."""

import statistics
from dataclasses import dataclass
from enum import Enum

from chicoryshunt.types import TargetId

# Weight of the newest outcome in the failure rate: some fifteen requests.
_NEWEST_WEIGHT = 0.07
# Failures in a row of a kind that a sound target does not show.
_MOST_SILENT = 2
# A rate above this, and this much above the peers', is an outlier.
_LEAST_RATE = 0.25
_PEER_MARGIN = 0.2
_FIRST_PAUSE_SECONDS = 1.0
_MOST_PAUSE_SECONDS = 8.0


class ExchangeOutcome(Enum):
    """How an exchange with a target ended."""

    answered = 'answered'
    failed = 'failed'
    unreachable = 'unreachable'
    silent = 'silent'
    garbled = 'garbled'


_HARD = frozenset((ExchangeOutcome.unreachable, ExchangeOutcome.silent))


@dataclass(slots=True)
class _Record:
    """What was seen of one target; ``paused_until`` is monotonic."""

    rate: float = 0
    hard_failures: int = 0
    pause_seconds: float = _FIRST_PAUSE_SECONDS
    paused_until: float = float('-inf')


class OutlierDetector:
    """Pauses targets that fail, for longer each time, and lets them back.

    Load pattern: a target fails part of its requests while its published
    state is good. One request after the pause decides whether it is back.
    """

    def __init__(self) -> None:
        """Start with every target sound."""
        self._records: dict[TargetId, _Record] = {}

    def record(
        self, target: TargetId, outcome: ExchangeOutcome, now: float
    ) -> bool:
        """Count an outcome; say whether it paused the target."""
        record = self._records.setdefault(target, _Record())
        is_failure = outcome is not ExchangeOutcome.answered
        record.rate += _NEWEST_WEIGHT * (is_failure - record.rate)
        if outcome in _HARD:
            record.hard_failures += 1
        elif outcome is ExchangeOutcome.answered:
            record.hard_failures = 0
            if record.rate < _LEAST_RATE:
                record.pause_seconds = _FIRST_PAUSE_SECONDS
        if is_failure and self._is_outlier(target, record):
            record.paused_until = now + record.pause_seconds
            record.pause_seconds = min(
                record.pause_seconds * 2,
                _MOST_PAUSE_SECONDS,
            )
            return True
        return False

    def is_paused(self, target: TargetId, now: float) -> bool:
        """Say whether a target should get no new work."""
        record = self._records.get(target)
        return record is not None and now < record.paused_until

    def get_failure_rate(self, target: TargetId) -> float:
        """Return the failure rate of a target, from 0 to 1."""
        record = self._records.get(target)
        return 0 if record is None else record.rate

    def forget(self, target: TargetId) -> None:
        """Drop what was seen of a target that is gone."""
        self._records.pop(target, None)

    def _is_outlier(self, target: TargetId, record: _Record) -> bool:
        if record.hard_failures >= _MOST_SILENT:
            return True
        peers = [
            other.rate
            for name, other in self._records.items()
            if name != target
        ]
        usual = statistics.median(peers) if peers else 0
        return record.rate > max(_LEAST_RATE, usual + _PEER_MARGIN)
