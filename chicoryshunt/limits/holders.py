"""Processes that claim slots of one target, as its keeper sees them."""

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum

from chicoryshunt.limits.claims import Claim
from chicoryshunt.types import VmId

_KEPT_GRANTS = 8
_KEPT_SAMPLES = 16
_SMOOTHING = 0.3


class Priority(IntEnum):
    """Order in which holders get scarce slots."""

    kept = 0
    waiting = 1
    due = 2
    emptied = 3


@dataclass(frozen=True, slots=True)
class ClaimSample:
    """Bounds from one claim, which was sent after ``sent_after``."""

    received: float
    sent_after: float
    min_running: int
    max_occupied: int


@dataclass(slots=True)
class Holder:
    """One process that claims slots; times are in seconds.

    ``occupied`` bounds the slots that it may use on the target, ``granted``
    is the number in the latest grant, ``lent`` the slots of the voter share
    in its latest claim. ``average_granted`` is an exponential moving average.
    """

    vm: VmId
    epoch: int
    since: float
    claim_number: int = 0
    occupied: int = 0
    used: int = 0
    wanted: int = 0
    granted: int = 0
    lent: int = 0
    expires: float = 0
    average_granted: float = 0
    raised_at: float = 0
    emptied_at: float = 0
    excess_version: int = 0
    next_push: float = 0
    curve: tuple[int, ...] = ()
    samples: deque[ClaimSample] = field(
        default_factory=lambda: deque(maxlen=_KEPT_SAMPLES),
    )
    grant_times: dict[int, float] = field(default_factory=dict)

    @property
    def missing(self) -> int:
        """Return the slots that it wants and does not have."""
        return max(0, self.wanted - max(self.granted, self.occupied))

    def apply_claim(self, claim: Claim, now: float, expires: float) -> None:
        """Update the holder from a claim."""
        self.claim_number = claim.number
        self.used = claim.used
        self.wanted = claim.wanted
        self.curve = claim.curve
        self.occupied = max(claim.held, claim.used)
        self.granted = min(self.granted, claim.held)
        self.average_granted += (
            self.granted - self.average_granted
        ) * _SMOOTHING
        self.expires = expires
        sent_after = self.grant_times.get(claim.grant_number, 0)
        self.samples.append(
            ClaimSample(now, sent_after, claim.min_running, self.occupied)
        )

    def record_grant(self, number: int, slots: int, now: float) -> None:
        """Record a grant and its time."""
        if slots > self.granted:
            self.raised_at = now
        if self.granted and not slots:
            self.emptied_at = now
        self.granted = slots
        self.occupied = max(self.occupied, slots)
        self.grant_times[number] = now
        if len(self.grant_times) > _KEPT_GRANTS:
            self.grant_times.pop(next(iter(self.grant_times)))

    def find_priority(self, settled: float) -> tuple[Priority, float, VmId]:
        """Return the sort key of the holder for scarce slots.

        A grant that changed after ``settled`` stays as it is, so that a slot
        is used before another holder gets it.
        """
        if self.granted:
            is_kept = self.raised_at >= settled
            priority = Priority.kept if is_kept else Priority.due
        else:
            is_waiting = self.emptied_at < settled
            priority = Priority.waiting if is_waiting else Priority.emptied
        return priority, self.average_granted, self.vm

    def find_min_running(self, start: float, end: float) -> int:
        """Return the minimum of running requests over a time span."""
        is_covered = self.since <= start and any(
            sample.sent_after >= end for sample in self.samples
        )
        if not is_covered:
            return 0
        return min(
            (
                sample.min_running
                for sample in self.samples
                if sample.received >= start
            ),
            default=0,
        )

    def find_max_occupied(self, start: float) -> int:
        """Return the most slots that it may have used since a time."""
        return max(
            (
                sample.max_occupied
                for sample in self.samples
                if sample.received >= start
            ),
            default=self.occupied,
        )
