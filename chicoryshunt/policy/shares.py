"""Tells which teams hold more than their share of the memory."""

from collections import Counter
from dataclasses import dataclass

from chicoryshunt.types import TeamId

_ACTIVE_SECONDS = 30
_TOLERANCE = 1.25


@dataclass(frozen=True, slots=True)
class Share:
    """What a team holds beside its share, in memory tokens."""

    held: float
    share: float

    @property
    def is_over(self) -> bool:
        """Say whether the team holds clearly more than its share."""
        return self.held > self.share * _TOLERANCE


class TeamShares:
    """Memory tokens held by each team that is active."""

    def __init__(self) -> None:
        """Start without teams."""
        self._held: Counter[TeamId] = Counter()
        self._weights: dict[TeamId, float] = {}
        self._seen: dict[TeamId, float] = {}
        self._pruned: float = 0

    def see(self, team: TeamId, weight: float, now: float) -> None:
        """Note that a team asks for something."""
        self._weights[team] = weight
        self._seen[team] = now
        if now - self._pruned > _ACTIVE_SECONDS:
            self._prune(now)

    def add(self, team: TeamId, tokens: int) -> None:
        """Count memory tokens that a team holds more, or less."""
        self._held[team] += tokens

    def judge(self, team: TeamId, capacity: int) -> Share:
        """Compare what a team holds with its share of a capacity."""
        active = sum(self._weights.values())
        part = self._weights.get(team, 1) / max(active, 1)
        return Share(self._held[team], capacity * part)

    def _prune(self, now: float) -> None:
        self._pruned = now
        for team, seen in tuple(self._seen.items()):
            if now - seen > _ACTIVE_SECONDS and not self._held[team]:
                self._seen.pop(team)
                self._weights.pop(team)
                self._held.pop(team, None)
