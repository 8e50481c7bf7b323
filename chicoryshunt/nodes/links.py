"""Addresses of the other nodes, and a switch that cuts links in trials."""

from collections.abc import Iterable

from chicoryshunt.address import Address
from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.types import VmId


class Links:
    """Where each VM of the fleet listens."""

    def __init__(self) -> None:
        """Start without VMs and without cuts."""
        self._vms: dict[VmId, PublishedVm] = {}
        self._cut: frozenset[VmId] = frozenset()

    def update_addresses(self, vms: Iterable[PublishedVm]) -> None:
        """Remember the addresses of VMs."""
        self._vms.update((vm.vm, vm) for vm in vms)

    def forget(self, vm: VmId) -> None:
        """Drop a VM."""
        self._vms.pop(vm, None)

    def cut(self, vms: Iterable[VmId]) -> None:
        """Drop all traffic to and from these VMs, in trials only."""
        self._cut = frozenset(vms)

    def is_cut(self, vm: VmId) -> bool:
        """Say whether traffic to and from a VM is dropped."""
        return vm in self._cut

    def find_gossip(self, vm: VmId) -> Address | None:
        """Return the datagram address of a VM that can be reached."""
        known = self._find(vm)
        return None if known is None else parse_address(known.gossip)

    def find_caller(self, vm: VmId) -> str:
        """Return where a VM listens for callers, empty when unknown."""
        known = self._find(vm)
        return '' if known is None else known.caller

    def find_peer(self, vm: VmId) -> str | None:
        """Return the gRPC address of a VM that can be reached."""
        known = self._find(vm)
        return None if known is None else known.peer

    def _find(self, vm: VmId) -> PublishedVm | None:
        return None if self.is_cut(vm) else self._vms.get(vm)


def parse_address(text: str) -> Address:
    """Return host and port of host:port."""
    host, _, port = text.rpartition(':')
    return Address(host, int(port))
