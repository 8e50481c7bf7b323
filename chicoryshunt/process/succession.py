"""Which nodes take over the records of a node that leaves."""

from collections.abc import Collection, Iterable
from typing import Protocol

import msgspec
import xxhash

from chicoryshunt.process.grants import Origin
from chicoryshunt.types import DataCentreId, VmId

MAX_SUCCESSORS = 3


class Member(Protocol):
    """One live VM as the membership sees it."""

    @property
    def vm(self) -> VmId:
        """Return the VM's id."""

    @property
    def data_centre(self) -> DataCentreId:
        """Return the VM's data centre."""

    @property
    def leaving(self) -> bool:
        """Say whether the VM takes no new work."""


def rank_successors(
    origin: Origin,
    members: Iterable[Member],
    excluded: Collection[VmId] = (),
) -> tuple[VmId, ...]:
    """Return the VMs that take or hold an owner's records, best first.

    Members of the owner's data centre come first, each group in rendezvous
    order, so that whoever asks finds the holder without an announcement.
    """
    usable = [
        member
        for member in members
        if not member.leaving
        and member.vm != origin.vm
        and member.vm not in excluded
    ]
    usable.sort(
        key=lambda member: (
            member.data_centre != origin.data_centre,
            _weigh(origin, member.vm),
        ),
    )
    return tuple(member.vm for member in usable[:MAX_SUCCESSORS])


def _weigh(origin: Origin, vm: VmId) -> int:
    seed = msgspec.msgpack.encode((origin, vm))
    return int(xxhash.xxh3_64_intdigest(seed))
