"""Bounds what a target gets while it is cold."""

from dataclasses import dataclass

from chicoryshunt.types import TargetId

# A share below one request a second still lets one through.
_BURST = 1.0


@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated: float


class ColdStartLimiter:
    """This node's share of what a cold target bears a second.

    Load pattern: a target comes back empty and every node finds it the least
    loaded one. The rate is divided by the number of nodes that may exist.
    """

    def __init__(self) -> None:
        """Start with no target cold."""
        self._buckets: dict[TargetId, _Bucket] = {}

    def has_token(
        self,
        target: TargetId,
        per_second: float,
        nodes: int,
        now: float,
    ) -> bool:
        """Say whether a cold target may get one more request now."""
        share = per_second / max(nodes, 1)
        return self._refill(target, share, now).tokens >= 1

    def consume(self, target: TargetId) -> None:
        """Count a request that is sent to a cold target."""
        bucket = self._buckets.get(target)
        if bucket is not None:
            bucket.tokens -= 1

    def forget(self, target: TargetId) -> None:
        """Drop a target that is warm or gone."""
        self._buckets.pop(target, None)

    def _refill(self, target: TargetId, share: float, now: float) -> _Bucket:
        most = max(share, _BURST)
        bucket = self._buckets.get(target)
        if bucket is None:
            bucket = _Bucket(_BURST, now)
            self._buckets[target] = bucket
        gained = bucket.tokens + (now - bucket.updated) * share
        bucket.tokens = min(gained, most)
        bucket.updated = now
        return bucket
