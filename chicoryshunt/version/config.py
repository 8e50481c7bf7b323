"""The configuration in force under one version number."""

from enum import Enum
from typing import Annotated

import msgspec

from chicoryshunt.types import (
    ConfigVersion,
    DataCentreId,
    Delivery,
    Digest,
    LogPosition,
    ModelId,
    Profile,
    ServiceId,
    TargetId,
    TeamId,
)

_NAME = msgspec.Meta(min_length=1, max_length=128)
_TEXT = msgspec.Meta(max_length=128)

Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=1 << 40)]
Weight = Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
Text = Annotated[str, _TEXT]
Names = Annotated[
    tuple[Annotated[str, _NAME], ...], msgspec.Meta(max_length=64)
]
DataCentreName = Annotated[DataCentreId, _NAME]
TeamName = Annotated[TeamId, _NAME]
ModelName = Annotated[ModelId, _NAME]
ServiceName = Annotated[ServiceId, _NAME]
TargetName = Annotated[TargetId, _NAME]


class Presence(Enum):
    """Whether operators let a data centre or target take work."""

    serving = 'serving'
    out = 'out'


class DataCentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One data centre."""

    region: Text
    presence: Presence = Presence.serving


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One team; ``weight`` is its share of busy targets."""

    weight: Weight = 1
    retry_ratio: Ratio = 0.1
    delivery: Delivery = Delivery.stream


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One model that engines serve; times are in milliseconds."""

    profile: Profile = Profile.stall
    max_tokens: PositiveCount = 32768
    first_token_ms: PositiveCount = 680
    token_gap_ms: PositiveCount = 28


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One plain service; an answer after ``answer_ms`` counts as slow.

    Requests with one of ``repeatable_methods`` may be sent again after a
    failure.
    """

    repeatable_methods: Names = ('GET', 'HEAD')
    timeout_seconds: Rate = 10
    answer_ms: Rate = 680


class DesiredState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Model version, adapters and role that a target should have."""

    model_version: Text = ''
    adapters: Names = ()
    role: Text = 'both'


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One back end and its capacity limits.

    Exactly one of ``model`` and ``service`` is set. ``concurrent`` limits
    the requests, ``memory_tokens`` the tokens that it holds at one time.
    """

    address: Text
    data_centre: DataCentreName
    concurrent: PositiveCount
    model: ModelName | None = None
    service: ServiceName | None = None
    memory_tokens: Count = 0
    checks_fence: bool = False
    presence: Presence = Presence.serving
    desired: DesiredState = DesiredState()


class WeightStoreLimits(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Read limit of the weight store for the whole fleet."""

    loads_per_minute: Rate = 60


class Config(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One numbered version of the configuration.

    ``position`` counts the folded lines of the patch log, rejected ones
    included. ``digest`` is the digest of the log up to there.
    ``desired_since`` holds, by target, the version that last changed its
    desired state.
    """

    version: ConfigVersion
    position: LogPosition = LogPosition(0)
    data_centres: dict[DataCentreId, DataCentre] = {}
    teams: dict[TeamId, Team] = {}
    models: dict[ModelId, Model] = {}
    services: dict[ServiceId, Service] = {}
    targets: dict[TargetId, Target] = {}
    weights: WeightStoreLimits = WeightStoreLimits()
    desired_since: dict[TargetId, ConfigVersion] = {}
    digest: Digest = Digest('')
