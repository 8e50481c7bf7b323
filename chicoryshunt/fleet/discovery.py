"""Discovery of VMs through seeds, for fleets without a published list."""

import itertools
from collections.abc import Iterable, Iterator, Sequence
from random import Random

import msgspec

from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.events import log_event
from chicoryshunt.fleet.known_vms import KnownVms
from chicoryshunt.membership.membership import Membership
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.nodes.links import Links
from chicoryshunt.types import DataCentreId, VmId, VmState

# This many VMs with their addresses fit into a datagram of 1400 bytes.
_VMS_PER_MESSAGE = 6
_JOIN_INTERVAL_SECONDS = 0.3
# A node compares the VMs that it knows with those of another node at this
# interval: with one of its own data centre or with a seed, so that the sides of
# a long partition find each other again.
_COMPARE_INTERVAL_SECONDS = 5.0
# A node that has just started, or learned of VMs, may lack others that are as
# new. It compares at this interval for a while.
_SOON_SECONDS = 0.5
_SETTLING_SECONDS = 4.0
# Neighbours to which many new VMs are announced at once.
_INFORMED_NEIGHBOURS = 8
# Share of the comparisons that are with a seed.
_SEED_SHARE = 0.5
_SETTLING_SEED_SHARE = 0.15
# Comparisons are spread over this share of their interval.
_INTERVAL_JITTER = 0.3
# VMs that are gone this long are removed, so that their probes end.
_FORGET_SECONDS = 60.0


class Introduction(msgspec.Struct, frozen=True, array_like=True, tag='di'):
    """VMs with their addresses.

    ``is_for_all``: the receiver relays them to the nodes of its data centre.
    """

    vms: tuple[PublishedVm, ...]
    is_for_all: bool = False


class Comparison(msgspec.Struct, frozen=True, array_like=True, tag='dc'):
    """The VM of the sender, and the digests of the VMs that it knows.

    The receiver introduces the VMs of each group whose digest differs.
    """

    vm: PublishedVm
    digests: tuple[int, ...]


