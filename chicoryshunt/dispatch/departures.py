"""Tracks how much memory the runs need that have to move at once."""

from dataclasses import dataclass, field

from chicoryshunt.types import ServiceId, TargetId

# Engines that left longer ago say nothing about the next ones.
_WINDOW_SECONDS = 20.0
# Notices within this time belong to one group.
_GROUP_SECONDS = 0.5
# A single group may be an exception, such as a maintenance of its engines.
_MIN_GROUPS = 2


@dataclass(slots=True)
class _Group:
    """Engines that got notice together, with the memory tokens held there."""

    since: float
    tokens: dict[TargetId, float] = field(default_factory=dict)


class Departures:
    """Groups of engines of each service that left lately.

    Load pattern: every few seconds several engines leave together, and new
    runs have taken the memory that their runs need elsewhere.
    """

    def __init__(self) -> None:
        """Start without departures."""
        self._groups: dict[ServiceId, list[_Group]] = {}

    def record(
        self, service: ServiceId, target: TargetId, tokens: float, now: float
    ) -> None:
        """Record the notice of an engine whose runs hold memory tokens.

        Another notice of an engine that left lately is ignored.
        """
        groups = self._list_recent(service, now)
        if any(target in group.tokens for group in groups):
            return
        if not groups or now - groups[-1].since > _GROUP_SECONDS:
            groups.append(_Group(now))
        groups[-1].tokens[target] = tokens
        self._groups[service] = groups

    def estimate_group(self, service: ServiceId, now: float) -> float:
        """Return the mean memory tokens of a group, 0 before two groups."""
        groups = self._list_recent(service, now)
        if len(groups) < _MIN_GROUPS:
            return 0
        return sum(sum(one.tokens.values()) for one in groups) / len(groups)

    def _list_recent(self, service: ServiceId, now: float) -> list[_Group]:
        return [
            group
            for group in self._groups.get(service, ())
            if now - group.since <= _WINDOW_SECONDS
        ]
