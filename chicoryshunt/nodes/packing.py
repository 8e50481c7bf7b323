"""Groups parts of messages by their encoded size."""

from collections.abc import Iterable, Iterator
from typing import TypeVar

import msgspec

MAX_PACKED_BYTES = 1200

_Part = TypeVar('_Part')


def pack(
    parts: Iterable[_Part],
    max_bytes: int = MAX_PACKED_BYTES,
) -> Iterator[tuple[_Part, ...]]:
    """Yield groups that fit into ``max_bytes``, or hold one larger part."""
    group: list[_Part] = []
    total = 0
    for part in parts:
        size = len(msgspec.msgpack.encode(part))
        if group and total + size > max_bytes:
            yield tuple(group)
            group = []
            total = 0
        group.append(part)
        total += size
    if group:
        yield tuple(group)
