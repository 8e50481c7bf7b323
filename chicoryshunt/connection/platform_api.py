"""Messages of the platform's published interfaces."""

import msgspec

from chicoryshunt.types import DataCentreId, VmId


class PublishedValue(msgspec.Struct, frozen=True):
    """One key of the configuration service with its revision."""

    key: str
    revision: int
    value: msgspec.Raw


class PublishedVm(msgspec.Struct, frozen=True):
    """One VM of the platform's lagging list; addresses are host:port."""

    vm: VmId
    data_centre: DataCentreId
    caller: str
    peer: str
    gossip: str
    leaving: bool = False


class PublishedVms(msgspec.Struct, frozen=True):
    """The platform's list of VMs."""

    vms: tuple[PublishedVm, ...] = ()
