"""Leases of this node on the targets that it uses."""

from collections.abc import Callable, Iterator

from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.limits.claims import (
    Claim,
    Grant,
    LeaseTimes,
    Release,
)
from chicoryshunt.limits.held_lease import HeldLease
from chicoryshunt.limits.ledger import TargetLimit
from chicoryshunt.limits.own_vote import OwnVote
from chicoryshunt.limits.voter_table import Voters, VoterTable
from chicoryshunt.policy.slots import Headroom, LoadSnapshot, Shortage, Slot
from chicoryshunt.types import TargetId, VmId

FindLimit = Callable[[TargetId], TargetLimit]
FindKeeper = Callable[[Voters], VmId | None]


class HeldLeases:
    """Gives out slots under valid leases (see ``SlotAllocator``)."""

    def __init__(
        self,
        own: VmId,
        voter_table: VoterTable,
        times: LeaseTimes,
        started: float,
        find_limit: FindLimit,
        invariants: InvariantChecker,
    ) -> None:
        """Start without leases."""
        self._own = own
        self._voter_table = voter_table
        self._times = times
        self._started = started
        self._find_limit = find_limit
        self._invariants = invariants
        self._leases: dict[TargetId, HeldLease] = {}

    def __iter__(self) -> Iterator[tuple[TargetId, HeldLease]]:
        """Return every target in use with its lease."""
        return iter(self._leases.items())

    @property
    def running(self) -> int:
        """Return the slots taken on all targets."""
        return sum(lease.running for lease in self._leases.values())

    def find(self, target: TargetId) -> HeldLease | None:
        """Return the lease of a target in use."""
        return self._leases.get(target)

    def find_headroom(self, target: TargetId, now: float) -> Headroom:
        """Return what can be taken on a target now."""
        lease = self._leases.get(target)
        return Headroom(0, 0) if lease is None else lease.find_headroom(now)

    def acquire_slot(
        self,
        target: TargetId,
        memory_tokens: int,
        now: float,
    ) -> Slot | Shortage:
        """Take a slot right before the write to the target."""
        lease = self._leases.get(target)
        if lease is None:
            return Shortage.no_lease
        slot = lease.acquire_slot(memory_tokens, now)
        if isinstance(slot, Slot) and not self._is_leased(lease, target, now):
            lease.usage.release(slot)
            return Shortage.no_lease
        return slot

    def register_running(self, target: TargetId, now: float) -> Slot:
        """Count a request that already runs on a target, lease or not."""
        return self._ensure_lease(target).register_running(now)

    def find_load(self, target: TargetId) -> LoadSnapshot | None:
        """Return the load of a target that its keeper last read."""
        lease = self._leases.get(target)
        return None if lease is None else lease.load

    def report_curve(self, target: TargetId, curve: tuple[int, ...]) -> None:
        """Report the forecast memory of this node's requests to the keeper."""
        lease = self._leases.get(target)
        if lease is not None:
            lease.curve = curve

    def release_slot(self, slot: Slot, now: float) -> None:
        """Return a slot when its request has left the target."""
        lease = self._leases.get(slot.target)
        if lease is not None:
            lease.usage.release(slot)

    def request_slots(
        self,
        target: TargetId,
        slots: int,
        memory_tokens: int,
        now: float,
    ) -> None:
        """Request more slots or memory on a target."""
        if target in self._voter_table and self._voter_table.find(target):
            self._ensure_lease(target).request_slots(slots, memory_tokens, now)

    def update_voters(
        self,
        target: TargetId,
        voters: Voters,
        now: float,
    ) -> None:
        """Apply changed voters of a target."""
        lease = self._leases.get(target)
        if lease is not None:
            lease.own_vote.update_voters(voters, now)
        elif self._own in voters:
            self._ensure_lease(target)

    def update_keepers(self, find_keeper: FindKeeper, now: float) -> None:
        """Set the present keepers; drop leases that are not used."""
        for target, lease in tuple(self._leases.items()):
            voters = self._voter_table.find(target)
            lease.set_keeper(find_keeper(voters), now)
            if self._own not in voters and lease.is_idle(now):
                self._leases.pop(target)

    def build_claims(self, now: float) -> dict[VmId, list[Claim]]:
        """Return the claims that are due, by keeper."""
        soon = now + self._times.interval / 2
        due = dict.fromkeys(
            lease.keeper
            for lease in self._leases.values()
            if lease.next_claim <= now
        )
        return {
            keeper: self._build_claims_for(keeper, soon, now)
            for keeper in due
            if keeper is not None
        }

    def accept(self, sender: VmId, grant: Grant, now: float) -> None:
        """Apply a grant."""
        lease = self._leases.get(grant.target)
        if lease is not None:
            lease.accept(sender, grant, now)

    def release(self, sender: VmId, release: Release, now: float) -> None:
        """Withdraw the vote from a keeper that grants no more."""
        lease = self._leases.get(release.target)
        if lease is not None:
            lease.release(sender, release, now)

    def suspend(self, now: float) -> None:
        """Drop all leases until they are granted again."""
        for lease in self._leases.values():
            lease.suspend(now)

    def _is_leased(
        self,
        lease: HeldLease,
        target: TargetId,
        now: float,
    ) -> bool:
        return self._invariants.check(
            Invariant.start_limit,
            lease.running <= lease.count_slots(now),
            target=target,
            running=lease.running,
        )

    def _build_claims_for(
        self, keeper: VmId, soon: float, now: float
    ) -> list[Claim]:
        return [
            lease.claim(now)
            for lease in self._leases.values()
            if lease.keeper == keeper and lease.next_claim <= soon
        ]

    def _ensure_lease(self, target: TargetId) -> HeldLease:
        lease = self._leases.get(target)
        if lease is None:
            own_vote = OwnVote(self._own, self._started, self._times)
            own_vote.update_voters(
                self._voter_table.find(target), self._voter_table.listed_at
            )
            lease = HeldLease(
                target,
                own_vote,
                self._times,
                self._started + self._find_limit(target).run_seconds,
            )
            self._leases[target] = lease
        return lease
