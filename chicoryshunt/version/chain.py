"""Digests of a patch log by position."""

from collections import deque
from collections.abc import Iterable
from enum import Enum

import msgspec

from chicoryshunt.types import ConfigVersion, Digest, LogPosition

MAX_KEPT_DIGESTS = 8192


class Head(msgspec.Struct, frozen=True, array_like=True):
    """Version, position and digest at the end of a folded log."""

    version: ConfigVersion
    position: LogPosition
    digest: Digest


class Relation(Enum):
    """Relation of another log to this one."""

    same = 'same'
    behind = 'behind'
    ahead = 'ahead'
    forked = 'forked'
    unknown = 'unknown'


class DigestChain:
    """Digests of the latest log positions, oldest first."""

    def __init__(
        self,
        position: LogPosition,
        digest: Digest,
        earlier: Iterable[Digest] = (),
    ) -> None:
        """Start at a position; ``earlier`` holds the digests before it."""
        self._digests = deque(earlier, MAX_KEPT_DIGESTS)
        self._digests.append(digest)
        self._last = position

    @property
    def position(self) -> LogPosition:
        """Return the last position."""
        return self._last

    def append(self, digest: Digest) -> None:
        """Add the digest of the next position."""
        self._digests.append(digest)
        self._last = LogPosition(self._last + 1)

    def find(self, position: LogPosition) -> Digest | None:
        """Return the digest at a position, or ``None`` if unknown."""
        index = len(self._digests) - 1 - (self._last - position)
        if 0 <= index < len(self._digests):
            return self._digests[index]
        return None

    def compare(self, position: LogPosition, digest: Digest) -> Relation:
        """Compare with a log that has this digest at a position."""
        if position > self._last:
            return Relation.ahead
        known = self.find(position)
        if known is None:
            return Relation.unknown
        if known != digest:
            return Relation.forked
        return Relation.same if position == self._last else Relation.behind

    def list_earlier(self, count: int) -> tuple[Digest, ...]:
        """Return up to ``count`` digests right before the last one."""
        digests = tuple(self._digests)[:-1]
        return digests[-count:] if count else ()
