"""Service levels of the last hours, by team, model and data centre."""

from collections import Counter
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram

from chicoryshunt.types import DataCentreId, ModelId, ServiceId, TeamId

MINUTES = 60
HOURS = 6
_MINUTE_SECONDS = 60
_HOUR_SECONDS = 3600
_MS = 1000
_MAX_SERIES = 2048
_MAX_HISTOGRAM_MS = 3_600_000
_HISTOGRAM_DIGITS = 2
OTHER_TEAMS = TeamId('(other teams)')
NO_TEAM = TeamId('')


class Column(IntEnum):
    """Column of a window, by its index."""

    requests = 0
    refused = 1
    incomplete = 2
    slow_first = 3
    tokens = 4
    slow_tokens = 5
    stall_ms = 6


_COLUMNS = len(Column)


@dataclass(slots=True)
class Sample:
    """Measurements of one request.

    ``gaps_ms`` counts the intervals between tokens by their length in
    milliseconds. ``first_ms`` is ``None`` when no token came.
    """

    team: TeamId
    served: ModelId | ServiceId
    data_centre: DataCentreId
    refused: bool = False
    incomplete: bool = False
    first_ms: float | None = None
    first_limit_ms: float = 0
    gap_limit_ms: float = 0
    gaps_ms: Counter[int] = field(default_factory=Counter)

    @property
    def slow_tokens(self) -> int:
        """Return the number of intervals longer than the limit."""
        return sum(
            count
            for gap, count in self.gaps_ms.items()
            if gap > self.gap_limit_ms
        )

    @property
    def stall_ms(self) -> float:
        """Return the time waited beyond the limits, in milliseconds."""
        before = max(0, (self.first_ms or 0) - self.first_limit_ms)
        during = sum(
            max(0, gap - self.gap_limit_ms) * count
            for gap, count in self.gaps_ms.items()
        )
        return before + during


class SeriesKey(msgspec.Struct, frozen=True, array_like=True):
    """Key of a series; either ``team`` or ``data_centre`` is empty."""

    served: str
    team: str = ''
    data_centre: str = ''


class Series(msgspec.Struct, frozen=True):
    """Counts of one key, one row per window, the latest first."""

    key: SeriesKey
    minutes: list[list[int]]
    hours: list[list[int]]


class Distribution(msgspec.Struct, frozen=True):
    """One encoded HDR histogram of milliseconds."""

    key: SeriesKey
    measure: str
    encoded: bytes


class ServiceLevels(msgspec.Struct, frozen=True):
    """Service levels that one node measured."""

    vm: str
    series: list[Series]
    distributions: list[Distribution]
    preemptions: dict[str, int]


class ServiceLevelRecorder:
    """Counts samples in windows of minutes and hours.

    Once there are ``_MAX_SERIES`` series, new teams share one series for each
    model or service, which bounds the memory.
    """

    def __init__(self, now: float) -> None:
        """Start the windows at ``now``, in seconds."""
        self._minutes = _Windows(now, MINUTES, _MINUTE_SECONDS)
        self._hours = _Windows(now, HOURS, _HOUR_SECONDS)
        self._rows: dict[SeriesKey, int] = {}
        self._histograms: dict[tuple[SeriesKey, str], HdrHistogram] = {}
        self._preemptions: Counter[str] = Counter()

    def record(self, sample: Sample, now: float) -> None:
        """Add one request."""
        self._minutes.advance(now)
        self._hours.advance(now)
        counts = _count(sample)
        for key in self._list_keys(sample):
            row = self._rows.setdefault(key, len(self._rows))
            self._minutes.add(row, counts)
            self._hours.add(row, counts)
        self._record_distributions(sample)

    def record_preemptions(self, target: str, count: int) -> None:
        """Add the preemptions that a target reported."""
        self._preemptions[target] += count

    def export(self, vm: str, now: float) -> ServiceLevels:
        """Return all series and histograms, the latest window first."""
        self._minutes.advance(now)
        self._hours.advance(now)
        series = [
            Series(key, self._minutes.read(row), self._hours.read(row))
            for key, row in self._rows.items()
        ]
        distributions = [
            Distribution(key, measure, histogram.encode())
            for (key, measure), histogram in self._histograms.items()
        ]
        return ServiceLevels(
            vm,
            series,
            distributions,
            dict(self._preemptions),
        )

    def _list_keys(self, sample: Sample) -> tuple[SeriesKey, SeriesKey]:
        by_team = SeriesKey(sample.served, team=sample.team)
        if by_team not in self._rows and len(self._rows) >= _MAX_SERIES:
            by_team = SeriesKey(sample.served, team=OTHER_TEAMS)
        by_data_centre = SeriesKey(
            sample.served, data_centre=sample.data_centre
        )
        return by_team, by_data_centre

    def _record_distributions(self, sample: Sample) -> None:
        key = SeriesKey(sample.served, data_centre=sample.data_centre)
        if sample.first_ms is not None:
            self._get_histogram(key, 'first_token').record_value(
                max(1, round(sample.first_ms)),
            )
            self._get_histogram(key, 'stall').record_value(
                max(1, round(sample.stall_ms)),
            )
        gaps = self._get_histogram(key, 'token_gap')
        for gap, count in sample.gaps_ms.items():
            gaps.record_value(max(1, gap), count)

    def _get_histogram(self, key: SeriesKey, measure: str) -> HdrHistogram:
        histogram = self._histograms.get((key, measure))
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_HISTOGRAM_MS, _HISTOGRAM_DIGITS)
            self._histograms[key, measure] = histogram
        return histogram


class _Windows:
    """Ring buffer of windows of equal length, one row per series."""

    def __init__(self, now: float, count: int, seconds: float) -> None:
        self._count = count
        self._seconds = seconds
        self._latest = int(now // seconds)
        self._cells = np.zeros((16, count, _COLUMNS), dtype=np.int32)

    def advance(self, now: float) -> None:
        index = int(now // self._seconds)
        first = max(self._latest + 1, index + 1 - self._count)
        reused = [window % self._count for window in range(first, index + 1)]
        if reused:
            self._cells[:, reused] = 0  # noqa: WPS478
        self._latest = max(index, self._latest)

    def add(self, row: int, counts: 'np.ndarray') -> None:
        if row >= len(self._cells):
            self._cells = np.concatenate(
                (self._cells, np.zeros_like(self._cells)),
            )
        self._cells[row, self._latest % self._count] += counts

    def read(self, row: int) -> list[list[int]]:
        order = [
            (self._latest - age) % self._count for age in range(self._count)
        ]
        windows: list[list[int]] = self._cells[row, order].tolist()
        return windows


def _count(sample: Sample) -> 'np.ndarray':
    slow_first = (sample.first_ms or 0) > sample.first_limit_ms
    counts = np.zeros(_COLUMNS, dtype=np.int32)
    counts[Column.requests] = 1
    counts[Column.refused] = sample.refused
    counts[Column.incomplete] = sample.incomplete
    counts[Column.slow_first] = slow_first
    counts[Column.tokens] = sample.gaps_ms.total()
    counts[Column.slow_tokens] = sample.slow_tokens
    counts[Column.stall_ms] = round(sample.stall_ms)
    return counts
