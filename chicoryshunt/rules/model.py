"""Routes, services, teams and limits of one version."""

from enum import Enum
from typing import NewType

import msgspec

from chicoryshunt.types import ConfigVersion, ServiceId, TeamId

RouteId = NewType('RouteId', str)
ApiKey = NewType('ApiKey', str)


class RequestType(Enum):
    """Say what a route's requests ask for."""

    call = 'call'
    generation = 'generation'


class ServiceShare(msgspec.Struct, frozen=True, array_like=True):
    """Part of a route's requests that one service gets."""

    service: ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True, array_like=True):
    """One route; times are in seconds, priority 0 is the most urgent.

    ``most_silence`` is how long callers wait for the first event of a stream.
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
    """What engines of a service can hold, and whether they move runs."""

    slots: int
    memory_tokens: int
    bytes_per_token: int
    link_bytes_per_second: float
    can_move: bool
    tokens_per_event: int


class ServiceRules(msgspec.Struct, frozen=True, array_like=True):
    """One service and how fast a cold target of it may be used."""

    service: ServiceId
    max_connections: int
    cold_seconds: float
    cold_per_second: float
    engine: EngineRules | None = None
    health_path: str = ''


class CallerLimits(msgspec.Struct, frozen=True, array_like=True):
    """What a caller may send, in bytes, and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3
    idle_seconds: float = 15


class TeamRules(msgspec.Struct, frozen=True, array_like=True):
    """One team with its keys; its priority goes before the route's."""

    team: TeamId
    keys: tuple[ApiKey, ...]
    priority: int | None = None


class Rules(msgspec.Struct, frozen=True, array_like=True):
    """Everything in force at one version."""

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: tuple[ServiceRules, ...]
    caller_limits: CallerLimits
    teams: tuple[TeamRules, ...]
    requires_keys: bool
