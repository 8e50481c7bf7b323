"""The digests of a patch log by position."""

from collections import deque
from collections.abc import Iterable
from enum import Enum

import msgspec

from chicoryshunt.types import ConfigVersion, Digest, LogPosition

MAX_KEPT_DIGESTS = 8192


class Head(msgspec.Struct, frozen=True, array_like=True):
    """How far a log was folded."""

    version: ConfigVersion
    position: LogPosition
    digest: Digest


class Relation(Enum):
    """How another log compares with this one."""

    same = 'same'
    behind = 'behind'
    ahead = 'ahead'
    forked = 'forked'
    unknown = 'unknown'


class DigestChain:
    """Digests of the latest positions, the oldest first."""

    def __init__(
        self,
        position: LogPosition,
        digest: Digest,
        earlier: Iterable[Digest] = (),
    ) -> None:
        """Start at a position; ``earlier`` ends right before it."""
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
        """Return the digest at a position, if it is known."""
        index = len(self._digests) - 1 - (self._last - position)
        if 0 <= index < len(self._digests):
            return self._digests[index]
        return None

    def compare(self, position: LogPosition, digest: Digest) -> Relation:
        """Say how a log with this digest at a position compares."""
        if position > self._last:
            return Relation.ahead
        known = self.find(position)
        if known is None:
            return Relation.unknown
        if known != digest:
            return Relation.forked
        return Relation.same if position == self._last else Relation.behind

    def list_earlier(self, count: int) -> tuple[Digest, ...]:
        """Return up to ``count`` digests that end before the last."""
        digests = tuple(self._digests)[:-1]
        return digests[-count:] if count else ()
