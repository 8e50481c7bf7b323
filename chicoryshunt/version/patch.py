"""Patches of the configuration: typed operations against one version."""

from enum import Enum
from typing import Annotated, ClassVar, TypeAlias

import msgspec

from chicoryshunt.types import ConfigVersion
from chicoryshunt.version.config import (
    DataCentre,
    DataCentreName,
    DesiredState,
    Model,
    ModelName,
    Presence,
    Service,
    ServiceName,
    Target,
    TargetName,
    Team,
    TeamName,
    WeightStoreLimits,
)

MAX_PATCH_BYTES = 262144
_MAX_OPERATIONS = 4096
_MAX_NOTE_CHARACTERS = 256
_MAX_DETAIL_CHARACTERS = 512


class Table(Enum):
    """Name a table of the configuration."""

    data_centres = 'data_centres'
    teams = 'teams'
    models = 'models'
    services = 'services'
    targets = 'targets'


class _Operation(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field='op',
):
    """One change of the configuration."""


class SetDataCentre(_Operation, frozen=True, tag='set_data_centre'):
    """Add or replace a data centre."""

    table: ClassVar[Table] = Table.data_centres
    name: DataCentreName
    value: DataCentre


class SetTeam(_Operation, frozen=True, tag='set_team'):
    """Add or replace a team."""

    table: ClassVar[Table] = Table.teams
    name: TeamName
    value: Team


class SetModel(_Operation, frozen=True, tag='set_model'):
    """Add or replace a model."""

    table: ClassVar[Table] = Table.models
    name: ModelName
    value: Model


class SetService(_Operation, frozen=True, tag='set_service'):
    """Add or replace a plain service."""

    table: ClassVar[Table] = Table.services
    name: ServiceName
    value: Service


class SetTarget(_Operation, frozen=True, tag='set_target'):
    """Add or replace a target."""

    table: ClassVar[Table] = Table.targets
    name: TargetName
    value: Target


class RemoveDataCentre(_Operation, frozen=True, tag='remove_data_centre'):
    """Remove a data centre that no target is in."""

    table: ClassVar[Table] = Table.data_centres
    name: DataCentreName


class RemoveTeam(_Operation, frozen=True, tag='remove_team'):
    """Remove a team."""

    table: ClassVar[Table] = Table.teams
    name: TeamName


class RemoveModel(_Operation, frozen=True, tag='remove_model'):
    """Remove a model that no target serves."""

    table: ClassVar[Table] = Table.models
    name: ModelName


class RemoveService(_Operation, frozen=True, tag='remove_service'):
    """Remove a plain service that no target offers."""

    table: ClassVar[Table] = Table.services
    name: ServiceName


class RemoveTarget(_Operation, frozen=True, tag='remove_target'):
    """Remove a target."""

    table: ClassVar[Table] = Table.targets
    name: TargetName


class SetDataCentrePresence(
    _Operation, frozen=True, tag='set_data_centre_presence'
):
    """Take a data centre out or let it serve."""

    table: ClassVar[Table] = Table.data_centres
    name: DataCentreName
    presence: Presence


class SetTargetPresence(_Operation, frozen=True, tag='set_target_presence'):
    """Take a target out or let it serve."""

    table: ClassVar[Table] = Table.targets
    name: TargetName
    presence: Presence


class SetDesired(_Operation, frozen=True, tag='set_desired'):
    """Say what a target is to hold."""

    table: ClassVar[Table] = Table.targets
    name: TargetName
    desired: DesiredState


class SetWeights(_Operation, frozen=True, tag='set_weights'):
    """Say how fast the weight store may be read."""

    value: WeightStoreLimits


SetEntry: TypeAlias = (
    SetDataCentre | SetTeam | SetModel | SetService | SetTarget
)
RemoveEntry: TypeAlias = (
    RemoveDataCentre | RemoveTeam | RemoveModel | RemoveService | RemoveTarget
)
ChangeEntry: TypeAlias = SetDataCentrePresence | SetTargetPresence | SetDesired
Operation: TypeAlias = SetEntry | RemoveEntry | ChangeEntry | SetWeights


class Patch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Operations that operators submit against one version."""

    base: ConfigVersion
    operations: Annotated[
        tuple[Operation, ...],
        msgspec.Meta(min_length=1, max_length=_MAX_OPERATIONS),
    ]
    note: Annotated[str, msgspec.Meta(max_length=_MAX_NOTE_CHARACTERS)] = ''


_DECODER = msgspec.json.Decoder(Patch)


class Rejection(Enum):
    """Name why a patch was rejected."""

    too_large = 'too_large'
    not_json = 'not_json'
    invalid = 'invalid'
    not_current = 'not_current'
    unknown_name = 'unknown_name'


class Flaw(msgspec.Struct, frozen=True):
    """Say why a patch cannot be accepted."""

    rejection: Rejection
    detail: str


def parse_patch(line: bytes) -> Patch | Flaw:
    """Decode one line of the patch log."""
    if len(line) > MAX_PATCH_BYTES:
        return Flaw(
            Rejection.too_large,
            f'{len(line)} bytes, more than {MAX_PATCH_BYTES}',
        )
    if b'\n' in line:
        return Flaw(Rejection.not_json, 'a patch is one line')
    try:
        return _DECODER.decode(line)
    except msgspec.ValidationError as error:
        return Flaw(Rejection.invalid, _shorten(error))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Flaw(Rejection.not_json, _shorten(error))


def _shorten(error: Exception) -> str:
    return str(error)[:_MAX_DETAIL_CHARACTERS]
