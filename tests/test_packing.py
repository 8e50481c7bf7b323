"""Tests of grouping parts by their encoded size."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from chicoryshunt.nodes.packing import pack

_MAX_BYTES = 100


@given(st.lists(st.binary(max_size=90), max_size=40))
def test_groups_hold_everything_in_order(parts: list[bytes]) -> None:
    groups = list(pack(parts, _MAX_BYTES))
    assert [part for group in groups for part in group] == parts
    assert all(groups)
    for group in groups:
        sizes = [len(msgspec.msgpack.encode(part)) for part in group]
        assert sum(sizes) <= _MAX_BYTES


def test_oversized_part_is_sent_alone() -> None:
    large = b'x' * 200
    assert list(pack([b'a', large, b'b'], _MAX_BYTES)) == [
        (b'a',),
        (large,),
        (b'b',),
    ]
