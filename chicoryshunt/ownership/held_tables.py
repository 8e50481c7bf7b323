"""Sealed tables of owners that left, kept to answer repeats."""

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
    measure,
    refuse_expired,
    refuse_final,
    replay,
)
from chicoryshunt.request.outcome import CallOutcome
from chicoryshunt.types import Reason

STAGE_SECONDS = 60.0

_HOLD_SECONDS = GRANT_LIFE_SECONDS + RECORD_SECONDS


class TableHead(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a sealed table; ``key`` checks the owner's grants."""

    owner_id: OwnerId
    key: bytes
    parts: int


class TablePart(msgspec.Struct, frozen=True, array_like=True):
    """One part of a sealed table.

    ``sent_at`` is in seconds of the owner's clock, so that the receiver can
    compute the age of the owner's grants.
    """

    head: TableHead
    number: int
    sent_at: float
    records: tuple[Record, ...]


class PartAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a part.

    ``missing`` is the number of parts that have not arrived yet.
    """

    is_accepted: bool
    missing: int = 0
    reason: str = ''


class SealedTable:
    """Read-only table with every record of one owner.

    A sealed owner never begins a request again, so copies of its table
    cannot contradict each other.
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
        """Return how many parts have not arrived yet."""
        return self.head.parts - len(self._parts)

    def add(self, part: TablePart) -> None:
        """Store a part; ignore a duplicate."""
        if part.number in self._parts:
            return
        self._parts.add(part.number)
        for record in part.records:
            self._records[record.name] = record
        self.size += measure_part(part)

    def answer(self, submission: Submission, now: float) -> CallOutcome:
        """Return the recorded outcome, or an answer for lack of a record."""
        record = self._records.get(submission.name)
        if record is not None:
            return replay(record, submission)
        return refuse_expired(submission, now - self.offset) or refuse_final(
            Reason.draining,
            'the owner left before the request came',
        )

    def list_records(self) -> tuple[Record, ...]:
        """Return every record."""
        return tuple(self._records.values())


class HeldTables:
    """Sealed tables that this node holds for other owners."""

    def __init__(self, max_bytes: int = MAX_TABLE_BYTES) -> None:
        """Start empty; accept up to ``max_bytes`` of records."""
        self.is_closed = False
        self._max_bytes = max_bytes
        self._complete: dict[OwnerId, SealedTable] = {}
        self._staged: dict[OwnerId, SealedTable] = {}
        self._expiries: dict[OwnerId, float] = {}

    @property
    def size(self) -> int:
        """Return the bytes of all tables, complete or not."""
        held = (*self._complete.values(), *self._staged.values())
        return sum(table.size for table in held)

    def find(self, owner_id: OwnerId) -> SealedTable | None:
        """Return an owner's table if it is here and complete."""
        return self._complete.get(owner_id)

    def list_tables(self) -> tuple[SealedTable, ...]:
        """Return every complete table."""
        return tuple(self._complete.values())

    def receive(self, part: TablePart, now: float) -> PartAnswer:
        """Store a part of a table; the table is used once complete."""
        self.expire(now)
        owner_id = part.head.owner_id
        if owner_id in self._complete:
            return PartAnswer(is_accepted=True)
        if self.is_closed:
            return PartAnswer(False, reason=Reason.draining.value)
        if self.size + measure_part(part) > self._max_bytes:
            return PartAnswer(False, reason=Reason.table_full.value)
        return self._stage(part, now)

    def expire(self, now: float) -> None:
        """Drop the tables that have expired."""
        expired = [one for one, until in self._expiries.items() if until <= now]
        for owner_id in expired:
            self._expiries.pop(owner_id)
            self._complete.pop(owner_id, None)
            self._staged.pop(owner_id, None)

    def _stage(self, part: TablePart, now: float) -> PartAnswer:
        owner_id = part.head.owner_id
        table = self._staged.get(owner_id)
        if table is None or table.head != part.head:
            table = SealedTable(part.head, now - part.sent_at)
            self._staged[owner_id] = table
        table.add(part)
        self._expiries[owner_id] = now + STAGE_SECONDS
        if not table.missing:
            self._complete[owner_id] = self._staged.pop(owner_id)
            self._expiries[owner_id] = now + _HOLD_SECONDS
        return PartAnswer(is_accepted=True, missing=table.missing)


def measure_part(part: TablePart) -> int:
    """Return the accounted bytes of the records of a part."""
    return sum(measure(record) for record in part.records)
