"""Which VMs share a target, and how much of it each of them lends."""

from collections.abc import Iterable, Mapping

import msgspec

from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.membership.rendezvous import compute_weight
from chicoryshunt.types import DataCentreId, VmId

MAX_VOTERS = 12
_SEATS_ELSEWHERE = 3

Regions = Mapping[DataCentreId, str]


class VoterShare(msgspec.Struct, frozen=True, array_like=True):
    """Place of one VM on a target's panel of ``count`` VMs."""

    index: int
    count: int

    def compute_worth(self, limit: int) -> int:
        """Return the seat's part of a limit; all parts sum up to it."""
        before = limit * self.index // self.count
        return limit * (self.index + 1) // self.count - before


def compute_worth(seats: Iterable[VoterShare], limit: int) -> int:
    """Return what the least of some seats is worth; none are worth 0."""
    return min((seat.compute_worth(limit) for seat in seats), default=0)


def choose_voters(
    key: str,
    data_centre: DataCentreId,
    vms: Iterable[PublishedVm],
    regions: Regions,
) -> tuple[VmId, ...]:
    """Return the panel of a target, its own data centre first.

    Some seats go to other data centres, those of the region first, so that
    the target stays in use when its own data centre has lost every VM.
    """
    ranked = sorted(vms, key=lambda vm: compute_weight(key, vm.vm))
    ranked.reverse()
    own = [vm.vm for vm in ranked if vm.data_centre == data_centre]
    region = regions.get(data_centre)
    others = [vm for vm in ranked if vm.data_centre != data_centre]
    others.sort(key=lambda vm: regions.get(vm.data_centre) != region)
    elsewhere = max(_SEATS_ELSEWHERE, MAX_VOTERS - len(own))
    elsewhere = min(elsewhere, len(others))
    chosen = own[: MAX_VOTERS - elsewhere]
    return (*chosen, *(one.vm for one in others[:elsewhere]))


def find_share(panel: tuple[VmId, ...], vm: VmId) -> VoterShare | None:
    """Return the seat of a VM, if it has one."""
    if vm not in panel:
        return None
    return VoterShare(panel.index(vm), len(panel))
