"""Data model of one version of the rules."""

from enum import Enum
from typing import NewType

import msgspec

from chicoryshunt.types import ConfigVersion, ServiceId, TeamId

RouteId = NewType('RouteId', str)
ApiKey = NewType('ApiKey', str)


class RequestType(Enum):
    """Type of the requests of a route."""

    call = 'call'
    generation = 'generation'


class ServiceShare(msgspec.Struct, frozen=True, array_like=True):
    """Weight of a service among the services of a route."""

    service: ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True, array_like=True):
    """A route; times are in seconds, and priority 0 is the most urgent.

    ``first_event_timeout`` is how long callers wait for the first event of a
    stream.
    ``max_gap`` is the intended longest pause between its events.
    """

    name: RouteId
    host: str
    prefix: str
    request_type: RequestType
    shares: tuple[ServiceShare, ...]
    timeout: float
    target_latency: float
    max_gap: float | None
    max_attempts: int
    priority: int
    is_repeatable: bool
    is_resumable: bool
    is_public: bool
    first_event_timeout: float | None = None


class EngineRules(msgspec.Struct, frozen=True, array_like=True):
    """Capacity of the engines of a service, and whether they move runs."""

    slots: int
    memory_tokens: int
    bytes_per_token: int
    link_bytes_per_second: float
    can_move: bool
    tokens_per_event: int


class ServiceRules(msgspec.Struct, frozen=True, array_like=True):
    """A service and the request rate for its cold targets."""

    service: ServiceId
    max_connections: int
    cold_seconds: float
    cold_per_second: float
    engine: EngineRules | None = None
    health_path: str = ''


class CallerLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits on requests of callers, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3
    idle_seconds: float = 15


class TeamRules(msgspec.Struct, frozen=True, array_like=True):
    """A team with its API keys; its priority overrides the route's."""

    team: TeamId
    keys: tuple[ApiKey, ...]
    priority: int | None = None


class Rules(msgspec.Struct, frozen=True, array_like=True):
    """All rules of one version."""

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: tuple[ServiceRules, ...]
    caller_limits: CallerLimits
    teams: tuple[TeamRules, ...]
    requires_keys: bool
