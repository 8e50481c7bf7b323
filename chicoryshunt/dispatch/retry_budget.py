"""Limits the retries that all nodes together send to a service."""

from collections import deque
from dataclasses import dataclass

from chicoryshunt.types import ServiceId

# Fraction of the bound that is used, since nodes count at slightly different
# times.
_SAFETY_FRACTION = 0.8


@dataclass(frozen=True, slots=True)
class RetryBound:
    """Bound on retries in any window, for the whole fleet.

    They may be ``ratio`` times the first attempts, plus ``slack``.
    """

    ratio: float
    slack: float
    window_seconds: float


class FleetRetryBudget:
    """Tracks this node's share of the retry bound of the whole fleet.

    When a service fails for all callers at once, every node retries. The slack
    is divided by the number of nodes that may exist, so the sum stays within
    the bound without messages between nodes.
    """

    def __init__(self, bound: RetryBound) -> None:
        """Create a budget without recorded attempts."""
        self._bound = bound
        self._first_attempts: dict[ServiceId, deque[float]] = {}
        self._retries: dict[ServiceId, deque[float]] = {}

    def record_first(self, service: ServiceId, now: float) -> None:
        """Record the first attempt of a request."""
        self._prune(self._first_attempts, service, now).append(now)

    def spend(self, service: ServiceId, nodes: int, now: float) -> bool:
        """Record one retry if the share allows it; return whether it does."""
        first_attempts = self._prune(self._first_attempts, service, now)
        retries = self._prune(self._retries, service, now)
        share = self._bound.ratio * len(first_attempts) + (
            self._bound.slack / max(nodes, 1)
        )
        if len(retries) + 1 > share * _SAFETY_FRACTION:
            return False
        retries.append(now)
        return True

    def _prune(
        self,
        counts: dict[ServiceId, deque[float]],
        service: ServiceId,
        now: float,
    ) -> deque[float]:
        times = counts.setdefault(service, deque())
        while times and times[0] <= now - self._bound.window_seconds:
            times.popleft()
        return times
