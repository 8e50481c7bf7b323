"""Messages and answers for nodes whose log is behind."""

from collections.abc import Iterable

import msgspec

from chicoryshunt.configuration.config_messages import (
    MAX_LINES_BYTES,
    ConfigLines,
    ConfigOffer,
    PullAnswer,
)
from chicoryshunt.types import LogPosition
from chicoryshunt.version.chain import Head
from chicoryshunt.version.replica import NO_HEAD, Replica, Segment

MAX_PUSH_BYTES = 32768
MAX_PULL_BYTES = 1048576
_LINE_OVERHEAD_BYTES = 5


def build_push(
    replica: Replica,
    position: LogPosition,
) -> ConfigLines | ConfigOffer | None:
    """Return the next lines after a position, or an offer to pull them.

    Return ``None`` if the replica has nothing after the position.
    """
    head = replica.head
    if head.position <= position:
        return None
    segment = replica.list_after(position)
    if segment is None or _compute_size(segment.lines) > MAX_PUSH_BYTES:
        return ConfigOffer(head)
    lines = _select_lines(segment.lines)
    if not lines:
        return ConfigOffer(head)
    return ConfigLines(position, segment.digest, lines, head.position)


class PullServer:
    """Answers pull requests and caches one encoded snapshot."""

    def __init__(self) -> None:
        """Start without a cached snapshot."""
        self._snapshot = b''
        self._head = NO_HEAD

    def answer(self, replica: Replica, head: Head) -> PullAnswer:
        """Return everything that a node with this head lacks."""
        segment = replica.list_after(head.position)
        if (
            segment is not None
            and segment.digest == head.digest
            and _compute_size(segment.lines) <= MAX_PULL_BYTES
        ):
            return _answer_lines(segment)
        own = replica.head
        return PullAnswer(own.position, own.digest, (), self._encode(replica))

    def drop(self) -> None:
        """Drop the cached snapshot to free its memory."""
        self._snapshot = b''
        self._head = NO_HEAD

    def _encode(self, replica: Replica) -> bytes:
        snapshot = replica.take_snapshot()
        if snapshot is None:
            return b''
        if self._head != replica.head:
            self._snapshot = msgspec.msgpack.encode(snapshot)
            self._head = replica.head
        return self._snapshot


def _answer_lines(segment: Segment) -> PullAnswer:
    return PullAnswer(segment.position, segment.digest, tuple(segment.lines))


def _compute_size(lines: Iterable[bytes]) -> int:
    return sum(len(line) + _LINE_OVERHEAD_BYTES for line in lines)


def _select_lines(lines: Iterable[bytes]) -> tuple[bytes, ...]:
    selected: list[bytes] = []
    remaining = MAX_LINES_BYTES
    for line in lines:
        remaining -= len(line) + _LINE_OVERHEAD_BYTES
        if remaining < 0:
            break
        selected.append(line)
    return tuple(selected)
