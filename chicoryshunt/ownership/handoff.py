"""Hand-off of a sealed table to one successor, or else to the next."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from chicoryshunt.ownership.grants import OwnerId
from chicoryshunt.ownership.held_tables import PartAnswer, TableHead, TablePart
from chicoryshunt.ownership.records import Record, measure
from chicoryshunt.types import VmId

PART_BYTES = 1_048_576
MAX_FAILURES = 3


class HandoffState(Enum):
    """Progress of a hand-off."""

    sending = 'sending'
    taken = 'taken'
    lost = 'lost'


@dataclass(frozen=True, slots=True)
class SealedRecords:
    """Records to hand off.

    ``offset`` is this process's clock less the owner's clock, in seconds.
    """

    owner_id: OwnerId
    key: bytes
    records: tuple[Record, ...]
    offset: float = 0


class Handoff:
    """State machine of one hand-off: what to send next, and to whom.

    All records are sealed before the first part is sent, so parts may be
    lost, duplicated or late without harm.
    """

    def __init__(
        self,
        sealed: SealedRecords,
        successors: Sequence[VmId],
        part_bytes: int = PART_BYTES,
    ) -> None:
        """Hand off to the first successor that takes the whole table."""
        parts = tuple(_split(sealed.records, part_bytes))
        self._parts = parts
        self._head = TableHead(sealed.owner_id, sealed.key, len(parts))
        self._offset = sealed.offset
        self._successors = list(successors)
        self._next_part = 0
        self._failures = 0
        self._is_taken = False

    @property
    def state(self) -> HandoffState:
        """Return the progress of the hand-off."""
        if self._is_taken:
            return HandoffState.taken
        if self._successors:
            return HandoffState.sending
        return HandoffState.lost

    @property
    def owner_id(self) -> OwnerId:
        """Return the owner of the table."""
        return self._head.owner_id

    @property
    def successor(self) -> VmId:
        """Return the successor to send to."""
        return self._successors[0]

    def build_part(self, now: float) -> TablePart:
        """Return the part to send next."""
        return TablePart(
            self._head,
            self._next_part,
            now - self._offset,
            self._parts[self._next_part],
        )

    def accept_answer(self, answer: PartAnswer) -> None:
        """Advance after an answer of the successor."""
        if not answer.is_accepted:
            self._try_next_successor()
            return
        if not answer.missing:
            self._is_taken = True
            return
        self._next_part += 1
        if self._next_part == len(self._parts):
            self._next_part = 0
            self.accept_failure()

    def accept_failure(self) -> None:
        """Advance after a part that may or may not have arrived."""
        self._failures += 1
        if self._failures >= MAX_FAILURES:
            self._try_next_successor()

    def _try_next_successor(self) -> None:
        self._successors.pop(0)
        self._next_part = 0
        self._failures = 0


def _split(
    records: Sequence[Record],
    part_bytes: int,
) -> Iterator[tuple[Record, ...]]:
    part: list[Record] = []
    size = 0
    for record in records:
        if part and size + measure(record) > part_bytes:
            yield tuple(part)
            part = []
            size = 0
        part.append(record)
        size += measure(record)
    yield tuple(part)
