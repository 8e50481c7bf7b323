"""What this node holds on every target that it uses."""

from collections.abc import Callable, Iterator

from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.limits.ballot import Ballot
from chicoryshunt.limits.claims import (
    Claim,
    Grant,
    LeaseTimes,
    Release,
)
from chicoryshunt.limits.held_lease import HeldLease
from chicoryshunt.limits.ledger import TargetLimit
from chicoryshunt.limits.panels import Panel, Panels
from chicoryshunt.policy.slots import Headroom, LoadSnapshot, Shortage, Slot
from chicoryshunt.types import TargetId, VmId

FindBearing = Callable[[TargetId], TargetLimit]
FindKeeper = Callable[[Panel], VmId | None]


class Tenures:
    """Gives out slots under live leases (see ``Allowances``)."""

    def __init__(
        self,
        own: VmId,
        panels: Panels,
        times: LeaseTimes,
        started: float,
        find_bearing: FindBearing,
        invariants: InvariantChecker,
    ) -> None:
        """Start without leases."""
        self._own = own
        self._panels = panels
        self._times = times
        self._started = started
        self._find_bearing = find_bearing
        self._invariants = invariants
        self._tenures: dict[TargetId, HeldLease] = {}

    def __iter__(self) -> Iterator[tuple[TargetId, HeldLease]]:
        """Return every target in use with its tenure."""
        return iter(self._tenures.items())

    @property
    def running(self) -> int:
        """Return the slots taken on all targets."""
        return sum(tenure.running for tenure in self._tenures.values())

    def find(self, target: TargetId) -> HeldLease | None:
        """Return the tenure of a target in use."""
        return self._tenures.get(target)

    def find_headroom(self, target: TargetId, now: float) -> Headroom:
        """Return what could be taken on a target at this moment."""
        tenure = self._tenures.get(target)
        return Headroom(0, 0) if tenure is None else tenure.find_headroom(now)

    def acquire_slot(
        self,
        target: TargetId,
        memory_tokens: int,
        now: float,
    ) -> Slot | Shortage:
        """Take a slot right before the write to the target."""
        tenure = self._tenures.get(target)
        if tenure is None:
            return Shortage.no_lease
        slot = tenure.acquire_slot(memory_tokens, now)
        if isinstance(slot, Slot) and not self._is_leased(tenure, target, now):
            tenure.usage.give_back(slot)
            return Shortage.no_lease
        return slot

    def register_running(self, target: TargetId, now: float) -> Slot:
        """Count a request that already runs on a target, lease or not."""
        return self._open(target).register_running(now)

    def find_load(self, target: TargetId) -> LoadSnapshot | None:
        """Return what a target's keeper last heard of its load."""
        tenure = self._tenures.get(target)
        return None if tenure is None else tenure.load

    def report_curve(self, target: TargetId, curve: tuple[int, ...]) -> None:
        """Tell the keeper the memory that this node's requests will hold."""
        tenure = self._tenures.get(target)
        if tenure is not None:
            tenure.curve = curve

    def release_slot(self, slot: Slot, now: float) -> None:
        """Return a slot when its request has left the target."""
        tenure = self._tenures.get(slot.target)
        if tenure is not None:
            tenure.usage.give_back(slot)

    def request_slots(
        self,
        target: TargetId,
        slots: int,
        memory_tokens: int,
        now: float,
    ) -> None:
        """Say how much more could be used on a target."""
        if target in self._panels and self._panels.find(target):
            self._open(target).request_slots(slots, memory_tokens, now)

    def learn_panel(
        self,
        target: TargetId,
        panel: Panel,
        now: float,
    ) -> None:
        """Follow a changed panel."""
        tenure = self._tenures.get(target)
        if tenure is not None:
            tenure.own_vote.learn(panel, now)
        elif self._own in panel:
            self._open(target)

    def follow(self, find_keeper: FindKeeper, now: float) -> None:
        """Turn to the keepers of the moment; drop what is not used."""
        for target, tenure in tuple(self._tenures.items()):
            panel = self._panels.find(target)
            tenure.follow(find_keeper(panel), now)
            if self._own not in panel and tenure.is_idle(now):
                self._tenures.pop(target)

    def build_claims(self, now: float) -> dict[VmId, list[Claim]]:
        """Return the claims that are due, by keeper."""
        soon = now + self._times.interval / 2
        due = dict.fromkeys(
            tenure.keeper
            for tenure in self._tenures.values()
            if tenure.next_claim <= now
        )
        return {
            keeper: self._claim_of(keeper, soon, now)
            for keeper in due
            if keeper is not None
        }

    def accept(self, sender: VmId, grant: Grant, now: float) -> None:
        """Take a grant."""
        tenure = self._tenures.get(grant.target)
        if tenure is not None:
            tenure.accept(sender, grant, now)

    def release(self, sender: VmId, release: Release, now: float) -> None:
        """Take a vote back from a keeper that grants no more."""
        tenure = self._tenures.get(release.target)
        if tenure is not None:
            tenure.release(sender, release, now)

    def wake(self, now: float) -> None:
        """Hold nothing until it is confirmed."""
        for tenure in self._tenures.values():
            tenure.wake(now)

    def _is_leased(
        self,
        tenure: HeldLease,
        target: TargetId,
        now: float,
    ) -> bool:
        return self._invariants.check(
            Invariant.start_limit,
            tenure.running <= tenure.count_slots(now),
            target=target,
            running=tenure.running,
        )

    def _claim_of(self, keeper: VmId, soon: float, now: float) -> list[Claim]:
        return [
            tenure.claim(now)
            for tenure in self._tenures.values()
            if tenure.keeper == keeper and tenure.next_claim <= soon
        ]

    def _open(self, target: TargetId) -> HeldLease:
        tenure = self._tenures.get(target)
        if tenure is None:
            ballot = Ballot(self._own, self._started, self._times)
            ballot.learn(self._panels.find(target), self._panels.listed_at)
            tenure = HeldLease(
                target,
                ballot,
                self._times,
                self._started + self._find_bearing(target).run_seconds,
            )
            self._tenures[target] = tenure
        return tenure
