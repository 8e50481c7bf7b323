"""This node's copy of the log: it only ever goes forward."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import msgspec

from chicoryshunt.types import ConfigVersion, Digest, LogPosition
from chicoryshunt.version.chain import DigestChain, Head, Relation
from chicoryshunt.version.config import Config
from chicoryshunt.version.fold import PatchResult, chain_digest, fold_line
from chicoryshunt.version.published import MAX_EARLIER_DIGESTS, LogHeader

MAX_KEPT_LINE_BYTES = 1048576
MAX_KEPT_RULINGS = 1024
_LINE_OVERHEAD_BYTES = 64

NO_HEAD = Head(ConfigVersion(0), LogPosition(-1), Digest(''))


class Snapshot(msgspec.Struct, frozen=True):
    """Everything a node without history needs."""

    config: Config
    earlier: tuple[Digest, ...]
    rulings: tuple[PatchResult, ...]


class UpdateResult(Enum):
    """What became of something learned about the log."""

    advanced = 'advanced'
    known = 'known'
    gap = 'gap'
    forked = 'forked'


@dataclass(frozen=True, slots=True)
class Segment:
    """Lines of the log that follow a position with a digest."""

    position: LogPosition
    digest: Digest
    lines: Sequence[bytes]

    def compute_end(self) -> Head:
        """Return position and digest of the last line; no version is known."""
        digest = self.digest
        for line in self.lines:
            digest = chain_digest(digest, line)
        position = LogPosition(self.position + len(self.lines))
        return Head(ConfigVersion(0), position, digest)


class Replica:
    """Configuration in force, digests, latest lines and rulings."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.config: Config | None = None
        self._chain: DigestChain | None = None
        self._lines: deque[bytes] = deque()
        self._line_bytes = 0
        self._rulings: deque[PatchResult] = deque(maxlen=MAX_KEPT_RULINGS)

    @property
    def head(self) -> Head:
        """Return how far the log was folded."""
        config = self.config
        if config is None:
            return NO_HEAD
        return Head(config.version, config.position, config.digest)

    @property
    def patch_results(self) -> tuple[PatchResult, ...]:
        """Return what became of the latest patches, the oldest first."""
        return tuple(self._rulings)

    def compare(self, head: Head) -> Relation:
        """Say how another log compares with this one."""
        if self._chain is None:
            same = head.position == NO_HEAD.position
            return Relation.same if same else Relation.ahead
        if head.position == NO_HEAD.position:
            return Relation.unknown
        return self._chain.compare(head.position, head.digest)

    def find_digest(self, position: LogPosition) -> Digest | None:
        """Return the digest of the log up to a position, if it is known."""
        return None if self._chain is None else self._chain.find(position)

    def extend(self, segment: Segment) -> UpdateResult:
        """Fold the lines that are new, unless they belong to another log."""
        if self._chain is None or segment.position > self._chain.position:
            return UpdateResult.gap
        digest = segment.digest
        if not self._is_known(segment.position, digest):
            return UpdateResult.forked
        outcome = UpdateResult.known
        for offset, line in enumerate(segment.lines, 1):
            position = LogPosition(segment.position + offset)
            digest = chain_digest(digest, line)
            if position > self._chain.position:
                self._fold(line)
                outcome = UpdateResult.advanced
            elif not self._is_known(position, digest):
                return UpdateResult.forked
        return outcome

    def adopt(self, snapshot: Snapshot) -> UpdateResult:
        """Take a whole state over if it lies further on the same log."""
        config = snapshot.config
        chain = DigestChain(config.position, config.digest, snapshot.earlier)
        if self._chain is not None:
            if config.position <= self._chain.position:
                known = self._is_known(config.position, config.digest)
                return UpdateResult.known if known else UpdateResult.forked
            own = self.head
            if chain.compare(own.position, own.digest) is Relation.forked:
                return UpdateResult.forked
        self.config = config
        self._chain = chain
        self._lines.clear()
        self._line_bytes = 0
        self._rulings.clear()
        self._rulings.extend(snapshot.rulings)
        return UpdateResult.advanced

    def check_base(self, header: LogHeader) -> Relation:
        """Say how a published base compares with this log."""
        if self._chain is None:
            return Relation.ahead
        own = self.head
        match self._chain.compare(header.position, header.digest):
            case Relation.ahead:
                base = DigestChain(
                    header.position, header.digest, header.earlier
                )
                relation = base.compare(own.position, own.digest)
                if relation is not Relation.forked:
                    return Relation.ahead
                return relation
            case Relation.same if header.version != own.version:
                return Relation.forked
            case relation:
                return relation

    def list_after(self, position: LogPosition) -> Segment | None:
        """Return the lines after a position, if all are still kept."""
        if self._chain is None:
            return None
        digest = self._chain.find(position)
        count = self._chain.position - position
        if digest is None or count > len(self._lines):
            return None
        lines = tuple(self._lines)[len(self._lines) - count :]
        return Segment(position, digest, lines)

    def take_snapshot(self) -> Snapshot | None:
        """Return everything a node without history needs."""
        if self.config is None or self._chain is None:
            return None
        return Snapshot(
            self.config,
            self._chain.list_earlier(MAX_EARLIER_DIGESTS),
            self.patch_results,
        )

    def _fold(self, line: bytes) -> None:
        assert self.config is not None
        assert self._chain is not None
        folding = fold_line(self.config, line)
        self.config = folding.config
        self._chain.append(folding.config.digest)
        self._keep(line)
        self._rulings.append(folding.result)

    def _keep(self, line: bytes) -> None:
        self._lines.append(line)
        self._line_bytes += len(line) + _LINE_OVERHEAD_BYTES
        while self._line_bytes > MAX_KEPT_LINE_BYTES:
            dropped = self._lines.popleft()
            self._line_bytes -= len(dropped) + _LINE_OVERHEAD_BYTES

    def _is_known(self, position: LogPosition, digest: Digest) -> bool:
        assert self._chain is not None
        known = self._chain.find(position)
        return known is None or known == digest
