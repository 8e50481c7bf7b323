"""Which node gives orders to a target, and when it may."""

from collections.abc import Collection

from chicoryshunt.membership.members import Members
from chicoryshunt.membership.rendezvous import compute_weight
from chicoryshunt.types import DataCentreId, TargetId, VmId


class Keepers:
    """Finds the keeper of a target by rendezvous hashing.

    It is a live node, in the target's data centre if there is one.
    """

    def __init__(self, members: Members) -> None:
        """Read the live nodes of each data centre once."""
        self._members = members
        self._live: dict[DataCentreId, Collection[VmId]] = {}

    def find(self, target: TargetId, data_centre: DataCentreId) -> VmId | None:
        """Return the keeper of a target."""
        live = self._live.get(data_centre)
        if live is None:
            members = self._members
            live = members.list_live(data_centre) or members.list_live()
            self._live[data_centre] = live
        return max(
            live, key=lambda vm: compute_weight(target, vm), default=None
        )


def sees_majority(members: Members, own: VmId) -> bool:
    """Say whether a published node sees most published VMs live."""
    published = set(members.published)
    live = published.intersection(members.list_live())
    return own in live and 2 * len(live) > len(published)
