"""This node's lease on one target: the holder's side of the claims."""

from dataclasses import dataclass, field
from math import ceil

from chicoryshunt.limits.claims import (
    Claim,
    Grant,
    LeaseTimes,
    Release,
)
from chicoryshunt.limits.own_vote import KeeperEpoch, KeeperExcess, OwnVote
from chicoryshunt.policy.slots import Headroom, LoadSnapshot, Shortage, Slot
from chicoryshunt.types import TargetId, VmId

_DEMAND_SECONDS = 2.0
_RETRY_SECONDS = 0.5


@dataclass(slots=True)
class Usage:
    """Tracks slots taken on one target and their memory tokens."""

    min_running: int = 0
    min_running_since_claim: int = 0
    memory_tokens: int = 0
    slots: dict[int, Slot] = field(default_factory=dict)
    last_number: int = 0

    def take(self, target: TargetId, memory_tokens: int) -> Slot:
        """Take one slot."""
        self.last_number += 1
        slot = Slot(target, self.last_number, memory_tokens)
        self.slots[slot.number] = slot
        self.memory_tokens += memory_tokens
        return slot

    def release(self, slot: Slot) -> None:
        """Return a slot; do nothing if it was returned before."""
        if self.slots.pop(slot.number, None) is not None:
            self.memory_tokens -= slot.memory_tokens
            self.min_running = min(self.min_running, len(self.slots))
            self.min_running_since_claim = min(
                self.min_running_since_claim, len(self.slots)
            )


class HeldLease:
    """Tracks the lease, claims and vote of this node on one target."""

    def __init__(
        self,
        target: TargetId,
        own_vote: OwnVote,
        times: LeaseTimes,
        fresh_until: float,
    ) -> None:
        """Start without a lease.

        Requests of an earlier process may run until ``fresh_until``.
        """
        self.own_vote = own_vote
        self.usage = Usage()
        self.keeper: VmId | None = None
        self.load: LoadSnapshot | None = None
        self.load_at: float = 0
        self.curve: tuple[int, ...] = ()
        self.next_claim: float = 0
        self._target = target
        self._times = times
        self._epoch = 0
        self._grant_number = 0
        self._grantor: KeeperEpoch | None = None
        self._has_reported_excess = False
        self._claim_number = 0
        self._answered_claim = 0
        self._fresh_until = fresh_until
        self._claimed_at: float = 0
        self._slots = 0
        self._memory_per_slot = 0
        self._expires: float = 0
        self._is_paused = False
        self._wanted = 0
        self._wanted_until: float = 0

    @property
    def running(self) -> int:
        """Return the slots that are taken."""
        return len(self.usage.slots)

    def count_slots(self, now: float) -> int:
        """Return the slots of the lease while it is live."""
        return self._slots if now < self._expires else 0

    def find_headroom(self, now: float) -> Headroom:
        """Return what can be taken now."""
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
        """Take a slot if the lease allows it now."""
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
        """Count a request that already runs; claim its slot at once."""
        self.next_claim = min(self.next_claim, now)
        return self.usage.take(self._target, 0)

    def request_slots(self, slots: int, memory_tokens: int, now: float) -> None:
        """Request more slots if the lease has too few."""
        by_memory = 0
        if memory_tokens and self._memory_per_slot:
            tokens = self.usage.memory_tokens + memory_tokens
            by_memory = ceil(tokens / self._memory_per_slot)
        self._request(max(self.count_used() + slots, by_memory), now)

    def set_keeper(self, keeper: VmId | None, now: float) -> None:
        """Set the present keeper; claim at once if it changed."""
        if keeper != self.keeper:
            self.keeper = keeper
            self._epoch = 0
            self._grant_number = 0
            self.next_claim = now

    def claim(self, now: float) -> Claim:
        """Return the next claim, which is binding from now on."""
        assert self.keeper is not None
        keeper = KeeperEpoch(self.keeper, self._epoch)
        self._slots = self.count_slots(now)
        self._claim_number += 1
        self._claimed_at = now
        self.usage.min_running_since_claim = self.running
        self.next_claim = now + self._find_interval()
        stored = self.own_vote.known_excess
        is_known = stored is not None and stored.keeper == keeper
        self._has_reported_excess = not is_known
        return Claim(
            self._target,
            self._claim_number,
            self.count_used(),
            self.usage.min_running,
            self._slots,
            max(self.count_used(), self._find_wanted(now)),
            grant_number=self._grant_number,
            shares=self.own_vote.cast(keeper, now)
            if self._grant_number
            else (),
            excess_version=stored.version if is_known and stored else 0,
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
        """Apply a grant that answers the latest claim."""
        if sender != self.keeper or grant.claim_number != self._claim_number:
            return
        epoch = grant.epoch
        if epoch == self._epoch and grant.grant_number <= self._grant_number:
            return
        is_first = epoch != self._epoch
        is_change = self._answered_claim == grant.claim_number
        if not is_change:
            self.usage.min_running = self.usage.min_running_since_claim
        self._answered_claim = grant.claim_number
        self._epoch = epoch
        self._grant_number = grant.grant_number
        self._replace_lease(KeeperEpoch(sender, epoch), grant, now)
        if grant.load is not None:
            self.load = grant.load
            self.load_at = now
        if grant.excess is not None:
            self._store_excess(KeeperEpoch(sender, epoch), grant)
        if grant.is_clear:
            self._fresh_until = now
        if is_first or is_change:
            self.next_claim = now

    def release(self, sender: VmId, release: Release, now: float) -> None:
        """Withdraw the vote from a keeper that grants no more."""
        keeper = KeeperEpoch(sender, release.epoch)
        self.own_vote.release(keeper)
        self.own_vote.known_excess = KeeperExcess(
            keeper, release.excess_version, release.excess
        )
        self.next_claim = now

    def is_idle(self, now: float) -> bool:
        """Say whether this lease and vote can be dropped."""
        return (
            not self.running
            and not self._find_wanted(now)
            and now >= self._expires
            and now >= self._claimed_at + self._times.vote_term
        )

    def suspend(self, now: float) -> None:
        """Drop the lease until the keeper grants it again."""
        self._expires = min(self._expires, now)
        self._is_paused = True
        self.next_claim = now

    def _request(self, wanted: int, now: float) -> None:
        is_more = wanted > self._find_wanted(now)
        self._wanted = wanted
        self._wanted_until = now + _DEMAND_SECONDS
        if is_more and wanted > self.count_slots(now):
            self.next_claim = min(self.next_claim, now)

    def _replace_lease(
        self, keeper: KeeperEpoch, grant: Grant, now: float
    ) -> None:
        """Replace the lease, but not by a smaller one of another keeper."""
        is_other = keeper != self._grantor
        if is_other and grant.slots < self.count_slots(now):
            return
        self._grantor = keeper
        self._slots = grant.slots
        self._memory_per_slot = grant.memory_tokens
        self._expires = self._claimed_at + self._times.term
        self._is_paused = False

    def _store_excess(self, keeper: KeeperEpoch, grant: Grant) -> None:
        """Store a keeper's excess once it was told the stored one."""
        known = self.own_vote.known_excess
        is_same = known is not None and known.keeper == keeper
        if known is None or is_same or self._has_reported_excess:
            excess = grant.excess or ()
            self.own_vote.known_excess = KeeperExcess(
                keeper, grant.excess_version, excess
            )

    def _find_interval(self) -> float:
        if self._epoch:
            return self._times.interval
        return min(self._times.interval, _RETRY_SECONDS)

    def _find_wanted(self, now: float) -> int:
        return self._wanted if now < self._wanted_until else 0
