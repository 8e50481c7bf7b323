"""Estimates the remaining length of answers from those seen so far.

Uses a discrete hazard (Kaplan-Meier) on log-spaced ages. Each answer counts at
every age that it has reached, so running answers are censored observations and
long ones are not underrepresented. There is one table for each model and size
class, and each team has a few ratios relative to it.
"""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass
from enum import Enum

import numpy as np
from numpy.typing import NDArray

from chicoryshunt.types import ModelId, TeamId, Tokens

Array = NDArray[np.float64]

SHORT_TOKENS = 128
_LAST_POWER = 32
_POWERS: Array = np.arange(_LAST_POWER + 1) / 2
EDGES: Array = np.insert(np.unique(np.round(2**_POWERS)), 0, 0)
_BUCKETS = len(EDGES) - 1
_EDGE_AGES = tuple(EDGES.tolist())
_STARTS: Array = np.delete(EDGES, -1)
_PRIOR_WEIGHT = 4
_PRIOR_AGES = (32, 256, 2048)
_PRIOR_STEPS: Array = np.array((0.02, 0.1, 0.25, 0.35))
_PRIOR_HAZARDS: Array = _PRIOR_STEPS[
    np.searchsorted(_PRIOR_AGES, _STARTS, 'right')
]
_MAX_HAZARD = 0.999
_NEIGHBOUR_WEIGHT = 0.5
_BAND_AGES = (16, 128, 1024, 8192)
_BANDS: NDArray[np.intp] = np.searchsorted(_BAND_AGES, _STARTS, 'right')
_BAND_COUNT = len(_BAND_AGES) + 1
_TEAM_WEIGHT = 20
_MAX_EXPOSURE = 4096
_MAX_TEAM_EXPOSURE = 1024
_REFRESH_ANSWERS = 256
_REFRESH_FRACTION = 0.1
_MAX_TEAMS = 20_000
_MAX_CACHED = 1024
_INITIAL_ROWS = 16


class SizeClass(Enum):
    """Size class of an answer, by the caller's bound on its length."""

    short = 'short'
    free = 'free'


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Key of an estimate."""

    team: TeamId
    model: ModelId
    size: SizeClass = SizeClass.free


def classify(max_tokens: int) -> SizeClass:
    """Return the size class for a bound on the answer's length."""
    return SizeClass.short if max_tokens <= SHORT_TOKENS else SizeClass.free


@dataclass(frozen=True, slots=True, eq=False)
class Survival:
    """Cumulative hazard at each of ``EDGES`` for one kind of request.

    ``variance`` is the cumulative variance of the estimate (Greenwood).
    """

    hazard: Array
    variance: Array

    def compute_probability(self, age: int, ahead: int) -> float:
        """Return the probability of at least ``ahead`` more tokens."""
        present, later = np.interp((age, age + ahead), EDGES, self.hazard)
        return float(np.exp(present - later))

    def estimate_remaining(self, age: int, limit: int) -> float:
        """Return the expected number of further tokens, up to a maximum."""
        ages = np.append(_list_edges(limit), limit) + age
        hazard = np.interp(ages, EDGES, self.hazard)
        probability = np.exp(hazard[0] - hazard)
        return float(np.trapezoid(probability, ages))


def _cumulate(steps: Array) -> Array:
    return np.insert(np.cumsum(steps), 0, 0)


def find_bucket(age: int) -> int:
    """Return the index of the last of ``EDGES`` that an age has reached."""
    return min(bisect_right(_EDGE_AGES, age) - 1, _BUCKETS - 1)


def _list_edges(limit: int) -> Array:
    return EDGES.compress(np.less(EDGES, limit))


