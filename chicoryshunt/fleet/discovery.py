"""Finds the other VMs from a few seeds, where nobody publishes a list."""

from collections.abc import Iterable, Iterator, Sequence
from random import Random

import msgspec

from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.events import log_event
from chicoryshunt.membership.membership import Membership
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.nodes.links import Links
from chicoryshunt.types import VmId, VmState

# A datagram of 1400 bytes holds this many introductions.
_VMS_PER_MESSAGE = 6
# New VMs are passed on to this many others, as gossip does.
_FANOUT = 4
_JOIN_INTERVAL_SECONDS = 0.3
# A seed is asked again now and then, so that parts that were separated for
# long find each other.
_REFRESH_INTERVAL_SECONDS = 5.0
# Gone VMs are forgotten after a while, so that nobody probes them for ever.
_FORGET_SECONDS = 60.0


class Introduction(msgspec.Struct, frozen=True, array_like=True, tag='di'):
    """Name VMs with their addresses; ``asks`` wants the known ones back."""

    vms: tuple[PublishedVm, ...]
    asks: bool = False


class Discovery:
    """Core that tells the membership which VMs there may be."""

    message_types = (Introduction,)

    def __init__(
        self,
        own: PublishedVm,
        seeds: Sequence[PublishedVm],
        membership: Membership,
        links: Links,
        rng: Random,
    ) -> None:
        """Know this VM alone; ``seeds`` may be stale or down."""
        self._own = own
        self._seeds = [seed for seed in seeds if seed.vm != own.vm]
        self._membership = membership
        self._links = links
        self._rng = rng
        self._known = {own.vm: own}
        self._gone_since: dict[VmId, float] = {}
        self._next_ask: float = 0
        # Seeds are reachable by address before they have introduced
        # themselves.
        self._links.update_addresses((own, *self._seeds))

    @property
    def known(self) -> tuple[PublishedVm, ...]:
        """Return every VM that was introduced and not forgotten."""
        return tuple(self._known.values())

    def find(self, vm: VmId) -> PublishedVm | None:
        """Return the addresses of a VM."""
        return self._known.get(vm)

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Learn the VMs of an introduction; answer one that asks."""
        if not isinstance(message, Introduction):
            return
        new = [vm for vm in message.vms if self._known.get(vm.vm) != vm]
        if new:
            self._learn(new, now)
            yield from self._pass_on(new, sender)
        if message.asks:
            yield from self._introduce_all(sender)

    def tick(self, now: float) -> Iterator[Send]:
        """Ask a seed when that is due, and forget what is long gone."""
        if now >= self._next_ask:
            yield from self._ask_seeds(now)
        self._forget_gone(now)

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Ask the seeds again after a pause."""
        self._next_ask = now

    def _ask_seeds(self, now: float) -> Iterator[Send]:
        is_alone = len(self._known) <= 1
        interval = _REFRESH_INTERVAL_SECONDS
        asked = self._seeds
        if is_alone:
            interval = _JOIN_INTERVAL_SECONDS
        else:
            asked = self._rng.sample(asked, min(1, len(asked)))
        self._next_ask = now + interval
        for seed in asked:
            yield Send(seed.vm, Introduction((self._own,), asks=True))

    def _learn(self, vms: Iterable[PublishedVm], now: float) -> None:
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

    def _introduce_all(self, receiver: VmId) -> Iterator[Send]:
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
