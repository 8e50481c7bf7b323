"""Core that claims slots on targets and keeps some of the targets."""

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
from chicoryshunt.limits.keeping import Keeping
from chicoryshunt.limits.panels import Panel, Panels
from chicoryshunt.limits.tenures import FindBearing, Tenures
from chicoryshunt.membership.membership import Membership
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.nodes.packing import pack
from chicoryshunt.types import DataCentreId, TargetId, VmId, VmState

_PANELS_PER_TICK = 25
_KEEPING = frozenset((VmState.live, VmState.suspect))


class Leases:
    """Core of the leases; times are seconds of a monotonic clock."""

    message_types = (Claims, Grants, Release)

    def __init__(
        self,
        membership: Membership,
        times: LeaseTimes,
        find_bearing: FindBearing,
        now: float,
        invariants: InvariantChecker,
    ) -> None:
        """Start without targets and without leases."""
        epoch = membership.incarnation
        self.own = membership.own
        self.panels = Panels()
        self.held = Tenures(
            self.own,
            self.panels,
            times,
            now,
            find_bearing,
            invariants,
        )
        self.ledgers = Keeping(times, epoch, find_bearing, invariants)
        self._epoch = epoch
        self._membership = membership

    def update_vms(self, vms: Iterable[PublishedVm], now: float) -> None:
        """Follow the published list."""
        self.panels.learn_vms(vms, now)

    def update_targets(
        self,
        targets: Mapping[TargetId, DataCentreId],
        regions: Mapping[DataCentreId, str],
    ) -> None:
        """Follow the configuration."""
        self.panels.learn_targets(targets, regions)

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Handle a message and return those to send."""
        match message:
            case Claims(epoch, claims):
                grants = self._answer(sender, epoch, claims, now)
                yield from _pack_grants(sender, grants)
            case Grants(grants):
                for grant in grants:
                    self.held.accept(sender, grant, now)
            case Release():
                self.held.release(sender, message, now)

    def tick(self, now: float) -> Iterator[Send]:
        """Do what is due and return the messages to send."""
        for target, panel in self.panels.refresh(_PANELS_PER_TICK):
            self.held.learn_panel(target, panel, now)
        self._membership.roster.set_load(self.held.running)
        self.held.follow(self._find_keeper, now)
        yield from self._keep(now)
        yield from self._claim(now)

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Hold and keep nothing until it is confirmed."""
        self.held.wake(now)
        self.ledgers.wake()

    def _keep(self, now: float) -> Iterator[Send]:
        kept: list[TargetId] = []
        if self._membership.is_confirmed(now):
            kept = [
                target
                for target, tenure in self.held
                if tenure.keeper == self.own
            ]
        for voter, release in self.ledgers.follow(kept):
            if voter == self.own:
                self.held.release(voter, release, now)
            else:
                yield Send(voter, release)
        pushes = defaultdict(list)
        for holder, grant in self.ledgers.tick(now):
            pushes[holder].append(grant)
        for receiver, grants in pushes.items():
            yield from self._deliver(receiver, grants, now)

    def _claim(self, now: float) -> Iterator[Send]:
        for keeper, claims in self.held.build_claims(now).items():
            if keeper == self.own:
                grants = self._answer(self.own, self._epoch, claims, now)
                yield from self._deliver(self.own, grants, now)
                continue
            for part in pack(claims):
                yield Send(keeper, Claims(self._epoch, part))

    def _answer(
        self,
        vm: VmId,
        epoch: int,
        claims: Iterable[Claim],
        now: float,
    ) -> list[Grant]:
        grants = (self.ledgers.claim(vm, epoch, claim, now) for claim in claims)
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

    def _find_keeper(self, panel: Panel) -> VmId | None:
        for vm in panel:
            if self._membership.roster.find_state(vm) in _KEEPING:
                return vm
        return None


def _pack_grants(receiver: VmId, grants: Sequence[Grant]) -> Iterator[Send]:
    for part in pack(grants):
        yield Send(receiver, Grants(part))
