"""Decides whether a target has memory for one more request.

Memory is judged over time: at each horizon the mean of what is held plus some
standard deviations must fit. How many is led by the preemptions that are seen.
Near horizons keep more free than far ones: they come round more often, and
what is admitted there can no longer be corrected.
"""

from dataclasses import dataclass

import numpy as np

from chicoryshunt.policy.occupancy import HORIZONS, Curve
from chicoryshunt.policy.profile import PolicyParameters
from chicoryshunt.policy.slots import Headroom
from chicoryshunt.policy.survival import Array

_SHORT_SLOTS_PART = 0.04
_SHORT_MARGIN_PART = 0.5
_PREEMPTION_STEP = 0.01
_MOST_STEP = 0.05
_NEAR_WEIGHT = 2.6
_FAR_WEIGHT = 0.5
HORIZON_WEIGHTS: Array = np.linspace(_NEAR_WEIGHT, _FAR_WEIGHT, len(HORIZONS))


@dataclass(frozen=True, slots=True)
class Limit:
    """What a target may bear at this moment."""

    slots: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class Fit:
    """The request fits.

    ``part_used`` is the fullest horizon's mean as a part of the limit, and
    ``deviations_free`` how many standard deviations it stays below it.
    """

    part_used: float
    deviations_free: float


@dataclass(frozen=True, slots=True)
class NoSlot:
    """All slots that the request may use are taken."""

    slots: int


@dataclass(frozen=True, slots=True)
class NoMemory:
    """Memory would not suffice at a horizon of some tokens ahead."""

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
    """Say whether a request fits beside what runs, and why not.

    ``reserve`` is the part of the memory that it may not use. A few slots
    and a part of the margin are kept for short requests. Only the horizons at
    which the request may still run are looked at.
    """
    slots = limit.slots
    if not is_short:
        slots -= int(slots * _SHORT_SLOTS_PART)
    if running.requests >= slots:
        return NoSlot(slots)
    both = running + request
    memory = limit.memory_tokens * (1 - reserve)
    deviation = HORIZON_WEIGHTS * np.maximum(both.deviation, 1)
    free = (memory - both.mean) / deviation
    free = np.where(request.mean > 0, free, np.inf)
    worst = int(np.argmin(free))
    kept = margin * _SHORT_MARGIN_PART if is_short else margin
    if free[worst] < kept:
        needed = both.mean[worst] + kept * deviation[worst]
        return NoMemory(int(HORIZONS[worst]), int(needed), int(memory))
    return Fit(
        float(both.mean.max()) / limit.memory_tokens,
        float(free[worst]),
    )


def compute_headroom(
    limit: Limit,
    running: Curve,
    typical: Curve,
    margin: float,
) -> Headroom:
    """Return how many typical requests, and tokens, still fit.

    ``running`` is the pooled curve of everything on the target.
    """
    free = max(0, limit.slots - running.requests)
    counts = np.expand_dims(np.arange(free + 1, dtype=np.float64), 1)
    both = running + typical.repeat(counts)
    needed = both.mean + margin * HORIZON_WEIGHTS * both.deviation
    fits = (needed <= limit.memory_tokens).all(axis=1)
    tokens = limit.memory_tokens - int(needed[0].max())
    return Headroom(max(0, int(fits.sum()) - 1), max(0, tokens))


class SafetyMargin:
    """Standard deviations kept free, led by the preemptions seen."""

    def __init__(self, parameters: PolicyParameters) -> None:
        """Start at the margin of the profile."""
        self.deviations = parameters.margin
        self._parameters = parameters

    def record_admission(self, *, has_waited: bool) -> None:
        """Lower the margin a little for a request that memory held up."""
        if has_waited:
            self._move(
                -_PREEMPTION_STEP * self._parameters.preemption_rate_goal
            )

    def record_preemptions(self, count: int) -> None:
        """Raise the margin for preemptions that a target reported."""
        self._move(min(_PREEMPTION_STEP * count, _MOST_STEP))

    def _move(self, step: float) -> None:
        self.deviations = min(
            max(self.deviations + step, self._parameters.min_margin),
            self._parameters.max_margin,
        )
