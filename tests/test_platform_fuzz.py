"""Fuzz tests of the decoders of items, settings and rules."""

import itertools
import json
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryshunt.exceptions import SettingsError
from chicoryshunt.fleet.facts import TargetFact
from chicoryshunt.fleet.rules_exchange import RulesError
from chicoryshunt.fleet.rules_exchange import decode_rules as decode_passed
from chicoryshunt.platform import items
from chicoryshunt.platform.settings import PlatformSettings, parse_settings
from chicoryshunt.rules.model import Rules
from lab.standins.platform_files import (
    build_config,
    build_entry,
    build_lines,
)
from tests.platform_builders import build_item

_EXAMPLES = settings(max_examples=300, derandomize=True, deadline=None)
_SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False),
    st.text(max_size=12),
)
_ANYTHING = st.recursive(
    _SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=8), inner, max_size=4),
    ),
    max_leaves=12,
)


def _list_places(tree: Any) -> list[tuple[Any, Any]]:
    """Return every container of a tree with each of its keys."""
    if isinstance(tree, dict):
        keys: list[Any] = list(tree)
    elif isinstance(tree, list):
        keys = list(range(len(tree)))
    else:
        return []
    inner = itertools.chain.from_iterable(
        _list_places(tree[key]) for key in keys
    )
    return [*((tree, key) for key in keys), *inner]


@_EXAMPLES
@given(_ANYTHING)
def test_any_item_is_read_or_unreadable(content: Any) -> None:
    raw = msgspec.Raw(json.dumps(content).encode())

    assert isinstance(items.decode_item(raw), items.Item | items.Unreadable)


@_EXAMPLES
@given(st.one_of(st.binary(max_size=40), _ANYTHING.map(json.dumps)))
def test_any_entry_is_a_target_or_unreadable(content: bytes | str) -> None:
    encoded = content.encode() if isinstance(content, str) else content

    fact = items.decode_target(build_item('servers/e1', encoded))

    assert isinstance(fact, TargetFact | items.Unreadable)


@_EXAMPLES
@given(st.data())
def test_an_entry_with_a_foreign_field_is_read(data: st.DataObject) -> None:
    entry = build_entry('plain', '10.0.0.1:80')
    entry[data.draw(st.sampled_from(sorted(entry)))] = data.draw(_ANYTHING)
    item = build_item('servers/e1', entry)

    fact = items.decode_target(item)

    assert isinstance(fact, TargetFact | items.Unreadable)
    if isinstance(fact, TargetFact):
        # It is sent to all other nodes.
        assert msgspec.msgpack.encode(fact)


@_EXAMPLES
@given(st.data())
def test_rules_with_a_foreign_field_are_read(data: st.DataObject) -> None:
    config = build_config()
    places = _list_places(config)
    container, key = places[data.draw(st.integers(0, len(places) - 1))]
    container[key] = data.draw(_ANYTHING)
    item = build_item('op/config', config)

    assert isinstance(items.decode_rules(item), Rules | items.Unreadable)


@_EXAMPLES
@given(st.data())
def test_any_settings_are_accepted_or_refused(data: st.DataObject) -> None:
    lines = build_lines('10.0.0.9:80', '10.0.0.1').splitlines()
    index = data.draw(st.integers(0, len(lines) - 1))
    name = lines[index].partition('=')[0]
    lines[index] = f'{name}={data.draw(st.text(max_size=20))}'

    try:
        read = parse_settings('\n'.join(lines), 'test')
    except SettingsError as error:
        assert str(error).startswith('test: ')
    else:
        assert isinstance(read, PlatformSettings)


@_EXAMPLES
@given(st.binary(max_size=60))
def test_any_bytes_are_rules_or_refused(encoded: bytes) -> None:
    try:
        read = decode_passed(encoded)
    except RulesError as error:
        assert str(error)
    else:
        assert isinstance(read, Rules)
