"""Tests of the published form of the configuration."""

import msgspec
import pytest

from chicoryshunt.version.fold import hash_bytes
from chicoryshunt.version.published import (
    MAX_VALUE_BYTES,
    Damage,
    PublishedLog,
    ShardSummary,
    format_log,
    parse_base,
    parse_log,
    split_base,
)
from tests.builders import build_config, build_patch

_LINES = (build_patch(1), build_patch(2))


def test_large_base_is_split_and_merged() -> None:
    config = build_config(teams=30_000)
    header, values = split_base(config)
    assert len(values) > 1
    assert max(map(len, values)) <= MAX_VALUE_BYTES
    assert parse_base(header, values) == msgspec.structs.replace(
        config,
        digest=header.digest,
    )


def test_truncated_log_reads_as_an_older_log() -> None:
    header, _ = split_base(build_config())
    text = format_log(header, _LINES)
    for missing in range(1, len(text) + 1):
        log = parse_log(text[:-missing])
        if isinstance(log, PublishedLog):
            assert log.lines == _LINES[: len(log.lines)]
        else:
            assert log is Damage.header_missing


def test_whole_log_is_read() -> None:
    header, _ = split_base(build_config())
    log = parse_log(format_log(header, _LINES))
    assert log == PublishedLog(header, _LINES, is_truncated=False)


@pytest.mark.parametrize(
    ('text', 'damage'),
    [
        (b'{"version": 1}\n', Damage.header_invalid),
        (b'\xff\n', Damage.header_invalid),
        (
            b'{"version":1,"position":-1,"digest":"","shards":[]}\n',
            Damage.header_invalid,
        ),
        (b' ' * (MAX_VALUE_BYTES + 1), Damage.oversized),
    ],
)
def test_damaged_log_is_refused(text: bytes, damage: Damage) -> None:
    assert parse_log(text) is damage


def test_damaged_shard_is_refused() -> None:
    header, (text,) = split_base(build_config())
    assert parse_base(header, [text[:-1]]) is Damage.shard_size
    assert parse_base(header, [text.swapcase()]) is Damage.shard_digest


def test_base_without_a_data_centre_is_refused() -> None:
    config = msgspec.structs.replace(build_config(), data_centres={})
    assert parse_base(*split_base(config)) is Damage.base_invalid


def test_shard_with_an_unknown_field_is_refused() -> None:
    header, (text,) = split_base(build_config())
    changed = text.replace(b'"teams"', b'"teens"')
    summary = ShardSummary(len(changed), hash_bytes(changed))
    forged = msgspec.structs.replace(header, shards=(summary,))
    assert parse_base(forged, [changed]) is Damage.shard_invalid
