"""Limits the request rate to a target that has just started."""

from dataclasses import dataclass
from random import Random

from chicoryshunt.types import TargetId

# A share below one request per second still allows single requests.
_MIN_BURST = 1.0
# Fraction of the rate that announced runs may use, since messages may be lost.
_ANNOUNCED_FRACTION = 0.8


@dataclass(frozen=True, slots=True)
class ColdShare:
    """Share of one node in the request rate of a cold target.

    ``is_announced``: all nodes count the requests of each other. If they do
    not, nodes with less than one request a second start with different parts
    of a token, or each of them would send one at once.
    """

    per_second: float
    is_announced: bool


@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated: float


class ColdStartLimiter:
    """Token bucket for each cold target, with this node's share of its rate.

    Load pattern: a restarted target is idle, so every node would choose it as
    the least loaded one. Dividing its rate by the number of nodes that may
    exist bounds their sum without messages between them.
    """

    def __init__(self, rng: Random) -> None:
        """Create a limiter that knows no cold target."""
        self._rng = rng
        self._buckets: dict[TargetId, _Bucket] = {}

    def has_token(
        self,
        target: TargetId,
        share: ColdShare,
        now: float,
    ) -> bool:
        """Return whether a cold target may receive one more request now."""
        return self._refill(target, share, now).tokens >= 1

    def consume(self, target: TargetId) -> None:
        """Take a token for a request that is sent to a cold target."""
        bucket = self._buckets.get(target)
        if bucket is not None:
            bucket.tokens -= 1

    def limits(self, target: TargetId) -> bool:
        """Return whether a target is known as cold."""
        return target in self._buckets

    def give_back(self, target: TargetId) -> None:
        """Return the token of a request that was not sent after all."""
        bucket = self._buckets.get(target)
        if bucket is not None:
            bucket.tokens += 1

    def forget(self, target: TargetId) -> None:
        """Drop the bucket of a target that is warm or removed."""
        self._buckets.pop(target, None)

    def _refill(
        self, target: TargetId, share: ColdShare, now: float
    ) -> _Bucket:
        rate = share.per_second
        capacity = max(rate, _MIN_BURST)
        bucket = self._buckets.get(target)
        if bucket is None:
            tokens = _MIN_BURST
            if rate < _MIN_BURST and not share.is_announced:
                tokens = self._rng.random()
            bucket = _Bucket(tokens, now)
            self._buckets[target] = bucket
        refilled = bucket.tokens + (now - bucket.updated) * rate
        bucket.tokens = min(refilled, capacity)
        bucket.updated = now
        return bucket


def allows_announced(announced: int, per_second: float) -> bool:
    """Return whether a cold target may receive one more announced run.

    ``announced`` counts the runs that all nodes announced for it within the
    last second, so that no share has to be kept for nodes without requests.
    """
    return announced < max(per_second * _ANNOUNCED_FRACTION, 1)
