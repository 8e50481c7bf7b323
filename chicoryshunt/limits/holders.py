"""The processes that claim slots of one target, as its keeper sees them."""

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum

from chicoryshunt.limits.claims import Claim
from chicoryshunt.types import VmId

_KEPT_ANSWERS = 8
_KEPT_MARKS = 16
_SMOOTHING = 0.3


class Turn(IntEnum):
    """Order in which holders get scarce slots."""

    kept = 0
    waiting = 1
    due = 2
    emptied = 3


@dataclass(frozen=True, slots=True)
class Mark:
    """What one claim told, which was sent after a second."""

    received: float
    sent_after: float
    low: int
    high: int


@dataclass(slots=True)
class Holder:
    """One process that claims; times are in seconds.

    ``occupied`` bounds what it may have on the target, ``told`` is what the
    latest grant says, ``cover`` is the worth of the seat that it lends here.
    """

    vm: VmId
    epoch: int
    since: float
    number: int = 0
    occupied: int = 0
    used: int = 0
    want: int = 0
    told: int = 0
    cover: int = 0
    expires: float = 0
    turn: float = 0
    raised_at: float = 0
    emptied_at: float = 0
    account_told: int = 0
    next_push: float = 0
    curve: tuple[int, ...] = ()
    marks: deque[Mark] = field(
        default_factory=lambda: deque(maxlen=_KEPT_MARKS),
    )
    answers: dict[int, float] = field(default_factory=dict)

    @property
    def missing(self) -> int:
        """Return the slots that it wants and has not."""
        return max(0, self.want - max(self.told, self.occupied))

    def take(self, claim: Claim, now: float, expires: float) -> None:
        """Take what a claim tells."""
        self.number = claim.number
        self.used = claim.used
        self.want = claim.want
        self.curve = claim.curve
        self.occupied = max(claim.held, claim.used)
        self.told = min(self.told, claim.held)
        self.turn += (self.told - self.turn) * _SMOOTHING
        self.expires = expires
        sent_after = self.answers.get(claim.grant_number, 0)
        self.marks.append(Mark(now, sent_after, claim.low, self.occupied))

    def answer(self, number: int, slots: int, now: float) -> None:
        """Remember what was granted and when."""
        if slots > self.told:
            self.raised_at = now
        if self.told and not slots:
            self.emptied_at = now
        self.told = slots
        self.occupied = max(self.occupied, slots)
        self.answers[number] = now
        if len(self.answers) > _KEPT_ANSWERS:
            self.answers.pop(next(iter(self.answers)))

    def find_turn(self, settled: float) -> tuple[Turn, float, VmId]:
        """Return the order in which holders get scarce slots.

        What changed after ``settled`` stays as it is, so that a slot is used
        before it goes on.
        """
        if self.told:
            is_kept = self.raised_at >= settled
            turn = Turn.kept if is_kept else Turn.due
        else:
            is_waiting = self.emptied_at < settled
            turn = Turn.waiting if is_waiting else Turn.emptied
        return turn, self.turn, self.vm

    def find_low(self, start: float, end: float) -> int:
        """Return the least requests that ran at any time of a span."""
        is_covered = self.since <= start and any(
            mark.sent_after >= end for mark in self.marks
        )
        if not is_covered:
            return 0
        return min(
            (mark.low for mark in self.marks if mark.received >= start),
            default=0,
        )

    def find_high(self, start: float) -> int:
        """Return the most slots it may have had since a second."""
        return max(
            (mark.high for mark in self.marks if mark.received >= start),
            default=self.occupied,
        )