class _HazardTable:
    """Hazard table of one model and size class, with ratios by team."""

    def __init__(self, max_teams: int) -> None:
        self.deaths = np.zeros(_BUCKETS)
        self.exposed = np.zeros(_BUCKETS)
        self.hazards = np.zeros(_BUCKETS)
        self.variances = np.zeros(_BUCKETS)
        self.rows: dict[TeamId, int] = {}
        self.ratios = np.zeros((_INITIAL_ROWS, 2, _BAND_COUNT), np.float32)
        self._survivals: dict[TeamId, Survival] = {}
        self._max_teams = max_teams
        self._changes = 0
        self._refresh()

    def count(
        self, team: TeamId, survived: slice, end_bucket: int | None
    ) -> bool:
        """Record an answer; return whether the table was recomputed."""
        row = self._find_row(team)
        self._expose(row, survived)
        if end_bucket is not None:
            self._expose(row, slice(end_bucket, end_bucket + 1))
            self.deaths[end_bucket] += 1
            row[0, _BANDS[end_bucket]] += 1
        if row[1].max() > _MAX_TEAM_EXPOSURE:
            row /= 2
        self._changes += 1
        threshold = self.exposed[0] * _REFRESH_FRACTION
        is_due = self._changes >= min(_REFRESH_ANSWERS, threshold)
        if is_due:
            self._refresh()
        return bool(is_due)

    def estimate(self, team: TeamId) -> Survival:
        survival = self._survivals.get(team)
        if survival is None:
            steps = -np.log1p(-self.hazards) * self._compute_factors(team)
            survival = Survival(_cumulate(steps), _cumulate(self.variances))
            if len(self._survivals) >= _MAX_CACHED:
                self._survivals.clear()
            self._survivals[team] = survival
        return survival

    def _compute_factors(self, team: TeamId) -> Array:
        row = self.rows.get(team)
        if row is None:
            return np.ones(_BUCKETS)
        seen, expected = self.ratios[row].astype(np.float64)
        factors = (seen + _TEAM_WEIGHT) / (expected + _TEAM_WEIGHT)
        return np.asarray(factors[_BANDS])

    def _expose(self, row: NDArray[np.float32], survived: slice) -> None:
        self.exposed[survived] += 1
        np.add.at(row[1], _BANDS[survived], self.hazards[survived])

    def _find_row(self, team: TeamId) -> NDArray[np.float32]:
        index = self.rows.get(team)
        if index is None:
            index = self._add_row(team)
        row: NDArray[np.float32] = self.ratios[index]
        return row

    def _add_row(self, team: TeamId) -> int:
        if len(self.rows) >= self._max_teams:
            oldest = next(iter(self.rows))
            index = self.rows.pop(oldest)
            self.ratios[index] = 0
        else:
            index = len(self.rows)
        if index >= len(self.ratios):
            extra_rows = np.zeros_like(self.ratios)
            self.ratios = np.concatenate((self.ratios, extra_rows))
        self.rows[team] = index
        return index

    def _refresh(self) -> None:
        if self.exposed[0] > _MAX_EXPOSURE:
            self.exposed /= 2
            self.deaths /= 2
        self._changes = 0
        self._survivals.clear()
        last = _PRIOR_HAZARDS[0]
        weights = self.exposed + _PRIOR_WEIGHT
        for bucket, prior in enumerate(_PRIOR_HAZARDS):
            expected = prior + _NEIGHBOUR_WEIGHT * (last - prior)
            deaths = self.deaths[bucket] + _PRIOR_WEIGHT * expected
            last = min(deaths / weights[bucket], _MAX_HAZARD)
            self.hazards[bucket] = last
            self.variances[bucket] = last / (1 - last) / weights[bucket]


class LengthEstimator:
    """Learns the lengths of answers and predicts remaining lengths."""

    def __init__(self, max_teams: int = _MAX_TEAMS) -> None:
        """Create an estimator that knows only the prior.

        Ratios are kept for a limited number of teams. ``version`` changes when
        estimates may have changed.
        """
        self._max_teams = max_teams
        self._tables: dict[tuple[ModelId, SizeClass], _HazardTable] = {}
        self.version = 0

    def observe(self, kind: RequestKind, before: int, after: int) -> None:
        """Record that an answer continued from one age to another."""
        first = find_bucket(before)
        last = find_bucket(after)
        if last > first:
            self._count(kind, slice(first, last), None)

    def observe_end(
        self, kind: RequestKind, before: int, length: Tokens
    ) -> None:
        """Record that an answer ended by itself, last seen at ``before``."""
        first = find_bucket(before)
        end_bucket = bisect_left(_EDGE_AGES, max(length, before + 1)) - 1
        end_bucket = min(end_bucket, _BUCKETS - 1)
        self._count(kind, slice(first, end_bucket), end_bucket)

    def count_teams(self) -> int:
        """Return the number of rows of team ratios in all tables."""
        return sum(len(one.rows) for one in self._tables.values())

    def estimate(self, kind: RequestKind) -> Survival:
        """Return the current survival estimate of a kind of request."""
        return self._get(kind).estimate(kind.team)

    def _count(
        self, kind: RequestKind, survived: slice, end_bucket: int | None
    ) -> None:
        self.version += self._get(kind).count(kind.team, survived, end_bucket)

    def _get(self, kind: RequestKind) -> _HazardTable:
        key = (kind.model, kind.size)
        table = self._tables.get(key)
        if table is None:
            table = _HazardTable(self._max_teams)
            self._tables[key] = table
        return table
