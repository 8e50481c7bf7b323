"""Which nodes take over the records of a node that leaves."""

from chicoryshunt.membership.members import Members
from chicoryshunt.membership.rendezvous import rank_vms
from chicoryshunt.ownership.grants import OwnerId
from chicoryshunt.types import VmId

MAX_SUCCESSORS = 3


def rank_successors(origin: OwnerId, members: Members) -> tuple[VmId, ...]:
    """Return the VMs that take or hold an owner's records, best first.

    Live members of the owner's data centre come first, each group in
    rendezvous order, so that whoever asks finds the holder without an
    announcement.
    """
    key = f'records {origin.vm} {origin.incarnation}'
    near = rank_vms(key, members.list_live(origin.data_centre))
    far = rank_vms(key, members.list_live())
    ranked = dict.fromkeys((*near, *far))
    ranked.pop(origin.vm, None)
    return tuple(ranked)[:MAX_SUCCESSORS]
