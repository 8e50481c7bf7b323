"""What other parts need to know of the fleet's members."""

from collections.abc import Sequence
from typing import Protocol

from chicoryshunt.process.roster import Roster
from chicoryshunt.types import DataCentreId, VmId


class Members(Protocol):
    """Live VMs by gossip and published VMs by the platform's list."""

    def list_live(
        self,
        data_centre: DataCentreId | None = None,
    ) -> Sequence[VmId]:
        """Return live VMs, this one included, of one data centre or all."""

    def list_published(self) -> Sequence[VmId]:
        """Return the VMs of the platform's list."""


class RosterMembers:
    """Members as the gossip of this node knows them."""

    def __init__(self, roster: Roster) -> None:
        """Read the roster."""
        self._roster = roster

    def list_live(
        self,
        data_centre: DataCentreId | None = None,
    ) -> Sequence[VmId]:
        """Return live VMs, this one included, of one data centre or all."""
        return self._roster.list_live(data_centre)

    def list_published(self) -> Sequence[VmId]:
        """Return the VMs of the platform's list."""
        return sorted(self._roster.published)
