"""Settings of a node, read from JSON with comments and validated."""

from pathlib import Path
from typing import Annotated

import json5
import msgspec

from chicoryshunt.address import MAX_PORT, is_ip_number
from chicoryshunt.exceptions import SettingsError
from chicoryshunt.types import DataCentreId, VmId

_FLEET_KEY_BYTES = 32

Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(gt=0)]


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """IP address and ports that a node listens on."""

    host: str
    caller: Port
    peer: Port
    gossip: Port


class Platform(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base URLs of the platform services."""

    config: str
    vms: str


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the resources that callers can use in a node."""

    body_bytes: PositiveInt = 4 << 20
    body_seconds: PositiveSeconds = 20
    header_seconds: PositiveSeconds = 10
    open_bodies_bytes: PositiveInt = 32 << 20
    connections: PositiveInt = 4096
    stream_buffer_bytes: PositiveInt = 256 << 10
    whole_buffer_bytes: PositiveInt = 8 << 20
    whole_buffers_bytes: PositiveInt = 32 << 20
    caller_grace_seconds: PositiveSeconds = 5


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Lease term, and the maximum lags that leases rely on."""

    term_seconds: PositiveSeconds = 4
    vm_list_lag_seconds: PositiveSeconds = 5
    load_lag_seconds: PositiveSeconds = 2


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings that a node starts with."""

    vm: VmId
    data_centre: DataCentreId
    listen: Listen
    platform: Platform
    fleet_key: str = ''
    trials: bool = False
    leases: LeaseSettings = msgspec.field(default_factory=LeaseSettings)
    limits: Limits = msgspec.field(default_factory=Limits)

    @property
    def key(self) -> bytes:
        """Return the fleet key as bytes, empty if none is set."""
        return bytes.fromhex(self.fleet_key)


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raises ``SettingsError`` with a one-line message that has the path of the
    invalid value.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str) -> Settings:
    """Validate the text of a settings file.

    ``source`` names the file in the message of a ``SettingsError``.
    """
    try:
        raw = json5.loads(text)
    except ValueError as error:
        line = str(error).splitlines()[0]
        raise SettingsError(f'{source}: not JSON: {line}') from error
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(f'{source}: {error}') from error
    _check_names(settings, source)
    _check_addresses(settings, source)
    _check_key(settings, source)
    return settings


def _check_names(settings: Settings, source: str) -> None:
    for name in ('vm', 'data_centre'):
        if not getattr(settings, name):
            raise SettingsError(f'{source}: name is empty - at `$.{name}`')


def _check_addresses(settings: Settings, source: str) -> None:
    if not is_ip_number(settings.listen.host):
        host = settings.listen.host
        raise SettingsError(
            f'{source}: {host!r} is not an IP address - at `$.listen.host`',
        )
    for name in ('config', 'vms'):
        url = getattr(settings.platform, name)
        if not url.startswith('http://'):
            raise SettingsError(
                f'{source}: {url!r} is not an http URL - at '
                + f'`$.platform.{name}`',
            )


def _check_key(settings: Settings, source: str) -> None:
    try:
        key = settings.key
    except ValueError:
        raise SettingsError(
            f'{source}: not hexadecimal - at `$.fleet_key`',
        ) from None
    if key and len(key) != _FLEET_KEY_BYTES:
        raise SettingsError(
            f'{source}: {len(key)} bytes, not {_FLEET_KEY_BYTES} - at '
            + '`$.fleet_key`',
        )
    if not key and not settings.listen.host.startswith('127.'):
        raise SettingsError(
            f'{source}: without a fleet key a node listens on loopback '
            + 'only - at `$.listen.host`',
        )
