"""Decodes the items of the platform's store into rules and facts."""

import base64
from enum import Enum
from types import MappingProxyType
from typing import Annotated, TypeVar

import msgspec

from chicoryshunt.address import is_address
from chicoryshunt.fleet.facts import (
    EvacuationFact,
    Revision,
    TargetFact,
    TargetPhase,
)
from chicoryshunt.nodes.packing import MAX_PACKED_BYTES
from chicoryshunt.platform.documents import Undecodable, decode_document
from chicoryshunt.rules.model import (
    ApiKey,
    CallerLimits,
    EngineRules,
    RequestType,
    Route,
    RouteId,
    Rules,
    ServiceRules,
    ServiceShare,
    TeamRules,
)
from chicoryshunt.types import (
    ConfigVersion,
    DataCentreId,
    ServiceId,
    TargetId,
    TeamId,
)

CONFIG_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'
TARGET_PREFIX = 'servers/'
_MILLISECONDS = 1000
_BITS_PER_MBIT = 1000000
_BITS_PER_BYTE = 8
# Callers abandon a stream after the longest of these times without an event:
# two seconds, 4 target latencies or 8 target gaps.
_MIN_EVENT_TIMEOUT_SECONDS = 2.0
_EVENT_TIMEOUT_LATENCIES = 4
_EVENT_TIMEOUT_GAPS = 8


_Value = TypeVar('_Value')


class Item(msgspec.Struct):
    """Item of the store, or the record of its deletion.

    ``value`` is base64; ``revision`` is that of the last change.
    """

    key: str
    revision: int
    value: str = ''
    deleted: bool = False


class Page(msgspec.Struct):
    """Page of the items under a prefix; ``current_rev`` is the store's."""

    items: list[msgspec.Raw]
    current_rev: int
    more_pages: bool = False


class Changes(msgspec.Struct):
    """Answer to a watch; the next watch starts from ``current_rev``."""

    events: list[msgspec.Raw]
    current_rev: int


class RouteKind(Enum):
    """Kind of a route in the configuration."""

    safe = 'safe'
    unsafe = 'unsafe'
    streaming = 'streaming'


# Other writers may put any number into a field. Messages between nodes hold
# integers of at most 64 bits.
_MAX_COUNT = 0x7FFFFFFFFFFFFFFF
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]


class _Server(msgspec.Struct):
    """Entry that a target writes about itself.

    ``state`` is ``ready`` or ``draining``.
    """

    service: str
    address: str
    zone: str
    state: str
    slots: _Count = 0
    cold_remaining_ms: float = 0
    born: _Count = 0


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    """Route of the configuration; times are in milliseconds."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: float
    target_latency_ms: float = 1000
    priority: int = 0
    service: str = ''
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    stream_resume: bool = False
    target_gap_ms: float | None = None


class _Engine(msgspec.Struct):
    """Engine of a service; ``stride`` is the number of tokens per event."""

    slots: int
    kv_capacity: int
    kv_token_bytes: int = 0
    link_mbps: float = 1
    moves: bool = False
    stride: int = 1


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 0
    cold_start_s: float = 0
    cold_per_s: float = 0
    engine: _Engine | None = None
    health_path: str = ''


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class Unreadable(msgspec.Struct, frozen=True):
    """Item that can't be decoded, and the reason."""

    key: str
    reason: str


def decode_item(raw: msgspec.Raw) -> Item | Unreadable:
    """Decode an item of a page or of a watch."""
    item = decode_document(raw, Item)
    if isinstance(item, Undecodable):
        return Unreadable('', item.reason)
    return item


def decode_target(item: Item) -> TargetFact | Unreadable:
    """Decode the entry of a target.

    Entries of other writers may hold anything, so an entry that can't be
    decoded is reported as unreadable.
    """
    server = _decode_value(item, _Server)
    if isinstance(server, Undecodable):
        return Unreadable(item.key, server.reason)
    phase = _PHASES.get(server.state)
    if phase is None or not is_address(server.address):
        return Unreadable(item.key, f'{server.state} at {server.address}')
    fact = TargetFact(
        target=get_target(item.key),
        revision=Revision(item.revision),
        phase=phase,
        service=ServiceId(server.service),
        address=server.address,
        data_centre=DataCentreId(server.zone),
        slots=server.slots,
        cold_seconds=max(server.cold_remaining_ms, 0) / _MILLISECONDS,
        born=server.born,
    )
    size = len(msgspec.msgpack.encode(fact))
    if size > MAX_PACKED_BYTES:
        # No message to another node could hold it.
        return Unreadable(item.key, f'{size} bytes')
    return fact


