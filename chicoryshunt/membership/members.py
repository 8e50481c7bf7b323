"""What other parts need to know of the fleet's members."""

from collections.abc import Collection, Sequence
from typing import Protocol

from chicoryshunt.types import DataCentreId, VmId


class Members(Protocol):
    """Live VMs by gossip and published VMs by the platform's list."""

    def list_live(
        self,
        data_centre: DataCentreId | None = None,
    ) -> Sequence[VmId]:
        """Return live VMs, this one included, of one data centre or all."""

    @property
    def published(self) -> Collection[VmId]:
        """Return the VMs of the platform's list."""
