"""Predicts the memory that running requests hold over time.

A request that holds some tokens now holds more at each later step, until it
ends. At a horizon of some tokens ahead its memory is that of the tokens held
then, times the chance that it still runs.
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
    """A curve as it travels: memory tokens at each horizon."""

    requests: int
    mean: tuple[int, ...]
    deviation: tuple[int, ...]
    uncertainty: tuple[int, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Curve:
    """Mean and variance of memory tokens at each of ``HORIZONS``.

    ``doubt`` is the deviation by which all requests may be misjudged at once.
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
        """Return the curve without some of its requests."""
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
        """Return the curve of several such sets."""
        return Curve(
            self.requests * count,
            self.mean * count,
            self.variance * count,
            self.uncertainty * count,
        )

    def interpolate(self, other: 'Curve', part: float) -> 'Curve':
        """Return this curve moved towards another by a part."""
        return Curve(
            self.requests,
            self.mean + part * (other.mean - self.mean),
            self.variance + part * (other.variance - self.variance),
            self.uncertainty + part * (other.uncertainty - self.uncertainty),
        )

    def repeat(self, count: Array) -> 'Curve':
        """Return the curves of several such sets, one row for each count."""
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
        """Return the curve as it travels."""
        return CurveReport(
            self.requests,
            _round_up(self.mean),
            _round_up(np.sqrt(self.variance)),
            _round_up(self.uncertainty),
        )


def parse_curve(report: CurveReport) -> Curve:
    """Return the curve of a report."""
    return Curve(
        report.requests,
        np.array(report.mean, np.float64),
        np.array(report.deviation, np.float64) ** 2,
        np.array(report.uncertainty, np.float64),
    )


def build_empty_curve() -> Curve:
    """Return the curve of no requests."""
    empty = np.zeros(len(HORIZONS))
    return Curve(0, empty, empty, empty)


def _round_up(numbers: Array) -> tuple[int, ...]:
    return tuple(np.ceil(numbers).astype(int).tolist())


def sum_curves(curves: Iterable[Curve]) -> Curve:
    """Return the curve of all requests of all curves."""
    return sum(curves, build_empty_curve())


@dataclass(slots=True)
class RunningRequest:
    """One request on a target; ``promised`` is its peak when admitted."""

    kind: RequestKind
    survival: Survival
    prompt_tokens: int
    max_tokens: int
    produced: int = 0
    reserved_tokens: int = 0

    @property
    def held(self) -> int:
        """Return the memory tokens it holds now."""
        return self.prompt_tokens + self.produced


@dataclass(frozen=True, slots=True, eq=False)
class Forecast:
    """Parts of each request's curve: one row each, one column a horizon."""

    mean: Array
    variance: Array
    uncertainty: Array

    def sum(self) -> Curve:
        """Return the curve of all requests together."""
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
    """Predict the memory of each of at least one request on a target."""
    numbers = np.array(
        [(one.produced, one.prompt_tokens, one.max_tokens) for one in running],
        np.float64,
    )
    age, prompt, most = np.expand_dims(numbers.T, 2)
    later = age + HORIZONS
    hazard, doubt = _predict_passed(running, later)
    chance = np.exp(-hazard) * (later < np.maximum(most, age + 1))
    held = prompt + later
    mean = chance * held
    return Forecast(
        mean,
        mean * held * (1 - chance),
        mean * np.sqrt(doubt),
    )


def predict_occupancy(running: Sequence[RunningRequest]) -> Curve:
    """Return the curve of the requests that run on one target."""
    return forecast(running).sum() if running else build_empty_curve()


def _predict_passed(running: Sequence[RunningRequest], ages: Array) -> Array:
    tables = np.array(
        [(one.survival.hazard, one.survival.variance) for one in running],
    )
    passed = _interpolate(tables, ages)
    passed -= passed.take([0], axis=2)
    return passed.transpose(1, 0, 2)


def _interpolate(tables: Array, ages: Array) -> Array:
    low = np.searchsorted(EDGES, ages, 'right') - 1
    low = np.minimum(low, len(EDGES) - 2)
    part = (ages - EDGES[low]) / (EDGES[low + 1] - EDGES[low])
    columns = np.expand_dims(low, 1)
    start = np.take_along_axis(tables, columns, axis=2)
    end = np.take_along_axis(tables, columns + 1, axis=2)
    return np.asarray(start + np.expand_dims(part, 1) * (end - start))
