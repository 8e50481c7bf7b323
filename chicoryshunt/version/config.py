"""The configuration that is in force under one version number."""

from enum import Enum

import msgspec

from chicoryshunt.types import (
    ConfigVersion,
    DataCentreId,
    Delivery,
    Digest,
    ModelId,
    Profile,
    ServiceId,
    TargetId,
    TeamId,
)


class Presence(Enum):
    """Say whether operators let a data centre or target take work."""

    serving = 'serving'
    out = 'out'


class DataCentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One data centre."""

    region: str
    presence: Presence = Presence.serving


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One team and its share of crowded targets."""

    weight: float = 1
    retry_ratio: float = 0.1
    delivery: Delivery = Delivery.stream


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One model that engines serve; times are in milliseconds."""

    profile: Profile = Profile.stall
    max_tokens: int = 32768
    first_token_ms: int = 680
    token_gap_ms: int = 28


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One plain service; reads are the methods that may be repeated."""

    repeatable_methods: tuple[str, ...] = ('GET', 'HEAD')
    timeout_seconds: float = 10


class Desired(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What operators want a target to hold."""

    model_version: str = ''
    adapters: tuple[str, ...] = ()
    role: str = 'both'


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One back end and what it may bear.

    Exactly one of ``model`` and ``service`` is set. ``concurrent`` counts
    requests, ``memory_tokens`` counts tokens held at once.
    """

    address: str
    data_centre: DataCentreId
    concurrent: int
    model: ModelId | None = None
    service: ServiceId | None = None
    memory_tokens: int = 0
    checks_fence: bool = False
    presence: Presence = Presence.serving
    desired: Desired = Desired()


class Config(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One numbered version of the configuration."""

    version: ConfigVersion
    data_centres: dict[DataCentreId, DataCentre] = {}
    teams: dict[TeamId, Team] = {}
    models: dict[ModelId, Model] = {}
    services: dict[ServiceId, Service] = {}
    targets: dict[TargetId, Target] = {}
    digest: Digest = Digest('')
