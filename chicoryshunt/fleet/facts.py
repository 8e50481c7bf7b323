"""What is published about targets and data centres, as nodes pass it on."""

from enum import Enum
from typing import NewType

import msgspec

from chicoryshunt.types import DataCentreId, ServiceId, TargetId

Revision = NewType('Revision', int)


class TargetPhase(Enum):
    """Say whether a target takes new work."""

    ready = 'ready'
    leaving = 'leaving'
    gone = 'gone'


class TargetFact(msgspec.Struct, frozen=True, array_like=True, tag='t'):
    """What was published about a target at a revision.

    ``address`` is host:port; ``cold_seconds`` is how much longer the target
    stays slow after its start; ``born`` is the Unix millisecond of its start.
    """

    target: TargetId
    revision: Revision
    phase: TargetPhase
    service: ServiceId = ServiceId('')
    address: str = ''
    data_centre: DataCentreId = DataCentreId('')
    slots: int = 0
    cold_seconds: float = 0
    born: int = 0

    @property
    def content(self) -> tuple[object, ...]:
        """Return what has to change for the fact to be news."""
        location = (self.service, self.address, self.data_centre)
        is_cold = self.cold_seconds > 0
        return self.phase, location, self.slots, is_cold, self.born


class EvacuationFact(msgspec.Struct, frozen=True, array_like=True, tag='e'):
    """Order to send nothing to a data centre, or its end."""

    data_centre: DataCentreId
    revision: Revision
    is_ordered: bool

    @property
    def content(self) -> tuple[object, ...]:
        """Return what has to change for the fact to be news."""
        return (self.is_ordered,)


Fact = TargetFact | EvacuationFact
