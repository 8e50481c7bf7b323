"""Tests that odd entries among those of targets harm no node."""

from typing import Any

import msgspec
import pytest

from chicoryshunt.fleet.facts import TargetFact
from chicoryshunt.platform import items
from lab.standins.platform_files import build_entry
from tests.platform_builders import build_item

# More levels than the interpreter allows calls within each other.
NESTING = 100000
UUID_NUMBER = 0xF47AC10B58CC4372A5670E02B2C3D479


def _decode(**changes: Any) -> TargetFact | items.Unreadable:
    entry = build_entry('plain', '10.0.0.1:80') | changes
    return items.decode_target(build_item('servers/odd', entry))


@pytest.mark.parametrize('field', ['slots', 'born'])
@pytest.mark.parametrize('number', [UUID_NUMBER, 2**63, -1, -(2**70)])
def test_an_odd_number_names_no_target(field: str, number: int) -> None:
    """Guards against nodes that end as they send on what they have read."""
    assert isinstance(_decode(**{field: number}), items.Unreadable)


@pytest.mark.parametrize(
    'odd',
    [
        b'{"x": %s}' % (b'[' * NESTING + b']' * NESTING),
        b'{"x": %s1%s}' % (b'{"a":' * NESTING, b'}' * NESTING),
        build_entry('plain', '10.0.0.1:%s' % ('9' * 5000)),
        build_entry('plain', '10.0.0.1:65536'),
        build_entry('plain', '10.0.0.1:-1'),
    ],
)
def test_an_odd_entry_names_no_target(odd: Any) -> None:
    """Guards against a target that is used although its entry is odd."""
    read = items.decode_target(build_item('servers/odd', odd))

    assert isinstance(read, items.Unreadable)


def test_a_long_entry_names_no_target() -> None:
    """Guards against facts that one node has and cannot send to others."""
    assert isinstance(_decode(service='s' * 2000), items.Unreadable)


def test_an_odd_alphabet_names_no_target() -> None:
    read = items.decode_target(items.Item('servers/odd', 7, 'é'))

    assert isinstance(read, items.Unreadable)


def test_a_nested_item_is_unreadable() -> None:
    """Guards against nodes that end at a deeply nested item."""
    nested = b'[' * NESTING + b']' * NESTING
    raw = msgspec.Raw(b'{"key": "a", "revision": 1, "x": %s}' % nested)

    assert isinstance(items.decode_item(raw), items.Unreadable)


def test_the_largest_number_is_sent_on() -> None:
    fact = _decode(slots=2**63 - 1, born=2**63 - 1)

    assert isinstance(fact, TargetFact)
    encoded = msgspec.msgpack.encode(fact)
    assert msgspec.msgpack.decode(encoded, type=TargetFact) == fact
