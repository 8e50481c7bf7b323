"""Predicts the memory that running requests hold over time.

A request holds one more token after each step until it ends. Its expected
memory at a horizon, counted in tokens from now, is the number of tokens held
then, times the probability that it still runs.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import msgspec
import numpy as np

from chicoryshunt.policy.survival import (
    EDGES,
    Array,
    RequestKind,
    Survival,
)

HORIZONS: Array = np.array(
    [0, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192],
    np.float64,
)


class CurveReport(msgspec.Struct, frozen=True, array_like=True):
    """Wire form of a curve: memory tokens at each horizon."""

    requests: int
    mean: tuple[int, ...]
    deviation: tuple[int, ...]
    uncertainty: tuple[int, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Curve:
    """Mean and variance of memory tokens at each of ``HORIZONS``.

    ``uncertainty`` is the standard deviation of the estimation error, which all
    requests have in common.
    """

    requests: int
    mean: Array
    variance: Array
    uncertainty: Array

    def __add__(self, other: 'Curve') -> 'Curve':
        """Return the curve of both sets of requests together."""
        return Curve(
            self.requests + other.requests,
            self.mean + other.mean,
            self.variance + other.variance,
            self.uncertainty + other.uncertainty,
        )

    def __sub__(self, other: 'Curve') -> 'Curve':
        """Return the curve without the requests of another one."""
        return Curve(
            self.requests - other.requests,
            self.mean - other.mean,
            np.maximum(self.variance - other.variance, 0),
            np.maximum(self.uncertainty - other.uncertainty, 0),
        )

    @property
    def deviation(self) -> Array:
        """Return the standard deviation at each horizon."""
        return np.asarray(np.sqrt(self.variance + self.uncertainty**2))

    def scale(self, count: int) -> 'Curve':
        """Return the curve of ``count`` copies of its requests."""
        return Curve(
            self.requests * count,
            self.mean * count,
            self.variance * count,
            self.uncertainty * count,
        )

    def interpolate(self, other: 'Curve', fraction: float) -> 'Curve':
        """Return this curve, moved towards another by a fraction."""
        return Curve(
            self.requests,
            self.mean + fraction * (other.mean - self.mean),
            self.variance + fraction * (other.variance - self.variance),
            self.uncertainty
            + fraction * (other.uncertainty - self.uncertainty),
        )

    def repeat(self, count: Array) -> 'Curve':
        """Return curves scaled by each count, one row per count."""
        return Curve(
            self.requests,
            self.mean * count,
            self.variance * count,
            self.uncertainty * count,
        )

    @property
    def peak(self) -> int:
        """Return the largest mean over the horizons."""
        return int(np.ceil(self.mean.max()))

    def to_report(self) -> CurveReport:
        """Return the wire form, rounded up."""
        return CurveReport(
            self.requests,
            _round_up(self.mean),
            _round_up(np.sqrt(self.variance)),
            _round_up(self.uncertainty),
        )


def parse_curve(report: CurveReport) -> Curve:
    """Return a curve from its wire form."""
    return Curve(
        report.requests,
        np.array(report.mean, np.float64),
        np.array(report.deviation, np.float64) ** 2,
        np.array(report.uncertainty, np.float64),
    )


def build_empty_curve() -> Curve:
    """Return the curve of an empty set of requests."""
    empty = np.zeros(len(HORIZONS))
    return Curve(0, empty, empty, empty)


def _round_up(values: Array) -> tuple[int, ...]:
    return tuple(np.ceil(values).astype(int).tolist())


def sum_curves(curves: Iterable[Curve]) -> Curve:
    """Return the sum of curves."""
    return sum(curves, build_empty_curve())


@dataclass(slots=True)
class RunningRequest:
    """A request on a target.

    ``reserved_tokens`` is the peak of its curve when it was admitted.
    """

    kind: RequestKind
    survival: Survival
    prompt_tokens: int
    max_tokens: int
    produced: int = 0
    reserved_tokens: int = 0

    @property
    def held(self) -> int:
        """Return the memory tokens that it holds now."""
        return self.prompt_tokens + self.produced


@dataclass(frozen=True, slots=True, eq=False)
class Forecast:
    """Curves of several requests: a row per request, a column per horizon."""

    mean: Array
    variance: Array
    uncertainty: Array

    def sum(self) -> Curve:
        """Return the sum of the rows."""
        return Curve(
            len(self.mean),
            self.mean.sum(axis=0),
            self.variance.sum(axis=0),
            self.uncertainty.sum(axis=0),
        )

    def get_row(self, index: int) -> Curve:
        """Return the curve of one request."""
        return Curve(
            1,
            self.mean[index],
            self.variance[index],
            self.uncertainty[index],
        )


def forecast(running: Sequence[RunningRequest]) -> Forecast:
    """Predict the memory of each request; there must be at least one."""
    values = np.array(
        [(one.produced, one.prompt_tokens, one.max_tokens) for one in running],
        np.float64,
    )
    age, prompt, limit = np.expand_dims(values.T, 2)
    later_age = age + HORIZONS
    hazard, variance = _compute_hazards(running, later_age)
    probability = np.exp(-hazard) * (later_age < np.maximum(limit, age + 1))
    held = prompt + later_age
    mean = probability * held
    return Forecast(
        mean,
        mean * held * (1 - probability),
        mean * np.sqrt(variance),
    )


def predict_occupancy(running: Sequence[RunningRequest]) -> Curve:
    """Return the curve of the requests on one target."""
    return forecast(running).sum() if running else build_empty_curve()


def _compute_hazards(running: Sequence[RunningRequest], ages: Array) -> Array:
    tables = np.array(
        [(one.survival.hazard, one.survival.variance) for one in running],
    )
    hazards = _interpolate(tables, ages)
    hazards -= hazards.take([0], axis=2)
    return hazards.transpose(1, 0, 2)


def _interpolate(tables: Array, ages: Array) -> Array:
    low = np.searchsorted(EDGES, ages, 'right') - 1
    low = np.minimum(low, len(EDGES) - 2)
    fraction = (ages - EDGES[low]) / (EDGES[low + 1] - EDGES[low])
    columns = np.expand_dims(low, 1)
    start = np.take_along_axis(tables, columns, axis=2)
    end = np.take_along_axis(tables, columns + 1, axis=2)
    return np.asarray(start + np.expand_dims(fraction, 1) * (end - start))
