"""Hands a sealed table to one successor, and to the next if it fails."""

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
    """How far a hand-off is."""

    sending = 'sending'
    taken = 'taken'
    lost = 'lost'


@dataclass(frozen=True, slots=True)
class SealedRecords:
    """What is handed off; ``offset`` is own clock less the owner's."""

    owner_id: OwnerId
    key: bytes
    records: tuple[Record, ...]
    offset: float = 0


class Handoff:
    """Core of one hand-off: says what to send next, and to whom.

    Every record is sealed before the first part leaves, so a part that is
    lost, doubled or late does no harm.
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
        self._number = 0
        self._failures = 0
        self._is_taken = False

    @property
    def state(self) -> HandoffState:
        """Return how far the hand-off is."""
        if self._is_taken:
            return HandoffState.taken
        if self._successors:
            return HandoffState.sending
        return HandoffState.lost

    @property
    def owner_id(self) -> OwnerId:
        """Return whose table is handed off."""
        return self._head.owner_id

    @property
    def successor(self) -> VmId:
        """Return the named successor."""
        return self._successors[0]

    def build_part(self, now: float) -> TablePart:
        """Return the part to send to the successor."""
        return TablePart(
            self._head,
            self._number,
            now - self._offset,
            self._parts[self._number],
        )

    def accept_answer(self, answer: PartAnswer) -> None:
        """Go on after the successor's answer."""
        if not answer.is_accepted:
            self._turn_to_next()
            return
        if not answer.missing:
            self._is_taken = True
            return
        self._number += 1
        if self._number == len(self._parts):
            self._number = 0
            self.accept_failure()

    def accept_failure(self) -> None:
        """Go on after a part that may or may not have arrived."""
        self._failures += 1
        if self._failures >= MAX_FAILURES:
            self._turn_to_next()

    def _turn_to_next(self) -> None:
        self._successors.pop(0)
        self._number = 0
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
