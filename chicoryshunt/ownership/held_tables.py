"""Sealed tables of owners that left, held to answer repeats."""

import msgspec

from chicoryshunt.ownership.grants import (
    GRANT_LIFE_SECONDS,
    OwnerId,
    RequestName,
)
from chicoryshunt.ownership.records import (
    MAX_TABLE_BYTES,
    RECORD_SECONDS,
    Record,
    Submission,
    close,
    judge_unknown,
    measure,
    replay,
)
from chicoryshunt.request.outcome import CallOutcome
from chicoryshunt.types import Reason

STAGE_SECONDS = 60.0

_HELD_SECONDS = GRANT_LIFE_SECONDS + RECORD_SECONDS


class TableHead(msgspec.Struct, frozen=True, array_like=True):
    """What a sealed table is; ``key`` checks the owner's grants."""

    owner_id: OwnerId
    key: bytes
    parts: int


class TablePart(msgspec.Struct, frozen=True, array_like=True):
    """One part of a sealed table.

    ``sent_at`` is in seconds of the owner's clock, so that the receiver can
    judge the age of the owner's grants.
    """

    head: TableHead
    number: int
    sent_at: float
    records: tuple[Record, ...]


class PartAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a part; ``missing`` lists the parts not received yet."""

    is_accepted: bool
    missing: int = 0
    reason: str = ''


class SealedTable:
    """Every record of one owner, which can only be read.

    A sealed owner never begins a request again, so copies of its table
    cannot disagree.
    """

    def __init__(self, head: TableHead, offset: float) -> None:
        """Start without parts; ``offset`` is own clock less owner's."""
        self.head = head
        self.offset = offset
        self.size = 0
        self._parts: set[int] = set()
        self._records: dict[RequestName, Record] = {}

    @property
    def missing(self) -> int:
        """Return how many parts have not come yet."""
        return self.head.parts - len(self._parts)

    def add(self, part: TablePart) -> None:
        """Keep a part; a second copy changes nothing."""
        if part.number in self._parts:
            return
        self._parts.add(part.number)
        for record in part.records:
            self._records[record.name] = record
        self.size += measure_part(part)

    def answer(self, ask: Submission, now: float) -> CallOutcome:
        """Return the recorded outcome, or prove that there is none."""
        record = self._records.get(ask.name)
        if record is not None:
            return replay(record, ask)
        return judge_unknown(ask, now - self.offset) or close(
            Reason.draining,
            'the owner left before the request came',
        )

    def list_records(self) -> tuple[Record, ...]:
        """Return every record."""
        return tuple(self._records.values())


class HeldTables:
    """The sealed tables that this node holds for others."""

    def __init__(self, max_bytes: int = MAX_TABLE_BYTES) -> None:
        """Start empty and willing to take tables."""
        self.is_closed = False
        self._max_bytes = max_bytes
        self._whole: dict[OwnerId, SealedTable] = {}
        self._staged: dict[OwnerId, SealedTable] = {}
        self._until: dict[OwnerId, float] = {}

    @property
    def size(self) -> int:
        """Return the bytes of all tables, whole or not."""
        held = (*self._whole.values(), *self._staged.values())
        return sum(table.size for table in held)

    def find(self, origin: OwnerId) -> SealedTable | None:
        """Return the table of an owner if it is here and whole."""
        return self._whole.get(origin)

    def list_tables(self) -> tuple[SealedTable, ...]:
        """Return every whole table."""
        return tuple(self._whole.values())

    def receive(self, part: TablePart, now: float) -> PartAnswer:
        """Take a part of a table; the table counts once it is whole."""
        self.expire(now)
        origin = part.head.owner_id
        if origin in self._whole:
            return PartAnswer(is_accepted=True)
        if self.is_closed:
            return PartAnswer(False, reason=Reason.draining.value)
        if self.size + measure_part(part) > self._max_bytes:
            return PartAnswer(False, reason=Reason.table_full.value)
        return self._stage(part, now)

    def expire(self, now: float) -> None:
        """Drop the tables whose time is over."""
        over = [one for one, until in self._until.items() if until <= now]
        for origin in over:
            self._until.pop(origin)
            self._whole.pop(origin, None)
            self._staged.pop(origin, None)

    def _stage(self, part: TablePart, now: float) -> PartAnswer:
        origin = part.head.owner_id
        table = self._staged.get(origin)
        if table is None or table.head != part.head:
            table = SealedTable(part.head, now - part.sent_at)
            self._staged[origin] = table
        table.add(part)
        self._until[origin] = now + STAGE_SECONDS
        if not table.missing:
            self._whole[origin] = self._staged.pop(origin)
            self._until[origin] = now + _HELD_SECONDS
        return PartAnswer(is_accepted=True, missing=table.missing)


def measure_part(part: TablePart) -> int:
    """Return the bytes that the records of a part are counted as."""
    return sum(measure(record) for record in part.records)
