"""What this node holds on one target, and its side of the claims."""

from dataclasses import dataclass, field
from math import ceil

from chicoryshunt.limits.ballot import Account, Ballot, Process
from chicoryshunt.limits.claims import (
    Claim,
    Grant,
    LeaseTimes,
    Release,
)
from chicoryshunt.policy.slots import Headroom, LoadSnapshot, Shortage, Slot
from chicoryshunt.types import TargetId, VmId

_WANT_SECONDS = 2.0
_RETRY_SECONDS = 0.5


@dataclass(slots=True)
class Usage:
    """Slots taken on one target with their memory tokens."""

    low: int = 0
    low_since_claim: int = 0
    memory_tokens: int = 0
    slots: dict[int, Slot] = field(default_factory=dict)
    numbers: int = 0

    def take(self, target: TargetId, memory_tokens: int) -> Slot:
        """Take one slot."""
        self.numbers += 1
        slot = Slot(target, self.numbers, memory_tokens)
        self.slots[slot.number] = slot
        self.memory_tokens += memory_tokens
        return slot

    def give_back(self, slot: Slot) -> None:
        """Return a slot; a second return of it does nothing."""
        if self.slots.pop(slot.number, None) is not None:
            self.memory_tokens -= slot.memory_tokens
            self.low = min(self.low, len(self.slots))
            self.low_since_claim = min(self.low_since_claim, len(self.slots))


