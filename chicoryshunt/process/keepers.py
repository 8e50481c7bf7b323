"""Which node gives orders to a target, and when it may."""

from chicoryshunt.process.members import Members
from chicoryshunt.process.rendezvous import rank_vms
from chicoryshunt.types import DataCentreId, TargetId, VmId


def find_keeper(
    members: Members,
    target: TargetId,
    data_centre: DataCentreId,
) -> VmId | None:
    """Return the live node that keeps a target, of its data centre first."""
    live = members.list_live(data_centre) or members.list_live()
    ranked = rank_vms(target, live)
    return ranked[0] if ranked else None


def sees_majority(members: Members, own: VmId) -> bool:
    """Say whether a node is published and sees most published VMs live."""
    published = set(members.published)
    live = published.intersection(members.list_live())
    return own in live and 2 * len(live) > len(published)
