"""Predicts the memory that running requests hold over time.

A request that holds some tokens now holds more at each later step, until it
ends. At a horizon of some tokens ahead its memory is that of the tokens held
then, times the chance that it still runs.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import msgspec
import numpy as np

from chicoryshunt.process.policy.survival import (
    EDGES,
    Array,
    Kind,
    Survival,
)

HORIZONS: Array = np.array(
    [0, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192],
    np.float64,
)


class CurveReport(msgspec.Struct, frozen=True, array_like=True):
    """A curve as it travels: memory tokens at each horizon."""

    requests: int
    mean: tuple[int, ...]
    deviation: tuple[int, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Curve:
    """Mean and variance of memory tokens at each of ``HORIZONS``."""

    requests: int
    mean: Array
    variance: Array

    def __add__(self, other: 'Curve') -> 'Curve':
        """Return the curve of both sets of requests together."""
        return Curve(
            self.requests + other.requests,
            self.mean + other.mean,
            self.variance + other.variance,
        )

    def __sub__(self, other: 'Curve') -> 'Curve':
        """Return the curve without some of its requests."""
        return Curve(
            self.requests - other.requests,
            self.mean - other.mean,
            np.maximum(self.variance - other.variance, 0),
        )

    @property
    def peak(self) -> int:
        """Return the largest mean over the horizons."""
        return int(np.ceil(self.mean.max()))

    def report(self) -> CurveReport:
        """Return the curve as it travels."""
        deviation = np.ceil(np.sqrt(self.variance)).astype(int)
        return CurveReport(
            self.requests,
            tuple(np.ceil(self.mean).astype(int).tolist()),
            tuple(deviation.tolist()),
        )


def parse_curve(report: CurveReport) -> Curve:
    """Return the curve of a report."""
    return Curve(
        report.requests,
        np.array(report.mean, np.float64),
        np.array(report.deviation, np.float64) ** 2,
    )


def build_empty_curve() -> Curve:
    """Return the curve of no requests."""
    return Curve(0, np.zeros(len(HORIZONS)), np.zeros(len(HORIZONS)))


def pool_curves(curves: Iterable[Curve]) -> Curve:
    """Return the curve of all requests of all curves."""
    return sum(curves, build_empty_curve())


@dataclass(slots=True)
class Running:
    """One request on a target; ``promised`` is its peak when admitted."""

    kind: Kind
    survival: Survival
    prompt_tokens: int
    max_tokens: int
    produced: int = 0
    promised: int = 0


@dataclass(frozen=True, slots=True, eq=False)
class Forecast:
    """Mean and variance of each request: one row each, one column a horizon."""

    mean: Array
    variance: Array

    def sum(self) -> Curve:
        """Return the curve of all requests together."""
        return Curve(
            len(self.mean),
            self.mean.sum(axis=0),
            self.variance.sum(axis=0),
        )

    def get_row(self, index: int) -> Curve:
        """Return the curve of one request."""
        return Curve(1, self.mean[index], self.variance[index])


def forecast(running: Sequence[Running]) -> Forecast:
    """Predict the memory of each of at least one request on a target."""
    hazards = np.array([one.survival.hazard for one in running])
    numbers = np.array(
        [(one.produced, one.prompt_tokens, one.max_tokens) for one in running],
        np.float64,
    )
    age, prompt, most = np.expand_dims(numbers.T, 2)
    later = age + HORIZONS
    level = _interpolate(hazards, later)
    chance = np.exp(level.take([0], axis=1) - level)
    chance *= later < np.maximum(most, age + 1)
    held = prompt + later
    mean = chance * held
    return Forecast(mean, mean * held * (1 - chance))


def predict_occupancy(running: Sequence[Running]) -> Curve:
    """Return the curve of the requests that run on one target."""
    return forecast(running).sum() if running else build_empty_curve()


def _interpolate(hazards: Array, ages: Array) -> Array:
    low = np.searchsorted(EDGES, ages, 'right') - 1
    low = np.minimum(low, len(EDGES) - 2)
    rows = np.expand_dims(np.arange(len(hazards)), 1)
    start = hazards[rows, low]
    end = hazards[rows, low + 1]
    part = (ages - EDGES[low]) / (EDGES[low + 1] - EDGES[low])
    return np.asarray(start + part * (end - start))
