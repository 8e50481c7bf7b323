"""Discovery of VMs through seeds, for fleets without a published list."""

from collections.abc import Iterable, Iterator, Sequence
from random import Random

import msgspec

from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.events import log_event
from chicoryshunt.membership.membership import Membership
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.nodes.links import Links
from chicoryshunt.types import VmId, VmState

# This many VMs with their addresses fit into a datagram of 1400 bytes.
_VMS_PER_MESSAGE = 6
# New VMs are gossiped to this many other VMs.
_FANOUT = 4
_JOIN_INTERVAL_SECONDS = 0.3
# A seed is queried at this interval, so that the sides of a long partition
# find each other again.
_REFRESH_INTERVAL_SECONDS = 5.0
# VMs that are gone this long are removed, so that their probes end.
_FORGET_SECONDS = 60.0


class Introduction(msgspec.Struct, frozen=True, array_like=True, tag='di'):
    """VMs with their addresses; ``wants_reply`` requests the known VMs."""

    vms: tuple[PublishedVm, ...]
    wants_reply: bool = False


class Discovery:
    """Core that finds VMs and adds them to the membership."""

    message_types = (Introduction,)

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
        self._seeds = [seed for seed in seeds if seed.vm != own.vm]
        self._membership = membership
        self._links = links
        self._rng = rng
        self._known = {own.vm: own}
        self._gone_since: dict[VmId, float] = {}
        self._next_seed_request: float = 0
        # Seeds are contacted by address before they introduce themselves.
        self._links.update_addresses((own, *self._seeds))

    @property
    def known(self) -> tuple[PublishedVm, ...]:
        """Return all VMs that were introduced and not removed."""
        return tuple(self._known.values())

    def find(self, vm: VmId) -> PublishedVm | None:
        """Return a VM with its addresses, if it is known."""
        return self._known.get(vm)

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Add and gossip the announced VMs; send the known ones if asked."""
        if not isinstance(message, Introduction):
            return
        new = [vm for vm in message.vms if self._known.get(vm.vm) != vm]
        if new:
            self._add(new, now)
            yield from self._pass_on(new, sender)
        if message.wants_reply:
            yield from self._send_known(sender)

    def tick(self, now: float) -> Iterator[Send]:
        """Query seeds when that is due; remove VMs that are long gone."""
        if now >= self._next_seed_request:
            yield from self._ask_seeds(now)
        self._forget_gone(now)

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Query the seeds on the next tick."""
        self._next_seed_request = now

    def _ask_seeds(self, now: float) -> Iterator[Send]:
        is_alone = len(self._known) <= 1
        interval = _REFRESH_INTERVAL_SECONDS
        seeds = self._seeds
        if is_alone:
            interval = _JOIN_INTERVAL_SECONDS
        else:
            seeds = self._rng.sample(seeds, min(1, len(seeds)))
        self._next_seed_request = now + interval
        for seed in seeds:
            yield Send(seed.vm, Introduction((self._own,), wants_reply=True))

    def _add(self, vms: Iterable[PublishedVm], now: float) -> None:
        for vm in vms:
            if vm.vm != self._own.vm:
                log_event(
                    'vm_introduced',
                    vm=vm.vm,
                    data_centre=vm.data_centre,
                )
                self._known[vm.vm] = vm
        self._links.update_addresses(self._known.values())
        self._membership.apply_vm_list(self._known.values(), now)

    def _pass_on(
        self,
        vms: Sequence[PublishedVm],
        sender: VmId,
    ) -> Iterator[Send]:
        others = [vm for vm in self._known if vm not in {self._own.vm, sender}]
        chosen = self._rng.sample(others, min(_FANOUT, len(others)))
        for receiver in chosen:
            for part in _split(vms):
                yield Send(receiver, Introduction(part))

    def _send_known(self, receiver: VmId) -> Iterator[Send]:
        for part in _split(tuple(self._known.values())):
            yield Send(receiver, Introduction(part))

    def _forget_gone(self, now: float) -> None:
        for vm in tuple(self._known):
            state = self._membership.roster.find_state(vm)
            if state is not VmState.gone:
                self._gone_since.pop(vm, None)
                continue
            since = self._gone_since.setdefault(vm, now)
            if now - since > _FORGET_SECONDS and vm != self._own.vm:
                self._forget(vm, now)

    def _forget(self, vm: VmId, now: float) -> None:
        log_event('vm_forgotten', vm=vm)
        self._known.pop(vm)
        self._gone_since.pop(vm)
        self._membership.apply_vm_list(self._known.values(), now)


def _split(
    vms: Sequence[PublishedVm],
) -> Iterator[tuple[PublishedVm, ...]]:
    for start in range(0, len(vms), _VMS_PER_MESSAGE):
        yield tuple(vms[start : start + _VMS_PER_MESSAGE])
