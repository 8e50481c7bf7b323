"""Chooses the target of a call to a plain service."""

from collections.abc import Sequence
from dataclasses import dataclass

from chicoryshunt.types import DataCentreId, TargetId

# Calls that wait here before another data centre is used, as a part of the
# target's slots.
_REMOTE_PART = 0.75
# A failing target must be emptier than a sound one by this part per unit of
# its failure rate.
_FAILURE_WEIGHT = 2.0


@dataclass(frozen=True, slots=True)
class ServiceTarget:
    """A target of a plain service as this node sees it.

    ``open_calls`` are this node's own; ``failure_rate`` is from 0 to 1.
    """

    target: TargetId
    data_centre: DataCentreId
    slots: int
    open_calls: int
    failure_rate: float


def choose_target(
    targets: Sequence[ServiceTarget],
    home: DataCentreId,
) -> TargetId | None:
    """Return the target with the least to do, the own data centre first.

    Load pattern: many short calls on few slots, where nearly every target is
    idle. Nodes of different data centres then use different targets without
    telling each other.
    """
    if not targets:
        return None
    return min(targets, key=lambda one: _rate(one, home)).target


def _rate(one: ServiceTarget, home: DataCentreId) -> tuple[float, TargetId]:
    busy = one.open_calls / max(one.slots, 1)
    is_remote = one.data_centre != home
    failures = one.failure_rate * _FAILURE_WEIGHT
    return busy + is_remote * _REMOTE_PART + failures, one.target
