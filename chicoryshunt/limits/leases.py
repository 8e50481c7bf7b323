"""Core that claims slots on targets and grants those of kept targets."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence

from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.invariants import InvariantChecker
from chicoryshunt.limits.claims import (
    Claim,
    Claims,
    Grant,
    Grants,
    LeaseTimes,
    Release,
)
from chicoryshunt.limits.held_leases import FindLimit, HeldLeases
from chicoryshunt.limits.ledgers import Ledgers
from chicoryshunt.limits.voter_table import Voters, VoterTable
from chicoryshunt.membership.membership import Membership
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.nodes.packing import pack
from chicoryshunt.types import DataCentreId, TargetId, VmId, VmState

_VOTER_UPDATES_PER_TICK = 25
_KEEPER_STATES = frozenset((VmState.live, VmState.suspect))


class Leases:
    """Core of the lease protocol; times are monotonic seconds."""

    message_types = (Claims, Grants, Release)

    def __init__(
        self,
        membership: Membership,
        times: LeaseTimes,
        find_limit: FindLimit,
        now: float,
        invariants: InvariantChecker,
    ) -> None:
        """Start without targets and without leases."""
        epoch = membership.incarnation
        self.own = membership.own
        self.voter_table = VoterTable()
        self.held = HeldLeases(
            self.own,
            self.voter_table,
            times,
            now,
            find_limit,
            invariants,
        )
        self.ledgers = Ledgers(times, epoch, find_limit, invariants)
        self._epoch = epoch
        self._membership = membership

    def update_vms(self, vms: Iterable[PublishedVm], now: float) -> None:
        """Apply the published VM list."""
        self.voter_table.update_vms(vms, now)

    def update_targets(
        self,
        targets: Mapping[TargetId, DataCentreId],
        regions: Mapping[DataCentreId, str],
    ) -> None:
        """Apply the targets and regions of a configuration."""
        self.voter_table.update_targets(targets, regions)

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Handle a message and return those to send."""
        match message:
            case Claims(epoch, claims):
                grants = self._grant_claims(sender, epoch, claims, now)
                yield from _pack_grants(sender, grants)
            case Grants(grants):
                for grant in grants:
                    self.held.accept(sender, grant, now)
            case Release():
                self.held.release(sender, message, now)

    def tick(self, now: float) -> Iterator[Send]:
        """Do what is due and return the messages to send."""
        for target, voters in self.voter_table.refresh(_VOTER_UPDATES_PER_TICK):
            self.held.update_voters(target, voters, now)
        self._membership.roster.set_load(self.held.running)
        self.held.update_keepers(self._find_keeper, now)
        yield from self._update_ledgers(now)
        yield from self._send_claims(now)

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Drop leases and ledgers until they are confirmed."""
        self.held.suspend(now)
        self.ledgers.clear()

    def _update_ledgers(self, now: float) -> Iterator[Send]:
        kept: list[TargetId] = []
        if self._membership.is_confirmed(now):
            kept = [
                target
                for target, lease in self.held
                if lease.keeper == self.own
            ]
        for voter, release in self.ledgers.update_targets(kept):
            if voter == self.own:
                self.held.release(voter, release, now)
            else:
                yield Send(voter, release)
        pushes = defaultdict(list)
        for holder, grant in self.ledgers.tick(now):
            pushes[holder].append(grant)
        for receiver, grants in pushes.items():
            yield from self._deliver(receiver, grants, now)

    def _send_claims(self, now: float) -> Iterator[Send]:
        for keeper, claims in self.held.build_claims(now).items():
            if keeper == self.own:
                grants = self._grant_claims(self.own, self._epoch, claims, now)
                yield from self._deliver(self.own, grants, now)
                continue
            for part in pack(claims):
                yield Send(keeper, Claims(self._epoch, part))

    def _grant_claims(
        self,
        vm: VmId,
        epoch: int,
        claims: Iterable[Claim],
        now: float,
    ) -> list[Grant]:
        grants = (
            self.ledgers.handle_claim(vm, epoch, claim, now) for claim in claims
        )
        return [grant for grant in grants if grant is not None]

    def _deliver(
        self,
        receiver: VmId,
        grants: Sequence[Grant],
        now: float,
    ) -> Iterator[Send]:
        if receiver != self.own:
            yield from _pack_grants(receiver, grants)
            return
        for grant in grants:
            self.held.accept(receiver, grant, now)

    def _find_keeper(self, voters: Voters) -> VmId | None:
        for vm in voters:
            if self._membership.roster.find_state(vm) in _KEEPER_STATES:
                return vm
        return None


def _pack_grants(receiver: VmId, grants: Sequence[Grant]) -> Iterator[Send]:
    for part in pack(grants):
        yield Send(receiver, Grants(part))
