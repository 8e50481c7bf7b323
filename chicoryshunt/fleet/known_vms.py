"""VMs that a node knows, and digests to compare them with another node's."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import msgspec
import xxhash

from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.membership.roster import PRESENT, Roster
from chicoryshunt.types import VmId

# VMs are compared in this many groups, so that one VM that differs does not
# cause all of them to be sent.
_GROUPS = 16
# A VM that was introduced, but from which nothing was heard since, is listed
# for this long. Nodes that passed on dead VMs would keep them known forever.
_UNHEARD_SECONDS = 30.0
_DIGEST_MASK = 0xFFFFFFFF


@dataclass(slots=True)
class _KnownVm:
    """A VM, the time at which it was added, and the hash of its entry."""

    published: PublishedVm
    added: float
    digest: int
    group: int


class KnownVms:
    """VMs that were introduced to this node and not removed since."""

    def __init__(self, own: PublishedVm, roster: Roster, now: float) -> None:
        """Start with this node's own VM."""
        self._roster = roster
        self._known: dict[VmId, _KnownVm] = {}
        self.add(own, now)

    def __iter__(self) -> Iterator[PublishedVm]:
        """Iterate over all VMs."""
        return iter([known.published for known in self._known.values()])

    def __len__(self) -> int:
        """Return the number of VMs, with this node's own."""
        return len(self._known)

    def find(self, vm: VmId) -> PublishedVm | None:
        """Return a VM, or ``None`` if it is not known."""
        known = self._known.get(vm)
        return None if known is None else known.published

    def add(self, vm: PublishedVm, now: float) -> bool:
        """Add a VM or replace its addresses; return whether that is new."""
        if self.find(vm.vm) == vm:
            return False
        encoded = msgspec.msgpack.encode(vm)
        group = xxhash.xxh3_64_intdigest(vm.vm.encode()) % _GROUPS
        self._known[vm.vm] = _KnownVm(
            vm, now, xxhash.xxh3_64_intdigest(encoded) & _DIGEST_MASK, group
        )
        return True

    def remove(self, vm: VmId) -> None:
        """Remove a VM."""
        self._known.pop(vm)

    def list_reachable(self, now: float) -> list[PublishedVm]:
        """Return the VMs that are present or were introduced just now."""
        return [known.published for known in self._iterate_reachable(now)]

    def compute_digests(self, now: float) -> tuple[int, ...]:
        """Return the digest of the reachable VMs of each group."""
        digests = dict.fromkeys(range(_GROUPS), 0)
        for known in self._iterate_reachable(now):
            digests[known.group] ^= known.digest
        return tuple(digests.values())

    def list_differing(
        self, digests: Sequence[int], now: float
    ) -> list[PublishedVm]:
        """Return the reachable VMs of the groups with another digest."""
        groups = defaultdict(list)
        for known in self._iterate_reachable(now):
            groups[known.group].append(known.published)
        own_digests = self.compute_digests(now)
        return [
            vm
            for group, vms in groups.items()
            if group >= len(digests) or digests[group] != own_digests[group]
            for vm in vms
        ]

    def _iterate_reachable(self, now: float) -> Iterator[_KnownVm]:
        for known in self._known.values():
            member = self._roster.find(known.published.vm)
            if (
                member is None
                or member.state in PRESENT
                or (member.is_unheard and now - known.added < _UNHEARD_SECONDS)
            ):
                yield known
