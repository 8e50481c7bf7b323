"""Interface to the membership for the other packages."""

from collections.abc import Collection, Sequence
from typing import Protocol

from chicoryshunt.types import DataCentreId, VmId


class Members(Protocol):
    """The live VMs by gossip and the VMs on the platform's list."""

    def list_live(
        self,
        data_centre: DataCentreId | None = None,
    ) -> Sequence[VmId]:
        """Return live VMs, including this one, of one data centre or all."""

    @property
    def published(self) -> Collection[VmId]:
        """Return the VMs on the platform's list."""
