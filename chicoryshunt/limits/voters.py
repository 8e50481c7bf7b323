"""Which VMs vote on a target, and the share of it that each one lends."""

from collections.abc import Iterable, Mapping

import msgspec

from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.membership.rendezvous import compute_weight
from chicoryshunt.types import DataCentreId, VmId

MAX_VOTERS = 12
_MIN_REMOTE_VOTERS = 3

Regions = Mapping[DataCentreId, str]


class VoterShare(msgspec.Struct, frozen=True, array_like=True):
    """Share of one voter, by its index among ``count`` voters."""

    index: int
    count: int

    def compute_slots(self, limit: int) -> int:
        """Return the share's slots of a limit; all shares sum up to it."""
        before = limit * self.index // self.count
        return limit * (self.index + 1) // self.count - before


def compute_least_slots(shares: Iterable[VoterShare], limit: int) -> int:
    """Return the slots of the smallest share, 0 if there is none."""
    return min((share.compute_slots(limit) for share in shares), default=0)


def choose_voters(
    key: str,
    data_centre: DataCentreId,
    vms: Iterable[PublishedVm],
    regions: Regions,
) -> tuple[VmId, ...]:
    """Return the voters of a target, those of its data centre first.

    Some voters are in other data centres, those of the region first, so that
    the target stays in use when its own data centre has lost every VM.
    """
    ranked = sorted(vms, key=lambda vm: compute_weight(key, vm.vm))
    ranked.reverse()
    local = [vm.vm for vm in ranked if vm.data_centre == data_centre]
    region = regions.get(data_centre)
    others = [vm for vm in ranked if vm.data_centre != data_centre]
    others.sort(key=lambda vm: regions.get(vm.data_centre) != region)
    remote = max(_MIN_REMOTE_VOTERS, MAX_VOTERS - len(local))
    remote = min(remote, len(others))
    chosen = local[: MAX_VOTERS - remote]
    return (*chosen, *(one.vm for one in others[:remote]))


def find_share(voters: tuple[VmId, ...], vm: VmId) -> VoterShare | None:
    """Return the share of a VM, if it is a voter."""
    if vm not in voters:
        return None
    return VoterShare(voters.index(vm), len(voters))
