"""Decides whether a target has memory for one more request.

At each horizon, the mean of the predicted memory plus a margin of some standard
deviations must fit. The margin is adjusted by the observed preemptions. Near
horizons get a larger margin than far ones: they are reached more often, and
there is no time left to correct an admission.
"""

from dataclasses import dataclass

import numpy as np

from chicoryshunt.policy.occupancy import HORIZONS, Curve
from chicoryshunt.policy.profile import PolicyParameters
from chicoryshunt.policy.slots import Headroom
from chicoryshunt.policy.survival import Array

_SHORT_SLOT_FRACTION = 0.04
_SHORT_MARGIN_FRACTION = 0.5
_MARGIN_STEP = 0.01
_MAX_MARGIN_STEP = 0.05
_NEAR_WEIGHT = 2.6
_FAR_WEIGHT = 0.5
HORIZON_WEIGHTS: Array = np.linspace(_NEAR_WEIGHT, _FAR_WEIGHT, len(HORIZONS))


@dataclass(frozen=True, slots=True)
class Limit:
    """Limit on the slots and memory tokens in use on a target."""

    slots: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class Fit:
    """The request fits.

    ``part_used`` is the largest mean over the horizons, as a fraction of the
    limit. ``deviations_free`` is the smallest distance to the limit over the
    horizons, in weighted standard deviations.
    """

    part_used: float
    deviations_free: float


@dataclass(frozen=True, slots=True)
class NoSlot:
    """All ``slots`` that the request may use are taken."""

    slots: int


@dataclass(frozen=True, slots=True)
class NoMemory:
    """The memory would not suffice ``horizon_tokens`` tokens ahead."""

    horizon_tokens: int
    needed_tokens: int
    limit_tokens: int


def check_fit(
    limit: Limit,
    running: Curve,
    request: Curve,
    margin: float,
    *,
    reserve: float = 0,
    is_short: bool = False,
) -> Fit | NoSlot | NoMemory:
    """Return whether a request fits beside the running ones, or why not.

    ``reserve`` is the fraction of the memory that it may not use. A few slots
    and part of the margin are reserved for short requests. Only horizons at
    which the request may still be running are checked.
    """
    slots = limit.slots
    if not is_short:
        slots -= int(slots * _SHORT_SLOT_FRACTION)
    if running.requests >= slots:
        return NoSlot(slots)
    combined = running + request
    memory = limit.memory_tokens * (1 - reserve)
    deviation = HORIZON_WEIGHTS * np.maximum(combined.deviation, 1)
    free_deviations = (memory - combined.mean) / deviation
    free_deviations = np.where(request.mean > 0, free_deviations, np.inf)
    worst = int(np.argmin(free_deviations))
    required = margin * _SHORT_MARGIN_FRACTION if is_short else margin
    if free_deviations[worst] < required:
        needed = combined.mean[worst] + required * deviation[worst]
        return NoMemory(int(HORIZONS[worst]), int(needed), int(memory))
    return Fit(
        float(combined.mean.max()) / limit.memory_tokens,
        float(free_deviations[worst]),
    )


def compute_headroom(
    limit: Limit,
    running: Curve,
    typical: Curve,
    margin: float,
) -> Headroom:
    """Return how many typical requests and how many tokens still fit.

    ``running`` is the sum of the curves of all requests on the target.
    """
    free_slots = max(0, limit.slots - running.requests)
    counts = np.expand_dims(np.arange(free_slots + 1, dtype=np.float64), 1)
    combined = running + typical.repeat(counts)
    needed = combined.mean + margin * HORIZON_WEIGHTS * combined.deviation
    fits = (needed <= limit.memory_tokens).all(axis=1)
    tokens = limit.memory_tokens - int(needed[0].max())
    return Headroom(max(0, int(fits.sum()) - 1), max(0, tokens))


class SafetyMargin:
    """Margin in standard deviations, adjusted by observed preemptions."""

    def __init__(self, parameters: PolicyParameters) -> None:
        """Create a margin with the initial value of the profile."""
        self.deviations = parameters.margin
        self._parameters = parameters

    def record_admission(self, *, has_waited: bool) -> None:
        """Lower the margin a little if the admitted request had to wait."""
        if has_waited:
            self._adjust(-_MARGIN_STEP * self._parameters.preemption_rate_goal)

    def record_preemptions(self, count: int) -> None:
        """Raise the margin for preemptions reported by a target."""
        self._adjust(min(_MARGIN_STEP * count, _MAX_MARGIN_STEP))

    def _adjust(self, step: float) -> None:
        self.deviations = min(
            max(self.deviations + step, self._parameters.min_margin),
            self._parameters.max_margin,
        )
