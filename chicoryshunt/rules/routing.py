"""Finds the route, the team and the service of a request."""

from dataclasses import dataclass

import xxhash

from chicoryshunt.rules.model import (
    ApiKey,
    Route,
    Rules,
    ServiceRules,
    TeamRules,
)
from chicoryshunt.types import Reason, ServiceId, TeamId

_HASH_BITS = 64
_HASH_RANGE = 1 << _HASH_BITS


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that the rules allow, with the rules that apply to it."""

    route: Route
    team: TeamRules | None

    @property
    def team_id(self) -> TeamId | None:
        """Return the team, if a key named one."""
        return None if self.team is None else self.team.team

    @property
    def priority(self) -> int:
        """Return the rank of the request; 0 is the most urgent."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority


class RuleIndex:
    """The rules of one version, indexed for look-ups."""

    def __init__(self, rules: Rules) -> None:
        """Index routes by host, longest prefix first, and teams by key."""
        self.rules = rules
        self._routes: dict[str, list[Route]] = {}
        for route in sorted(rules.routes, key=_measure_prefix, reverse=True):
            self._routes.setdefault(route.host, []).append(route)
        self._teams = {key: team for team in rules.teams for key in team.keys}
        self._services = {one.service: one for one in rules.services}

    def admit(
        self,
        host: str,
        path: str,
        key: ApiKey | None,
    ) -> AdmittedRequest | Reason:
        """Return what applies to a request, or why it is not allowed."""
        route = self._find_route(host, path)
        if route is None:
            return Reason.unknown_path
        team = None if key is None else self._teams.get(key)
        is_open = route.is_public or not self.rules.requires_keys
        if team is None and not is_open:
            return Reason.unknown_team
        return AdmittedRequest(route, team)

    def find_service(self, service: ServiceId) -> ServiceRules | None:
        """Return the rules of a service."""
        return self._services.get(service)

    def _find_route(self, host: str, path: str) -> Route | None:
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(route: Route, request_id: str) -> ServiceId:
    """Return the service of a request, by the route's weights.

    The choice follows from the id, so every try goes to the same service.
    """
    total = sum(share.weight for share in route.shares)
    digest = xxhash.xxh3_64_intdigest(request_id.encode())
    point = digest / _HASH_RANGE * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def _measure_prefix(route: Route) -> int:
    return len(route.prefix)
