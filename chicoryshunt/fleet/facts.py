"""Facts about targets and data centres, as nodes exchange them."""

from enum import Enum
from typing import NewType

import msgspec

from chicoryshunt.types import DataCentreId, ServiceId, TargetId

Revision = NewType('Revision', int)


class TargetPhase(Enum):
    """Lifecycle phase of a target; only a ready one takes requests."""

    ready = 'ready'
    leaving = 'leaving'
    gone = 'gone'


class TargetFact(msgspec.Struct, frozen=True, array_like=True, tag='t'):
    """State of a target, as published at a revision.

    ``address`` is host:port; ``cold_seconds`` is the remaining time for which
    the target is slow after its start; ``born`` is the Unix time of its start
    in milliseconds.
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
        """Return the part whose changes are reported to other nodes."""
        location = (self.service, self.address, self.data_centre)
        is_cold = self.cold_seconds > 0
        return self.phase, location, self.slots, is_cold, self.born


class EvacuationFact(msgspec.Struct, frozen=True, array_like=True, tag='e'):
    """Order to evacuate a data centre, or its withdrawal."""

    data_centre: DataCentreId
    revision: Revision
    is_ordered: bool

    @property
    def content(self) -> tuple[object, ...]:
        """Return the part whose changes are reported to other nodes."""
        return (self.is_ordered,)


Fact = TargetFact | EvacuationFact
