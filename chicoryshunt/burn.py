"""Burn rates of the error budgets of the service-level objectives."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType

from hdrh.histogram import HdrHistogram

from chicoryshunt.serving.service_levels import (
    HOURS,
    MINUTES,
    Column,
    SeriesKey,
    ServiceLevels,
)

_PERCENTILES = (50, 95, 99)


class Objective(Enum):
    """Service-level objective; each requires a fraction of good events."""

    answered = 'answered'
    first_token = 'first_token'
    token_gap = 'token_gap'


_GOOD_FRACTIONS = MappingProxyType(
    {
        Objective.answered: 0.999,
        Objective.first_token: 0.95,
        Objective.token_gap: 0.95,
    }
)


@dataclass(frozen=True, slots=True)
class Window:
    """Time window that a burn rate is computed over."""

    name: str
    minutes: int = 0
    hours: int = 0


WINDOWS = (
    Window('5m', minutes=5),
    Window('10m', minutes=10),
    Window('1h', minutes=MINUTES),
    Window('6h', hours=HOURS),
)


@dataclass(frozen=True, slots=True)
class Burn:
    """Burn rates of one objective for one key.

    ``rates`` has one burn rate per window; a rate of 1 spends the budget
    exactly. ``budget_left`` is the fraction left over the longest window.
    """

    key: SeriesKey
    objective: Objective
    rates: tuple[float, ...]
    budget_left: float
    events: int


@dataclass(frozen=True, slots=True)
class Tail:
    """Percentiles p50, p95 and p99 of one measure, in milliseconds."""

    key: SeriesKey
    measure: str
    percentiles: tuple[float, ...]
    count: int


@dataclass(frozen=True, slots=True)
class MinuteCounts:
    """Counts of one data centre in one minute.

    ``age_minutes`` is 0 for the current minute.
    """

    key: SeriesKey
    age_minutes: int
    requests: int
    bad: int
    stall_ms: int


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Merged service levels of all nodes."""

    vms: tuple[str, ...]
    burns: tuple[Burn, ...]
    tails: tuple[Tail, ...]
    minutes: tuple[MinuteCounts, ...]
    preemptions: dict[str, int]


@dataclass(slots=True)
class _SeriesCounts:
    minutes: list[list[int]]
    hours: list[list[int]]


def build_report(levels: Sequence[ServiceLevels]) -> BurnReport:
    """Return one report merged from the service levels of the nodes."""
    merged = _merge_series(levels)
    burns = [
        _compute_burn(key, objective, counts)
        for key, counts in sorted(merged.items(), key=_sort_key)
        for objective in Objective
    ]
    return BurnReport(
        vms=tuple(sorted(one.vm for one in levels)),
        burns=tuple(burns),
        tails=_merge_tails(levels),
        minutes=_list_minutes(merged),
        preemptions=_merge_preemptions(levels),
    )


def _sort_key(pair: tuple[SeriesKey, _SeriesCounts]) -> tuple[str, str, str]:
    key = pair[0]
    return key.data_centre, key.served, key.team


def _merge_series(
    levels: Iterable[ServiceLevels],
) -> dict[SeriesKey, _SeriesCounts]:
    merged: dict[SeriesKey, _SeriesCounts] = {}
    for one in levels:
        for series in one.series:
            known = merged.get(series.key)
            if known is None:
                merged[series.key] = _SeriesCounts(series.minutes, series.hours)
            else:
                known.minutes = _add_rows(known.minutes, series.minutes)
                known.hours = _add_rows(known.hours, series.hours)
    return merged


def _add_rows(
    ours: Sequence[Sequence[int]],
    theirs: Sequence[Sequence[int]],
) -> list[list[int]]:
    return [
        [one + other for one, other in zip(row, added, strict=True)]
        for row, added in zip(ours, theirs, strict=True)
    ]


def _compute_burn(
    key: SeriesKey,
    objective: Objective,
    counts: _SeriesCounts,
) -> Burn:
    rates = tuple(
        _compute_rate(objective, _sum_window(counts, window))
        for window in WINDOWS
    )
    longest = _sum_window(counts, WINDOWS[-1])
    total, _ = _count_events(objective, longest)
    return Burn(key, objective, rates, max(0, 1 - rates[-1]), total)


def _sum_window(counts: _SeriesCounts, window: Window) -> list[int]:
    rows = counts.minutes[: window.minutes] or counts.hours[: window.hours]
    return [sum(column) for column in zip(*rows, strict=True)]


def _compute_rate(objective: Objective, row: Sequence[int]) -> float:
    total, bad = _count_events(objective, row)
    if not total:
        return 0
    return bad / total / (1 - _GOOD_FRACTIONS[objective])


def _count_events(objective: Objective, row: Sequence[int]) -> tuple[int, int]:
    match objective:
        case Objective.answered:
            bad = row[Column.refused] + row[Column.incomplete]
            return row[Column.requests], bad
        case Objective.first_token:
            return row[Column.requests], row[Column.slow_first]
        case Objective.token_gap:
            return row[Column.tokens], row[Column.slow_tokens]


def _merge_tails(levels: Iterable[ServiceLevels]) -> tuple[Tail, ...]:
    histograms: dict[tuple[SeriesKey, str], HdrHistogram] = {}
    for one in levels:
        for part in one.distributions:
            decoded = HdrHistogram.decode(part.encoded)
            known = histograms.setdefault((part.key, part.measure), decoded)
            if known is not decoded:
                known.add(decoded)
    return tuple(
        Tail(
            key,
            measure,
            tuple(
                float(histogram.get_value_at_percentile(percentile))
                for percentile in _PERCENTILES
            ),
            int(histogram.get_total_count()),
        )
        for (key, measure), histogram in histograms.items()
    )


def _list_minutes(
    merged: dict[SeriesKey, _SeriesCounts],
) -> tuple[MinuteCounts, ...]:
    return tuple(
        MinuteCounts(
            key,
            age,
            row[Column.requests],
            row[Column.refused] + row[Column.incomplete],
            row[Column.stall_ms],
        )
        for key, counts in merged.items()
        if key.data_centre
        for age, row in enumerate(counts.minutes)
    )


def _merge_preemptions(levels: Iterable[ServiceLevels]) -> dict[str, int]:
    totals: dict[str, int] = defaultdict(int)
    for one in levels:
        for target, count in one.preemptions.items():
            totals[target] += count
    return dict(totals)
