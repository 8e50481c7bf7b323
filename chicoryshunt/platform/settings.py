"""Reads the platform's settings file, with lines of the form a.b=text."""

from dataclasses import dataclass
from pathlib import Path
from typing import Final

from chicoryshunt.address import Address, is_address
from chicoryshunt.dispatch.retry_budget import RetryBound
from chicoryshunt.exceptions import SettingsError
from chicoryshunt.types import DataCentreId, VmId

SETTINGS_VARIABLE: Final = 'CHICORYSHUNT_BOOT'
_MILLISECONDS = 1000
# Default for files without this bound, as on the first deployments.
_CONFIG_APPLY_MS = 2000


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the deployment requires; times are in seconds.

    ``config_apply`` bounds the time until a configuration applies,
    ``stop_grace`` the shutdown, and ``max_entry_ttl`` how long callers may
    cache a list of nodes.
    """

    retries: RetryBound
    config_apply: float
    stop_grace: float
    max_entry_ttl: float


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of a node.

    Nodes gossip on ``first_internal_port``, the same on all VMs; metrics are
    served on the next port.
    """

    vm: VmId
    data_centre: DataCentreId
    callers: Address
    readiness: Address
    peers: Address
    directory: Address
    first_internal_port: int
    metrics: Address
    seeds: tuple[Address, ...]
    store: Address
    bounds: Bounds


class _Lines:
    """Settings by name; every error states the file and the name."""

    def __init__(self, text: str, source: str) -> None:
        self._source = source
        self._texts: dict[str, str] = {}
        for line in text.splitlines():
            name, separator, setting = line.partition('=')
            if separator:
                self._texts[name.strip()] = setting.strip()

    def get_text(self, name: str) -> str:
        found = self._texts.get(name)
        if not found:
            raise SettingsError(f'{self._source}: {name} is missing')
        return found

    def get_number(self, name: str, default: float | None = None) -> float:
        if default is not None and name not in self._texts:
            return default
        text = self.get_text(name)
        try:
            return float(text)
        except ValueError:
            raise SettingsError(
                f'{self._source}: {name}={text!r} is not a number',
            ) from None

    def get_address(self, name: str) -> Address:
        return self._parse_address(name, self.get_text(name))

    def list_addresses(self, name: str) -> tuple[Address, ...]:
        texts = self._texts.get(name, '').split(',')
        return tuple(
            self._parse_address(name, text.strip()) for text in texts if text
        )

    def get_first_port(self, name: str) -> int:
        text = self.get_text(name).split(',')[0]
        if not text.isdigit():
            raise SettingsError(f'{self._source}: {name} is not a port range')
        return int(text)

    def _parse_address(self, name: str, text: str) -> Address:
        if not is_address(text):
            raise SettingsError(
                f'{self._source}: {name}={text!r} is not IP:PORT',
            )
        host, _, port = text.rpartition(':')
        return Address(host, int(port))


def load_settings(path: Path) -> PlatformSettings:
    """Read and check a settings file; raise ``SettingsError`` on a fault."""
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str) -> PlatformSettings:
    """Parse the text of a settings file; ignore unknown names.

    Raises ``SettingsError`` for a missing or invalid setting; ``source`` is
    the name of the file in its message.
    """
    lines = _Lines(text, source)
    callers = lines.get_address('listen.front')
    internal_port = lines.get_first_port('internal_port_range')
    return PlatformSettings(
        # The address is unique among VMs, and seeds hold nothing else.
        vm=VmId(lines.get_text('ip')),
        data_centre=DataCentreId(lines.get_text('zone')),
        callers=callers,
        readiness=lines.get_address('listen.readiness'),
        peers=lines.get_address('listen.control'),
        directory=lines.get_address('listen.directory'),
        first_internal_port=internal_port,
        metrics=Address(callers.host, internal_port + 1),
        seeds=lines.list_addresses('seeds'),
        store=lines.get_address('platform.address'),
        bounds=_parse_bounds(lines),
    )


def _parse_bounds(lines: _Lines) -> Bounds:
    return Bounds(
        retries=RetryBound(
            ratio=lines.get_number('bounds.retry_ratio', 0),
            slack=lines.get_number('bounds.retry_slack', 0),
            window_seconds=lines.get_number('bounds.retry_window_s', 10),
        ),
        config_apply=(
            lines.get_number('bounds.config_apply_ms', _CONFIG_APPLY_MS)
            / _MILLISECONDS
        ),
        stop_grace=lines.get_number('bounds.grace_s', 8),
        max_entry_ttl=lines.get_number('bounds.ttl_max_s', 5),
    )
