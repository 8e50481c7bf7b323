"""Limits the request rate to a target that has just started."""

from dataclasses import dataclass

from chicoryshunt.types import TargetId

# A share below one request per second still allows single requests.
_MIN_BURST = 1.0


@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated: float


class ColdStartLimiter:
    """Token bucket for each cold target, with this node's share of its rate.

    A restarted target is idle, so every node would choose it as the least
    loaded one. Dividing its rate by the number of nodes that may exist bounds
    their sum without messages between them.
    """

    def __init__(self) -> None:
        """Create a limiter that knows no cold target."""
        self._buckets: dict[TargetId, _Bucket] = {}

    def has_token(
        self,
        target: TargetId,
        per_second: float,
        nodes: int,
        now: float,
    ) -> bool:
        """Return whether a cold target may receive one more request now.

        ``per_second`` is the request rate of all nodes together.
        """
        rate = per_second / max(nodes, 1)
        return self._refill(target, rate, now).tokens >= 1

    def consume(self, target: TargetId) -> None:
        """Take a token for a request that is sent to a cold target."""
        bucket = self._buckets.get(target)
        if bucket is not None:
            bucket.tokens -= 1

    def forget(self, target: TargetId) -> None:
        """Drop the bucket of a target that is warm or removed."""
        self._buckets.pop(target, None)

    def _refill(self, target: TargetId, rate: float, now: float) -> _Bucket:
        capacity = max(rate, _MIN_BURST)
        bucket = self._buckets.get(target)
        if bucket is None:
            bucket = _Bucket(_MIN_BURST, now)
            self._buckets[target] = bucket
        refilled = bucket.tokens + (now - bucket.updated) * rate
        bucket.tokens = min(refilled, capacity)
        bucket.updated = now
        return bucket