class HeldLease:
    """The lease, the claims and the vote of this node on one target."""

    def __init__(
        self,
        target: TargetId,
        ballot: Ballot,
        times: LeaseTimes,
        fresh_until: float,
    ) -> None:
        """Start without a lease.

        Until ``fresh_until`` requests of an earlier process may run.
        """
        self.own_vote = ballot
        self.usage = Usage()
        self.keeper: VmId | None = None
        self.load: LoadSnapshot | None = None
        self.load_at: float = 0
        self.curve: tuple[int, ...] = ()
        self.next_claim: float = 0
        self._target = target
        self._times = times
        self._epoch = 0
        self._answer = 0
        self._issuer: Process | None = None
        self._has_told_account = False
        self._number = 0
        self._answered = 0
        self._fresh_until = fresh_until
        self._sent: float = 0
        self._slots = 0
        self._memory_per_slot = 0
        self._expires: float = 0
        self._is_paused = False
        self._want = 0
        self._want_until: float = 0

    @property
    def running(self) -> int:
        """Return the slots that are taken."""
        return len(self.usage.slots)

    def count_slots(self, now: float) -> int:
        """Return the slots of the lease while it is live."""
        return self._slots if now < self._expires else 0

    def find_headroom(self, now: float) -> Headroom:
        """Return what could be taken at this moment."""
        slots = self.count_slots(now)
        memory = slots * self._memory_per_slot - self.usage.memory_tokens
        return Headroom(max(0, slots - self.count_used()), max(0, memory))

    def count_used(self) -> int:
        """Return the slots in use, by requests or by their memory."""
        if not self._memory_per_slot:
            return self.running
        by_memory = ceil(self.usage.memory_tokens / self._memory_per_slot)
        return max(self.running, by_memory)

    def acquire_slot(self, memory_tokens: int, now: float) -> Slot | Shortage:
        """Take a slot if the lease allows it at this moment."""
        slots = self.count_slots(now)
        if not slots:
            return Shortage.paused if self._is_paused else Shortage.no_lease
        if self.running >= slots:
            return Shortage.lease_used_up
        if memory_tokens > self.find_headroom(now).memory_tokens:
            self.request_slots(0, memory_tokens, now)
            return Shortage.memory_used_up
        return self.usage.take(self._target, memory_tokens)

    def register_running(self, now: float) -> Slot:
        """Count a request that already runs, and tell the keeper soon."""
        self.next_claim = min(self.next_claim, now)
        return self.usage.take(self._target, 0)

    def request_slots(self, slots: int, memory_tokens: int, now: float) -> None:
        """Ask for more slots soon when the lease has too few."""
        by_memory = 0
        if memory_tokens and self._memory_per_slot:
            tokens = self.usage.memory_tokens + memory_tokens
            by_memory = ceil(tokens / self._memory_per_slot)
        self._ask(max(self.count_used() + slots, by_memory), now)

    def follow(self, keeper: VmId | None, now: float) -> None:
        """Turn to the node that keeps the target now."""
        if keeper != self.keeper:
            self.keeper = keeper
            self._epoch = 0
            self._answer = 0
            self.next_claim = now

    def claim(self, now: float) -> Claim:
        """Build the next claim; it binds this node from now on."""
        assert self.keeper is not None
        keeper = Process(self.keeper, self._epoch)
        self._slots = self.count_slots(now)
        self._number += 1
        self._sent = now
        self.usage.low_since_claim = self.running
        self.next_claim = now + self._find_interval()
        account = self.own_vote.account
        is_known = account is not None and account.keeper == keeper
        self._has_told_account = not is_known
        return Claim(
            self._target,
            self._number,
            self.count_used(),
            self.usage.low,
            self._slots,
            max(self.count_used(), self._find_want(now)),
            grant_number=self._answer,
            shares=self.own_vote.vote(keeper, now) if self._answer else (),
            excess_version=account.number if is_known and account else 0,
            inherited=self.own_vote.list_inherited(keeper),
            is_fresh=now < self._fresh_until,
            curve=self.curve,
        )

    def accept(
        self,
        sender: VmId,
        grant: Grant,
        now: float,
    ) -> None:
        """Take a grant that answers the latest claim."""
        if sender != self.keeper or grant.claim_number != self._number:
            return
        epoch = grant.epoch
        if epoch == self._epoch and grant.grant_number <= self._answer:
            return
        is_first = epoch != self._epoch
        is_change = self._answered == grant.claim_number
        if not is_change:
            self.usage.low = self.usage.low_since_claim
        self._answered = grant.claim_number
        self._epoch = epoch
        self._answer = grant.grant_number
        self._apply(Process(sender, epoch), grant, now)
        if grant.load is not None:
            self.load = grant.load
            self.load_at = now
        if grant.excess is not None:
            self._store_account(Process(sender, epoch), grant)
        if grant.is_clear:
            self._fresh_until = now
        if is_first or is_change:
            self.next_claim = now

    def release(self, sender: VmId, release: Release, now: float) -> None:
        """Take the vote back from a keeper that grants no more."""
        keeper = Process(sender, release.epoch)
        self.own_vote.release(keeper)
        self.own_vote.account = Account(
            keeper, release.excess_version, release.excess
        )
        self.next_claim = now

    def is_idle(self, now: float) -> bool:
        """Say whether nothing depends on this tenure any more."""
        return (
            not self.running
            and not self._find_want(now)
            and now >= self._expires
            and now >= self._sent + self._times.vote_term
        )

    def wake(self, now: float) -> None:
        """Hold nothing until the keeper confirms it."""
        self._expires = min(self._expires, now)
        self._is_paused = True
        self.next_claim = now

    def _ask(self, wanted: int, now: float) -> None:
        is_more = wanted > self._find_want(now)
        self._want = wanted
        self._want_until = now + _WANT_SECONDS
        if is_more and wanted > self.count_slots(now):
            self.next_claim = min(self.next_claim, now)

    def _apply(self, keeper: Process, grant: Grant, now: float) -> None:
        """Replace the lease; a new keeper cannot cut another's short."""
        is_other = keeper != self._issuer
        if is_other and grant.slots < self.count_slots(now):
            return
        self._issuer = keeper
        self._slots = grant.slots
        self._memory_per_slot = grant.memory_tokens
        self._expires = self._sent + self._times.term
        self._is_paused = False

    def _store_account(self, keeper: Process, grant: Grant) -> None:
        """Keep a keeper's account once it was told of the one before."""
        known = self.own_vote.account
        is_same = known is not None and known.keeper == keeper
        if known is None or is_same or self._has_told_account:
            excess = grant.excess or ()
            self.own_vote.account = Account(
                keeper, grant.excess_version, excess
            )

    def _find_interval(self) -> float:
        if self._epoch:
            return self._times.interval
        return min(self._times.interval, _RETRY_SECONDS)

    def _find_want(self, now: float) -> int:
        return self._want if now < self._want_until else 0