def get_target(key: str) -> TargetId:
    """Return the target that an entry's key names."""
    return TargetId(key.removeprefix(TARGET_PREFIX))


def decode_evacuation(item: Item) -> EvacuationFact:
    """Return whether the evacuation of a data centre is ordered."""
    return EvacuationFact(
        DataCentreId(item.key.removeprefix(EVACUATION_PREFIX)),
        Revision(item.revision),
        is_ordered=not item.deleted,
    )


def decode_rules(item: Item) -> Rules | Unreadable:
    """Decode the rules of a configuration."""
    config = _decode_value(item, _Config)
    if isinstance(config, Undecodable):
        return Unreadable(item.key, config.reason)
    limits = config.limits
    return Rules(
        version=ConfigVersion(config.version),
        routes=tuple(_build_route(one) for one in config.routes),
        services=tuple(_build_service(one) for one in config.services),
        caller_limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / _MILLISECONDS,
            limits.idle_timeout_ms / _MILLISECONDS,
        ),
        teams=tuple(_build_team(one) for one in config.tenants or ()),
        requires_keys=config.tenants is not None,
    )


_PHASES = MappingProxyType(
    {'ready': TargetPhase.ready, 'draining': TargetPhase.leaving},
)


def _decode_value(item: Item, kind: type[_Value]) -> _Value | Undecodable:
    try:
        content = base64.b64decode(item.value, validate=True)
    except ValueError as error:
        return Undecodable(repr(error))
    return decode_document(content, kind)


def _build_route(route: _Route) -> Route:
    shares = tuple(
        ServiceShare(ServiceId(one.service), one.weight)
        for one in route.traffic_split
        if one.weight > 0
    )
    gap = route.target_gap_ms
    return Route(
        name=RouteId(route.name),
        host=route.host.lower(),
        prefix=route.prefix,
        request_type=RequestType.generation
        if route.kind is RouteKind.streaming
        else RequestType.call,
        shares=shares or (ServiceShare(ServiceId(route.service), 1),),
        timeout=route.timeout_ms / _MILLISECONDS,
        target_latency=route.target_latency_ms / _MILLISECONDS,
        max_gap=None if gap is None else gap / _MILLISECONDS,
        max_attempts=route.max_attempts,
        priority=route.priority,
        is_repeatable=route.kind is RouteKind.safe,
        is_resumable=route.stream_resume,
        is_public=route.public,
        first_event_timeout=_compute_event_timeout(route),
    )


def _compute_event_timeout(route: _Route) -> float | None:
    """Return how many seconds callers wait for an event of a stream."""
    if route.kind is not RouteKind.streaming:
        return None
    latency = route.target_latency_ms / _MILLISECONDS
    gap = (route.target_gap_ms or 0) / _MILLISECONDS
    return max(
        _MIN_EVENT_TIMEOUT_SECONDS,
        latency * _EVENT_TIMEOUT_LATENCIES,
        gap * _EVENT_TIMEOUT_GAPS,
    )


def _build_service(service: _Service) -> ServiceRules:
    engine = service.engine
    return ServiceRules(
        ServiceId(service.name),
        service.max_connections,
        service.cold_start_s,
        service.cold_per_s,
        None if engine is None else _build_engine(engine),
        service.health_path,
    )


def _build_engine(engine: _Engine) -> EngineRules:
    bits_per_second = engine.link_mbps * _BITS_PER_MBIT
    return EngineRules(
        slots=engine.slots,
        memory_tokens=engine.kv_capacity,
        bytes_per_token=engine.kv_token_bytes,
        link_bytes_per_second=bits_per_second / _BITS_PER_BYTE,
        can_move=engine.moves,
        tokens_per_event=engine.stride,
    )


def _build_team(tenant: _Tenant) -> TeamRules:
    return TeamRules(
        TeamId(tenant.name),
        tuple(ApiKey(key) for key in tenant.api_keys),
        tenant.priority,
    )
