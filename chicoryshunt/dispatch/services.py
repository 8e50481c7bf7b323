"""Chooses the target of a call to a plain service."""

from collections.abc import Sequence
from dataclasses import dataclass

from chicoryshunt.types import DataCentreId, TargetId

# Utilization that a local target may have above a remote one before the remote
# one is chosen.
_REMOTE_PENALTY = 0.75
# A failure rate of 1 counts like this utilization: a failing target must be
# less loaded than a healthy one to be chosen.
_FAILURE_WEIGHT = 2.0


@dataclass(frozen=True, slots=True)
class ServiceTarget:
    """A target of a plain service as seen by this node.

    ``open_calls`` counts the calls of this node; ``failure_rate`` is 0 to 1.
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
    """Return the least loaded target, preferring the local data centre.

    Short calls leave nearly every target idle. The preference makes nodes of
    different data centres use different targets without coordination.
    """
    if not targets:
        return None
    return min(targets, key=lambda one: _score(one, home)).target


def _score(one: ServiceTarget, home: DataCentreId) -> tuple[float, TargetId]:
    utilization = one.open_calls / max(one.slots, 1)
    is_remote = one.data_centre != home
    failure_score = one.failure_rate * _FAILURE_WEIGHT
    return utilization + is_remote * _REMOTE_PENALTY + failure_score, one.target