class Discovery:
    """Core that finds VMs and adds them to the membership.

    Load pattern: hundreds of nodes start within a second. Each is announced
    once to each other data centre, by the node that it contacts first, and
    nodes that know the same VMs exchange only digests.
    """

    message_types = (Introduction, Comparison)

    def __init__(
        self,
        own: PublishedVm,
        seeds: Sequence[PublishedVm],
        membership: Membership,
        links: Links,
        rng: Random,
    ) -> None:
        """Start with this VM alone; ``seeds`` may be outdated or down."""
        self._own = own
        self._seeds = [seed.vm for seed in seeds if seed.vm != own.vm]
        self._membership = membership
        self._links = links
        self._rng = rng
        self._known = KnownVms(own, membership.roster, 0)
        self._gone_since: dict[VmId, float] = {}
        self._unannounced: dict[VmId, PublishedVm] = {}
        self._next_comparison: float = 0
        self._settled_at: float = 0
        self._seed_cycle = itertools.cycle(self._seeds)
        # Seeds are contacted by address before they introduce themselves.
        self._links.update_addresses(
            (own, *(seed for seed in seeds if seed.vm != own.vm))
        )

    @property
    def known(self) -> tuple[PublishedVm, ...]:
        """Return all VMs that were introduced and not removed."""
        return tuple(self._known)

    def find(self, vm: VmId) -> PublishedVm | None:
        """Return a VM with its addresses, if it is known."""
        return self._known.find(vm)

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Add the VMs that are introduced, or answer a comparison."""
        match message:
            case Introduction(vms, is_for_all):
                self._add(vms, now)
                if is_for_all:
                    yield from _introduce(self._choose_informed(vms, now), vms)
            case Comparison(vm, digests):
                differing = self._known.list_differing(digests, now)
                if self._add((vm,), now):
                    self._unannounced[vm.vm] = vm
                    differing = _prefer_neighbours(vm, differing)
                yield from _introduce((sender,), differing)

    def tick(self, now: float) -> Iterator[Send]:
        """Announce new VMs, and compare the known ones when that is due."""
        yield from self._announce(now)
        if now >= self._next_comparison:
            self._forget_gone(now)
            yield from self._compare(now)

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Compare on the next tick."""
        self._next_comparison = now

    def _compare(self, now: float) -> Iterator[Send]:
        if len(self._known) <= 1:
            interval = _JOIN_INTERVAL_SECONDS
        elif now < self._settled_at:
            interval = _SOON_SECONDS
        else:
            interval = _COMPARE_INTERVAL_SECONDS
        spread = 1 + self._rng.random() * _INTERVAL_JITTER
        self._next_comparison = now + interval * spread
        receiver = self._choose_receiver(now)
        if receiver is not None:
            digests = self._known.compute_digests(now)
            yield Send(receiver, Comparison(self._own, digests))

    def _choose_receiver(self, now: float) -> VmId | None:
        """Return a seed or a node of this data centre.

        While many nodes learn of each other, neighbours spare the seeds.
        """
        neighbours = self._list_neighbours(now)
        share = _SEED_SHARE
        if now < self._settled_at:
            share = _SETTLING_SEED_SHARE
        if neighbours and (not self._seeds or self._rng.random() >= share):
            return self._rng.choice(neighbours)
        # All nodes take the seeds in the same order, so that at the start
        # the first one that is up knows all nodes.
        return next(self._seed_cycle, None)

    def _add(self, vms: Iterable[PublishedVm], now: float) -> bool:
        """Add the VMs that are new; return whether there are any."""
        new = [
            vm
            for vm in vms
            if vm.vm != self._own.vm and self._known.add(vm, now)
        ]
        if new:
            log_event('vms_introduced', vms=','.join(vm.vm for vm in new))
            self._links.update_addresses(new)
            self._membership.apply_vm_list(self._known, now)
            self._settled_at = now + _SETTLING_SECONDS
            self._next_comparison = min(
                self._next_comparison, now + _SOON_SECONDS
            )
        return bool(new)

    def _announce(self, now: float) -> Iterator[Send]:
        """Announce the VMs that contacted this node since the last tick."""
        vms = tuple(self._unannounced.values())
        self._unannounced.clear()
        if not vms:
            return
        yield from _introduce(self._choose_informed(vms, now), vms)
        for remote in self._group_remote(now).values():
            relay = self._rng.choice(remote)
            yield from _introduce((relay,), vms, is_for_all=True)

    def _choose_informed(
        self, vms: Sequence[PublishedVm], now: float
    ) -> list[VmId]:
        """Return the neighbours to which new VMs are announced.

        These are all for a few VMs. When many nodes start together, a few
        neighbours are told; the others, which compare at short intervals
        then, learn the VMs from each other.
        """
        neighbours = self._list_neighbours(now)
        if len(vms) <= _VMS_PER_MESSAGE:
            return neighbours
        count = min(_INFORMED_NEIGHBOURS, len(neighbours))
        return self._rng.sample(neighbours, count)

    def _list_neighbours(self, now: float) -> list[VmId]:
        """Return the other nodes of this data centre."""
        return [
            vm.vm
            for vm in self._known.list_reachable(now)
            if vm.data_centre == self._own.data_centre and vm != self._own
        ]

    def _group_remote(self, now: float) -> dict[DataCentreId, list[VmId]]:
        groups: dict[DataCentreId, list[VmId]] = {}
        for vm in self._known.list_reachable(now):
            if vm.data_centre != self._own.data_centre:
                groups.setdefault(vm.data_centre, []).append(vm.vm)
        return groups

    def _forget_gone(self, now: float) -> None:
        known = [one.vm for one in self._known]
        for vm in known:
            state = self._membership.roster.find_state(vm)
            if state is not VmState.gone:
                self._gone_since.pop(vm, None)
                continue
            since = self._gone_since.setdefault(vm, now)
            if now - since > _FORGET_SECONDS and vm != self._own.vm:
                self._forget(vm, now)

    def _forget(self, vm: VmId, now: float) -> None:
        log_event('vm_forgotten', vm=vm)
        self._known.remove(vm)
        self._gone_since.pop(vm)
        self._membership.apply_vm_list(self._known, now)


def _prefer_neighbours(
    vm: PublishedVm, known: list[PublishedVm]
) -> list[PublishedVm]:
    """Return the VMs of a new VM's data centre, or all if there are none.

    Load pattern: hundreds of nodes contact the same seed, whose link would
    not carry all VMs to each. They learn the others from their neighbours.
    """
    neighbours = [one for one in known if one.data_centre == vm.data_centre]
    return neighbours or known


def _introduce(
    receivers: Iterable[VmId],
    vms: Sequence[PublishedVm],
    *,
    is_for_all: bool = False,
) -> Iterator[Send]:
    """Yield the messages that introduce some VMs to each receiver."""
    starts = range(0, len(vms), _VMS_PER_MESSAGE)
    parts = [
        Introduction(tuple(vms[start : start + _VMS_PER_MESSAGE]), is_for_all)
        for start in starts
    ]
    for receiver in receivers:
        yield from (Send(receiver, part) for part in parts)
