"""The published form of the configuration: a base in shards and a log.

The key ``log`` holds lines: a header that names the base, then one patch a
line. A line counts once its newline is there, so that a value which was cut
short looks like an older one and never like another patch. The shards of a
base lie under ``base/VERSION/INDEX``.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any

import msgspec

from chicoryshunt.types import ConfigVersion, Digest, LogPosition
from chicoryshunt.version.config import (
    Config,
    DataCentre,
    DataCentreName,
    Model,
    ModelName,
    Service,
    ServiceName,
    Target,
    TargetName,
    Team,
    TeamName,
    WeightStoreLimits,
)
from chicoryshunt.version.draft import find_flaw
from chicoryshunt.version.fold import hash_bytes

LOG_KEY = 'log'
MAX_VALUE_BYTES = 1048576
MAX_EARLIER_DIGESTS = 1024
_MAX_SHARDS = 64
_SHARD_FILL_BYTES = 900_000
_ENTRY_OVERHEAD_BYTES = 8

Number = Annotated[int, msgspec.Meta(ge=0)]


class ShardSummary(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Size and digest of one shard of a base."""

    size: Number
    digest: Digest


class LogHeader(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """First line of the log: the base that the patches follow.

    ``earlier`` holds the digests of the positions right before the base.
    """

    version: Annotated[ConfigVersion, msgspec.Meta(ge=0)]
    position: Annotated[LogPosition, msgspec.Meta(ge=0)]
    digest: Digest
    shards: Annotated[
        tuple[ShardSummary, ...],
        msgspec.Meta(min_length=1, max_length=_MAX_SHARDS),
    ]
    earlier: Annotated[
        tuple[Digest, ...],
        msgspec.Meta(max_length=MAX_EARLIER_DIGESTS),
    ] = ()

    @property
    def keys(self) -> tuple[str, ...]:
        """Return the keys of the base's shards."""
        return tuple(
            f'base/{self.version}/{index}' for index in range(len(self.shards))
        )


class Shard(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Some entries of a base."""

    data_centres: dict[DataCentreName, DataCentre] = {}
    teams: dict[TeamName, Team] = {}
    models: dict[ModelName, Model] = {}
    services: dict[ServiceName, Service] = {}
    targets: dict[TargetName, Target] = {}
    desired_since: dict[TargetName, ConfigVersion] = {}
    weights: WeightStoreLimits | None = None


class Damage(Enum):
    """Name why a published value was not used."""

    header_missing = 'header_missing'
    header_invalid = 'header_invalid'
    shard_size = 'shard_size'
    shard_digest = 'shard_digest'
    shard_invalid = 'shard_invalid'
    base_invalid = 'base_invalid'
    oversized = 'oversized'
    truncated = 'truncated'


@dataclass(frozen=True, slots=True)
class PublishedLog:
    """The log as one read of it showed it."""

    header: LogHeader
    lines: tuple[bytes, ...]
    is_truncated: bool


def parse_log(text: bytes) -> PublishedLog | Damage:
    """Split the log into its header and its complete lines."""
    if len(text) > MAX_VALUE_BYTES:
        return Damage.oversized
    first, *lines = text.split(b'\n')
    if not lines:
        return Damage.header_missing
    try:
        header = msgspec.json.decode(first, type=LogHeader)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Damage.header_invalid
    rest = lines.pop()
    return PublishedLog(header, tuple(lines), bool(rest))


def format_log(header: LogHeader, lines: Sequence[bytes]) -> bytes:
    """Return the value to publish under the key of the log."""
    return b'\n'.join((msgspec.json.encode(header), *lines, b''))


def parse_base(header: LogHeader, values: Sequence[bytes]) -> Config | Damage:
    """Check the shards of a base and put them together."""
    tables: dict[str, Any] = {}
    for summary, text in zip(header.shards, values, strict=True):
        shard = _parse_shard(summary, text)
        if isinstance(shard, Damage):
            return shard
        _merge(tables, shard)
    config = Config(
        version=header.version,
        position=header.position,
        digest=header.digest,
        **tables,
    )
    return config if find_flaw(config) is None else Damage.base_invalid


def _parse_shard(summary: ShardSummary, text: bytes) -> Shard | Damage:
    if len(text) > MAX_VALUE_BYTES:
        return Damage.oversized
    if len(text) != summary.size:
        return Damage.shard_size
    if hash_bytes(text) != summary.digest:
        return Damage.shard_digest
    try:
        return msgspec.json.decode(text, type=Shard)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Damage.shard_invalid


def _merge(tables: dict[str, Any], shard: Shard) -> None:
    for name in Shard.__struct_fields__:
        entries = getattr(shard, name)
        if name == 'weights':
            tables[name] = entries or tables.get(name) or WeightStoreLimits()
        else:
            tables.setdefault(name, {}).update(entries)


def split_base(
    config: Config,
    earlier: tuple[Digest, ...] = (),
) -> tuple[LogHeader, tuple[bytes, ...]]:
    """Return the header and the shards that publish a configuration."""
    values = tuple(
        msgspec.json.encode(msgspec.convert(entries, Shard))
        for entries in _fill_shards(config)
    )
    shards = tuple(ShardSummary(len(text), hash_bytes(text)) for text in values)
    digest = config.digest or hash_bytes(
        ''.join(shard.digest for shard in shards).encode(),
    )
    header = LogHeader(
        config.version,
        config.position,
        digest,
        shards,
        earlier[-MAX_EARLIER_DIGESTS:],
    )
    return header, values


def _fill_shards(config: Config) -> Iterator[dict[str, Any]]:
    shard: dict[str, Any] = {'weights': config.weights}
    size = 0
    for table, name, entry in _list_entries(config):
        size += len(msgspec.json.encode({name: entry})) + _ENTRY_OVERHEAD_BYTES
        if size > _SHARD_FILL_BYTES:
            yield shard
            shard = {}
            size = 0
        shard.setdefault(table, {})[name] = entry
    yield shard


def _list_entries(config: Config) -> Iterator[tuple[str, str, Any]]:
    for table in Shard.__struct_fields__:
        if table != 'weights':
            for name, entry in getattr(config, table).items():
                yield table, name, entry
