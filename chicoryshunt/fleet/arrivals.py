"""Runs that all nodes sent to each engine within the last second."""

from collections import deque
from collections.abc import Iterator

from chicoryshunt.dispatch.engines import Announcement, has_precedence
from chicoryshunt.types import RequestId, TargetId

# Rates of targets are bounded in any window of this length.
WINDOW_SECONDS = 1.0


class Arrivals:
    """Times at which runs were announced for each target."""

    def __init__(self) -> None:
        """Start without arrivals."""
        self._recent: dict[TargetId, deque[Announcement]] = {}

    def record(self, target: TargetId, request: RequestId, now: float) -> None:
        """Record that a run was announced for a target."""
        recent = self._recent.setdefault(target, deque())
        recent.append(Announcement(request, now))
        while recent[0].placed <= now - WINDOW_SECONDS:
            recent.popleft()

    def count(self, target: TargetId, now: float) -> int:
        """Return the number of runs announced within the last second."""
        return sum(1 for _ in self._list_recent(target, now))

    def count_preceding(
        self, target: TargetId, own: Announcement, now: float
    ) -> int:
        """Return the number of those that have precedence over a run."""
        return sum(
            other.request != own.request and has_precedence(other, own)
            for other in self._list_recent(target, now)
        )

    def _list_recent(
        self, target: TargetId, now: float
    ) -> Iterator[Announcement]:
        return (
            one
            for one in self._recent.get(target, ())
            if one.placed > now - WINDOW_SECONDS
        )
