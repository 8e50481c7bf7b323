"""Bounds how many extra arrivals all nodes together cause at a service."""

from collections import deque
from dataclasses import dataclass

from chicoryshunt.types import ServiceId

# Part of the bound that is used: nodes count at slightly different times.
_SAFE_PART = 0.8


@dataclass(frozen=True, slots=True)
class RetryBound:
    """Extra arrivals in any window: a part of the first ones and a slack."""

    ratio: float
    slack: float
    window_seconds: float


class FleetRetryBudget:
    """This node's share of the bound that holds for the whole fleet.

    Load pattern: a service fails for everyone at once, and all nodes want to
    try again. The slack is divided by the number of nodes that may exist, so
    no messages are needed for the sum to stay within the bound.
    """

    def __init__(self, bound: RetryBound) -> None:
        """Start with nothing counted."""
        self._bound = bound
        self._firsts: dict[ServiceId, deque[float]] = {}
        self._extras: dict[ServiceId, deque[float]] = {}

    def record_first(self, service: ServiceId, now: float) -> None:
        """Count the first arrival of a request."""
        self._count(self._firsts, service, now).append(now)

    def spend(self, service: ServiceId, nodes: int, now: float) -> bool:
        """Take one extra arrival; say whether the share allows it."""
        firsts = self._count(self._firsts, service, now)
        extras = self._count(self._extras, service, now)
        share = self._bound.ratio * len(firsts) + (
            self._bound.slack / max(nodes, 1)
        )
        if len(extras) + 1 > share * _SAFE_PART:
            return False
        extras.append(now)
        return True

    def _count(
        self,
        counts: dict[ServiceId, deque[float]],
        service: ServiceId,
        now: float,
    ) -> deque[float]:
        moments = counts.setdefault(service, deque())
        while moments and moments[0] <= now - self._bound.window_seconds:
            moments.popleft()
        return moments
