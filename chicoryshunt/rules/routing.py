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
    """The rules that apply to a request which is allowed."""

    route: Route
    team: TeamRules | None

    @property
    def team_id(self) -> TeamId | None:
        """Return the team of the API key, if any."""
        return None if self.team is None else self.team.team

    @property
    def priority(self) -> int:
        """Return the priority of the request; 0 is the most urgent."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority


class RuleIndex:
    """Index of the rules of one version."""

    def __init__(self, rules: Rules) -> None:
        """Index routes by host, longest prefix first, and teams by API key."""
        self.rules = rules
        self._routes: dict[str, list[Route]] = {}
        for route in sorted(rules.routes, key=_get_prefix_length, reverse=True):
            self._routes.setdefault(route.host, []).append(route)
        self._teams = {key: team for team in rules.teams for key in team.keys}
        self._services = {one.service: one for one in rules.services}

    def admit(
        self,
        host: str,
        path: str,
        key: ApiKey | None,
    ) -> AdmittedRequest | Reason:
        """Return the rules for a request, or the reason for refusing it."""
        route = self._find_route(host, path)
        if route is None:
            return Reason.unknown_path
        team = None if key is None else self._teams.get(key)
        is_key_optional = route.is_public or not self.rules.requires_keys
        if team is None and not is_key_optional:
            return Reason.unknown_team
        return AdmittedRequest(route, team)

    def find_service(self, service: ServiceId) -> ServiceRules | None:
        """Return the rules of a service."""
        return self._services.get(service)

    def find_max_gap(self, service: ServiceId) -> float | None:
        """Return the shortest intended longest gap of a service's routes."""
        gaps = (
            route.max_gap
            for route in self.rules.routes
            if any(share.service == service for share in route.shares)
        )
        return min((gap for gap in gaps if gap is not None), default=None)

    def _find_route(self, host: str, path: str) -> Route | None:
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(route: Route, request_id: str) -> ServiceId:
    """Return the service of a request, chosen by the route's weights.

    The choice depends only on the id, so retries go to the same service.
    """
    total = sum(share.weight for share in route.shares)
    digest = xxhash.xxh3_64_intdigest(request_id.encode())
    position = digest / _HASH_RANGE * total
    for share in route.shares:
        position -= share.weight
        if position < 0:
            return share.service
    return route.shares[-1].service


def _get_prefix_length(route: Route) -> int:
    return len(route.prefix)
