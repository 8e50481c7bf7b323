"""Tracks which teams hold more than their share of the memory."""

from collections import Counter
from dataclasses import dataclass

from chicoryshunt.types import TeamId

_ACTIVE_SECONDS = 30
_TOLERANCE = 1.25


@dataclass(frozen=True, slots=True)
class TeamShare:
    """Memory tokens that a team holds, and its share."""

    held: float
    share: float

    @property
    def is_over(self) -> bool:
        """Return whether the team exceeds its share beyond the tolerance."""
        return self.held > self.share * _TOLERANCE


class TeamShares:
    """Tracks the memory tokens that each active team holds."""

    def __init__(self) -> None:
        """Create a record without teams."""
        self._held: Counter[TeamId] = Counter()
        self._weights: dict[TeamId, float] = {}
        self._last_seen: dict[TeamId, float] = {}
        self._last_pruned: float = 0

    def record_request(self, team: TeamId, weight: float, now: float) -> None:
        """Record a request of a team, which makes the team active."""
        self._weights[team] = weight
        self._last_seen[team] = now
        if now - self._last_pruned > _ACTIVE_SECONDS:
            self._prune(now)

    def add(self, team: TeamId, tokens: int) -> None:
        """Add memory tokens to what a team holds; may be negative."""
        self._held[team] += tokens

    def get_share(self, team: TeamId, capacity: int) -> TeamShare:
        """Return what a team holds and its weighted share of a capacity."""
        total_weight = sum(self._weights.values())
        fraction = self._weights.get(team, 1) / max(total_weight, 1)
        return TeamShare(self._held[team], capacity * fraction)

    def _prune(self, now: float) -> None:
        self._last_pruned = now
        for team, seen in tuple(self._last_seen.items()):
            if now - seen > _ACTIVE_SECONDS and not self._held[team]:
                self._last_seen.pop(team)
                self._weights.pop(team)
                self._held.pop(team, None)
