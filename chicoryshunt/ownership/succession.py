"""Choice of the nodes that take over the records of a leaving node."""

from chicoryshunt.membership.members import Members
from chicoryshunt.membership.rendezvous import rank_vms
from chicoryshunt.ownership.grants import OwnerId
from chicoryshunt.types import VmId

MAX_SUCCESSORS = 3


def rank_successors(owner_id: OwnerId, members: Members) -> tuple[VmId, ...]:
    """Return the VMs that may hold an owner's records, best first.

    Live members of the owner's data centre come first, each group in
    rendezvous order, so that any node finds the holder without an
    announcement.
    """
    key = f'records {owner_id.vm} {owner_id.incarnation}'
    local = rank_vms(key, members.list_live(owner_id.data_centre))
    live = rank_vms(key, members.list_live())
    ranked = dict.fromkeys((*local, *live))
    ranked.pop(owner_id.vm, None)
    return tuple(ranked)[:MAX_SUCCESSORS]
