"""The configuration that is in force under one version number."""

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
    """Say whether operators let a data centre or target take work."""

    serving = 'serving'
    out = 'out'


class DataCentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One data centre."""

    region: Text
    presence: Presence = Presence.serving


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One team and its share of crowded targets."""

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
    """One plain service; ``answer_ms`` is when an answer counts as slow.

    ``repeatable_methods`` may be sent again after a failure.
    """

    repeatable_methods: Names = ('GET', 'HEAD')
    timeout_seconds: Rate = 10
    answer_ms: Rate = 680


class DesiredState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What operators want a target to hold."""

    model_version: Text = ''
    adapters: Names = ()
    role: Text = 'both'


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One back end and what it may bear.

    Exactly one of ``model`` and ``service`` is set. ``concurrent`` counts
    requests, ``memory_tokens`` counts tokens held at once.
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
    """How fast the weight store may be read by the whole fleet."""

    loads_per_minute: Rate = 60


class Config(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One numbered version of the configuration.

    ``position`` counts the lines of the patch log that were folded, rejected
    ones too. ``digest`` is the digest of the log up to there.
    ``desired_since`` holds the version that last changed what a target is to
    hold.
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
