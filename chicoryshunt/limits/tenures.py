"""What this node holds on every target that it uses."""

from collections.abc import Callable, Iterator

from chicoryshunt.invariants import Invariants, Promise
from chicoryshunt.limits.claims import (
    Claim,
    Grant,
    LeaseTimes,
    Release,
)
from chicoryshunt.limits.ledger import Bearing
from chicoryshunt.limits.own_vote import OwnVote
from chicoryshunt.limits.tenure import Tenure
from chicoryshunt.limits.voter_table import Voters, VoterTable
from chicoryshunt.policy.allowance import LoadSeen, Shortage, Slack, Slot
from chicoryshunt.types import TargetId, VmId

FindLimit = Callable[[TargetId], Bearing]
FindKeeper = Callable[[Voters], VmId | None]


class Tenures:
    """Gives out slots under live leases (see ``Allowances``)."""

    def __init__(
        self,
        own: VmId,
        panels: VoterTable,
        times: LeaseTimes,
        started: float,
        find_bearing: FindLimit,
        invariants: Invariants,
    ) -> None:
        """Start without leases."""
        self._own = own
        self._voter_table = panels
        self._times = times
        self._started = started
        self._find_limit = find_bearing
        self._invariants = invariants
        self._leases: dict[TargetId, Tenure] = {}

    def __iter__(self) -> Iterator[tuple[TargetId, Tenure]]:
        """Return every target in use with its tenure."""
        return iter(self._leases.items())

    @property
    def running(self) -> int:
        """Return the slots taken on all targets."""
        return sum(tenure.running for tenure in self._leases.values())

    def find(self, target: TargetId) -> Tenure | None:
        """Return the tenure of a target in use."""
        return self._leases.get(target)

    def find_slack(self, target: TargetId, now: float) -> Slack:
        """Return what could be taken on a target at this moment."""
        tenure = self._leases.get(target)
        return Slack(0, 0) if tenure is None else tenure.find_slack(now)

    def take(
        self,
        target: TargetId,
        memory_tokens: int,
        now: float,
    ) -> Slot | Shortage:
        """Take a slot right before the write to the target."""
        tenure = self._leases.get(target)
        if tenure is None:
            return Shortage.no_lease
        slot = tenure.take(memory_tokens, now)
        if isinstance(slot, Slot) and not self._is_leased(tenure, target, now):
            tenure.usage.give_back(slot)
            return Shortage.no_lease
        return slot

    def adopt(self, target: TargetId, now: float) -> Slot:
        """Count a request that already runs on a target, lease or not."""
        return self._ensure_lease(target).adopt(now)

    def find_load(self, target: TargetId) -> LoadSeen | None:
        """Return what a target's keeper last heard of its load."""
        tenure = self._leases.get(target)
        return None if tenure is None else tenure.load

    def report_curve(self, target: TargetId, curve: tuple[int, ...]) -> None:
        """Tell the keeper the memory that this node's requests will hold."""
        tenure = self._leases.get(target)
        if tenure is not None:
            tenure.curve = curve

    def give_back(self, slot: Slot, now: float) -> None:
        """Return a slot when its request has left the target."""
        tenure = self._leases.get(slot.target)
        if tenure is not None:
            tenure.usage.give_back(slot)

    def want(
        self,
        target: TargetId,
        slots: int,
        memory_tokens: int,
        now: float,
    ) -> None:
        """Say how much more could be used on a target."""
        if target in self._voter_table and self._voter_table.find(target):
            self._ensure_lease(target).want(slots, memory_tokens, now)

    def update_voters(
        self,
        target: TargetId,
        panel: Voters,
        now: float,
    ) -> None:
        """Follow a changed panel."""
        tenure = self._leases.get(target)
        if tenure is not None:
            tenure.ballot.update_voters(panel, now)
        elif self._own in panel:
            self._ensure_lease(target)

    def update_keepers(self, find_keeper: FindKeeper, now: float) -> None:
        """Turn to the keepers of the moment; drop what is not used."""
        for target, tenure in tuple(self._leases.items()):
            panel = self._voter_table.find(target)
            tenure.set_keeper(find_keeper(panel), now)
            if self._own not in panel and tenure.is_idle(now):
                self._leases.pop(target)

    def build_claims(self, now: float) -> dict[VmId, list[Claim]]:
        """Return the claims that are due, by keeper."""
        soon = now + self._times.interval / 2
        due = dict.fromkeys(
            tenure.keeper
            for tenure in self._leases.values()
            if tenure.next_claim <= now
        )
        return {
            keeper: self._build_claims_for(keeper, soon, now)
            for keeper in due
            if keeper is not None
        }

    def accept(self, sender: VmId, grant: Grant, now: float) -> None:
        """Take a grant."""
        tenure = self._leases.get(grant.target)
        if tenure is not None:
            tenure.accept(sender, grant, now)

    def release(self, sender: VmId, release: Release, now: float) -> None:
        """Take a vote back from a keeper that grants no more."""
        tenure = self._leases.get(release.target)
        if tenure is not None:
            tenure.release(sender, release, now)

    def wake(self, now: float) -> None:
        """Hold nothing until it is confirmed."""
        for tenure in self._leases.values():
            tenure.wake(now)

    def _is_leased(
        self,
        tenure: Tenure,
        target: TargetId,
        now: float,
    ) -> bool:
        return self._invariants.check(
            Promise.start_limit,
            tenure.running <= tenure.count_slots(now),
            target=target,
            running=tenure.running,
        )

    def _build_claims_for(
        self, keeper: VmId, soon: float, now: float
    ) -> list[Claim]:
        return [
            tenure.claim(now)
            for tenure in self._leases.values()
            if tenure.keeper == keeper and tenure.next_claim <= soon
        ]

    def _ensure_lease(self, target: TargetId) -> Tenure:
        tenure = self._leases.get(target)
        if tenure is None:
            ballot = OwnVote(self._own, self._started, self._times)
            ballot.update_voters(
                self._voter_table.find(target), self._voter_table.listed_at
            )
            tenure = Tenure(
                target,
                ballot,
                self._times,
                self._started + self._find_limit(target).run_seconds,
            )
            self._leases[target] = tenure
        return tenure
