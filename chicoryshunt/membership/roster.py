"""The members of the fleet and their states by gossip."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec
import xxhash

from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.membership.rendezvous import rank_vms
from chicoryshunt.types import DataCentreId, Incarnation, VmId, VmState

PRESENT = frozenset((VmState.live, VmState.leaving, VmState.suspect))
LIVE = frozenset((VmState.live,))
_SERVING = frozenset((VmState.live, VmState.suspect))
_PRECEDENCE = (VmState.live, VmState.leaving, VmState.suspect, VmState.gone)
_UNKNOWN_INCARNATION = Incarnation(0)


class Update(msgspec.Struct, frozen=True, array_like=True):
    """State of a VM's process at an incarnation, spread by gossip."""

    vm: VmId
    incarnation: Incarnation
    state: VmState

    def supersedes(self, other: 'Update') -> bool:
        """Return whether this update replaces another one of the VM."""
        return self._rank > other._rank

    @property
    def _rank(self) -> tuple[int, int]:
        return self.incarnation, _PRECEDENCE.index(self.state)


@dataclass(slots=True)
class Member:
    """A VM; ``since`` is the monotonic time of its last state change."""

    published: PublishedVm
    update: Update
    since: float
    heartbeat: int = 0
    load: int = 0

    @property
    def state(self) -> VmState:
        """Return the state, or leaving if the list says so, unless gone."""
        state = self.update.state
        if self.published.leaving and state is not VmState.gone:
            return VmState.leaving
        return state

    @property
    def is_unheard(self) -> bool:
        """Return whether the VM has not announced itself."""
        return self.update.incarnation == _UNKNOWN_INCARNATION


class Roster:
    """Members by id: the VMs on the published list, and this node.

    ``version`` increases with each change of a member, so that what is
    derived from the members of a large fleet can be kept until then.
    """

    def __init__(self, own: PublishedVm, incarnation: Incarnation) -> None:
        """Start with this node as the only member."""
        self.own = own.vm
        self.version = 0
        update = Update(own.vm, incarnation, VmState.live)
        self._members = {own.vm: Member(own, update, 0)}
        self._published: frozenset[VmId] = frozenset()
        self.digest = _hash_update(update)

    @property
    def published(self) -> frozenset[VmId]:
        """Return the VMs on the published list."""
        return self._published

    @property
    def published_count(self) -> int:
        """Return the number of VMs on the published list."""
        return len(self._published)

    @property
    def present_fraction(self) -> float:
        """Return the fraction of the published VMs that are not gone."""
        if not self._published:
            return 0
        present = self._published.intersection(self.list_in(PRESENT))
        return len(present) / len(self._published)

    def __iter__(self) -> Iterator[Member]:
        """Iterate over all members."""
        return iter(self._members.values())

    def list_live(self, data_centre: DataCentreId | None = None) -> list[VmId]:
        """Return the live VMs of one data centre or all."""
        return self.list_in(LIVE, data_centre)

    def list_serving(
        self,
        data_centre: DataCentreId | None = None,
    ) -> list[VmId]:
        """Return the live and suspect VMs of one data centre or all."""
        return self.list_in(_SERVING, data_centre)

    def list_others(self) -> list[VmId]:
        """Return the VMs that are not gone, except this node."""
        return [vm for vm in self.list_in(PRESENT) if vm != self.own]

    def find_first(self, key: str, data_centre: DataCentreId) -> VmId | None:
        """Return the VM that serves a key, if possible in a data centre."""
        serving = self.list_serving(data_centre) or self.list_serving()
        ranked = rank_vms(key, serving)
        return ranked[0] if ranked else None

    def find_state(self, vm: VmId) -> VmState:
        """Return the state of a VM; unknown VMs are gone."""
        member = self._members.get(vm)
        return VmState.gone if member is None else member.state

    def list_suspects(self, until: float) -> list[Update]:
        """Return the updates of VMs that are suspect since ``until``."""
        return [
            member.update
            for member in self._members.values()
            if member.update.state is VmState.suspect and member.since <= until
        ]

    def list_known(self) -> list[Update]:
        """Return the updates of all members that announced themselves."""
        return [
            member.update
            for member in self._members.values()
            if not member.is_unheard
        ]

    def find(self, vm: VmId) -> Member | None:
        """Return a member, or ``None`` for an unknown VM."""
        return self._members.get(vm)

    def get_own(self) -> Member:
        """Return this node's own entry."""
        return self._members[self.own]

    def set_load(self, load: int) -> None:
        """Set the number of requests running on this node."""
        self.get_own().load = load

    def apply_vm_list(
        self, vms: Iterable[PublishedVm], now: float
    ) -> list[VmId]:
        """Apply the published list and return the VMs removed from it."""
        self.version += 1
        listed = {vm.vm: vm for vm in vms}
        self._published = frozenset(listed)
        dropped = sorted(set(self._members) - set(listed) - {self.own})
        for vm in dropped:
            self.digest ^= _hash_update(self._members.pop(vm).update)
        for published in listed.values():
            self._apply_published(published, now)
        return dropped

    def apply(self, update: Update, now: float) -> bool:
        """Apply a superseding update; return whether it was one."""
        member = self._members.get(update.vm)
        if member is None or not update.supersedes(member.update):
            return False
        self.version += 1
        self.digest ^= _hash_update(member.update)
        self.digest ^= _hash_update(update)
        if member.update.state is not update.state:
            member.since = now
        member.update = update
        return True

    def list_in(
        self,
        states: frozenset[VmState],
        data_centre: DataCentreId | None = None,
    ) -> list[VmId]:
        """Return the VMs in the given states, of one data centre or all."""
        return [
            member.published.vm
            for member in self._members.values()
            if member.state in states
            and data_centre in {None, member.published.data_centre}
        ]

    def _apply_published(self, published: PublishedVm, now: float) -> None:
        member = self._members.get(published.vm)
        if member is None:
            update = Update(published.vm, _UNKNOWN_INCARNATION, VmState.gone)
            self._members[published.vm] = Member(published, update, now)
            self.digest ^= _hash_update(update)
        else:
            member.published = published


def _hash_update(update: Update) -> int:
    if update.incarnation == _UNKNOWN_INCARNATION:
        return 0
    state = update.state
    if state is VmState.suspect:
        state = VmState.live
    text = f'{update.vm}\0{update.incarnation}\0{state.value}'
    return xxhash.xxh3_64_intdigest(text.encode())
