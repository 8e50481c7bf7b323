"""Messages of the platform's public interfaces."""

import msgspec

from chicoryshunt.types import DataCentreId, VmId


class PublishedVm(msgspec.Struct, frozen=True):
    """VM on the platform's list, which lags; addresses are host:port."""

    vm: VmId
    data_centre: DataCentreId
    caller: str
    peer: str
    gossip: str
    leaving: bool = False


class PublishedVms(msgspec.Struct, frozen=True):
    """The platform's list of VMs."""

    vms: tuple[PublishedVm, ...] = ()
