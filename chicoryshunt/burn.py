"""Service-level burn: how fast the error budgets are spent."""

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
    """What is promised, each with the share of good events."""

    answered = 'answered'
    first_token = 'first_token'
    token_gap = 'token_gap'


_GOOD_SHARE = MappingProxyType(
    {
        Objective.answered: 0.999,
        Objective.first_token: 0.95,
        Objective.token_gap: 0.95,
    }
)


@dataclass(frozen=True, slots=True)
class Window:
    """One span of time that a burn rate is taken over."""

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
    """Burn of one objective for one key.

    ``rates`` holds a burn rate a window, 1 spends the budget exactly;
    ``budget_left`` is the share left over the longest window.
    """

    key: SeriesKey
    objective: Objective
    rates: tuple[float, ...]
    budget_left: float
    events: int


@dataclass(frozen=True, slots=True)
class Tail:
    """Percentiles of one measure in milliseconds: p50, p95, p99."""

    key: SeriesKey
    measure: str
    percentiles: tuple[float, ...]
    count: int


@dataclass(frozen=True, slots=True)
class Minute:
    """What one data centre served in one minute; 0 is the present one."""

    key: SeriesKey
    age_minutes: int
    requests: int
    bad: int
    stall_ms: int


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Everything the nodes measured, merged."""

    vms: tuple[str, ...]
    burns: tuple[Burn, ...]
    tails: tuple[Tail, ...]
    minutes: tuple[Minute, ...]
    preemptions: dict[str, int]


@dataclass(slots=True)
class _Merged:
    minutes: list[list[int]]
    hours: list[list[int]]


def build_report(levels: Sequence[ServiceLevels]) -> BurnReport:
    """Merge what the nodes measured into one report."""
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


def _sort_key(pair: tuple[SeriesKey, _Merged]) -> tuple[str, str, str]:
    key = pair[0]
    return key.data_centre, key.served, key.team


def _merge_series(levels: Iterable[ServiceLevels]) -> dict[SeriesKey, _Merged]:
    merged: dict[SeriesKey, _Merged] = {}
    for one in levels:
        for series in one.series:
            known = merged.get(series.key)
            if known is None:
                merged[series.key] = _Merged(series.minutes, series.hours)
            else:
                known.minutes = _add(known.minutes, series.minutes)
                known.hours = _add(known.hours, series.hours)
    return merged


def _add(
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
    counts: _Merged,
) -> Burn:
    rates = tuple(
        _compute_rate(objective, _select(counts, window)) for window in WINDOWS
    )
    longest = _select(counts, WINDOWS[-1])
    total, _ = _split(objective, longest)
    return Burn(key, objective, rates, max(0, 1 - rates[-1]), total)


def _select(counts: _Merged, window: Window) -> list[int]:
    rows = counts.minutes[: window.minutes] or counts.hours[: window.hours]
    return [sum(column) for column in zip(*rows, strict=True)]


def _compute_rate(objective: Objective, row: Sequence[int]) -> float:
    total, bad = _split(objective, row)
    if not total:
        return 0
    return bad / total / (1 - _GOOD_SHARE[objective])


def _split(objective: Objective, row: Sequence[int]) -> tuple[int, int]:
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


def _list_minutes(merged: dict[SeriesKey, _Merged]) -> tuple[Minute, ...]:
    return tuple(
        Minute(
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
