"""Estimates how long an answer goes on from the answers seen so far.

A discrete hazard (Kaplan-Meier) on log-spaced ages: each answer counts at
every age it has reached, so answers that still run are censored observations
and the long ones are not missed. Each family of requests has one table; a
team has a few ratios to it.
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
_MOST_HAZARD = 0.999
_NEIGHBOUR_SHARE = 0.5
_BAND_AGES = (16, 128, 1024, 8192)
_BANDS: NDArray[np.intp] = np.searchsorted(_BAND_AGES, _STARTS, 'right')
_BAND_COUNT = len(_BAND_AGES) + 1
_TEAM_WEIGHT = 20
_WINDOW_ANSWERS = 4096
_TEAM_WINDOW = 1024
_REFRESH_COUNTS = 256
_REFRESH_PART = 0.1
_MOST_TEAMS = 20_000
_MOST_CACHED = 1024
_FIRST_ROWS = 16


class SizeClass(Enum):
    """Say whether a caller bounds an answer to a short one."""

    short = 'short'
    free = 'free'


@dataclass(frozen=True, slots=True)
class RequestKind:
    """What an estimate is kept for."""

    team: TeamId
    model: ModelId
    size: SizeClass = SizeClass.free


def classify(max_tokens: int) -> SizeClass:
    """Return the size class of a request by its bound."""
    return SizeClass.short if max_tokens <= SHORT_TOKENS else SizeClass.free


@dataclass(frozen=True, slots=True, eq=False)
class Survival:
    """Cumulative hazard at each of ``EDGES``, for one kind of request.

    ``doubt`` is the variance of the estimate (Greenwood), cumulative too.
    """

    hazard: Array
    variance: Array

    def survive(self, age: int, ahead: int) -> float:
        """Return the chance that an answer goes on for more tokens."""
        passed, later = np.interp((age, age + ahead), EDGES, self.hazard)
        return float(np.exp(passed - later))

    def expect_remaining(self, age: int, most: int) -> float:
        """Return the expected tokens to come, at most ``most`` of them."""
        ages = np.append(_list_edges(most), most) + age
        level = np.interp(ages, EDGES, self.hazard)
        chance = np.exp(level[0] - level)
        return float(np.trapezoid(chance, ages))


def _cumulate(steps: Array) -> Array:
    return np.insert(np.cumsum(steps), 0, 0)


def find_bucket(age: int) -> int:
    """Return the index of the last of ``EDGES`` that an age has reached."""
    return min(bisect_right(_EDGE_AGES, age) - 1, _BUCKETS - 1)


def _list_edges(most: int) -> Array:
    return EDGES.compress(np.less(EDGES, most))


class _Family:
    """Deaths and exposures of one model and size, and ratios of its teams."""

    def __init__(self, most_teams: int) -> None:
        self.deaths = np.zeros(_BUCKETS)
        self.exposed = np.zeros(_BUCKETS)
        self.hazards = np.zeros(_BUCKETS)
        self.doubts = np.zeros(_BUCKETS)
        self.rows: dict[TeamId, int] = {}
        self.ratios = np.zeros((_FIRST_ROWS, 2, _BAND_COUNT), np.float32)
        self._survivals: dict[TeamId, Survival] = {}
        self._most_teams = most_teams
        self._changes = 0
        self._refresh()

    def count(self, team: TeamId, passed: slice, died: int | None) -> bool:
        """Count an answer; say whether the table was brought up to date."""
        row = self._find_row(team)
        self._expose(row, passed)
        if died is not None:
            self._expose(row, slice(died, died + 1))
            self.deaths[died] += 1
            row[0, _BANDS[died]] += 1
        if row[1].max() > _TEAM_WINDOW:
            row /= 2
        self._changes += 1
        soon = self.exposed[0] * _REFRESH_PART
        is_due = self._changes >= min(_REFRESH_COUNTS, soon)
        if is_due:
            self._refresh()
        return bool(is_due)

    def estimate(self, team: TeamId) -> Survival:
        survival = self._survivals.get(team)
        if survival is None:
            steps = -np.log1p(-self.hazards) * self._compute_factors(team)
            survival = Survival(_cumulate(steps), _cumulate(self.doubts))
            if len(self._survivals) >= _MOST_CACHED:
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

    def _expose(self, row: NDArray[np.float32], passed: slice) -> None:
        self.exposed[passed] += 1
        np.add.at(row[1], _BANDS[passed], self.hazards[passed])

    def _find_row(self, team: TeamId) -> NDArray[np.float32]:
        index = self.rows.get(team)
        if index is None:
            index = self._add_row(team)
        row: NDArray[np.float32] = self.ratios[index]
        return row

    def _add_row(self, team: TeamId) -> int:
        if len(self.rows) >= self._most_teams:
            oldest = next(iter(self.rows))
            index = self.rows.pop(oldest)
            self.ratios[index] = 0
        else:
            index = len(self.rows)
        if index >= len(self.ratios):
            grown = np.zeros_like(self.ratios)
            self.ratios = np.concatenate((self.ratios, grown))
        self.rows[team] = index
        return index

    def _refresh(self) -> None:
        if self.exposed[0] > _WINDOW_ANSWERS:
            self.exposed /= 2
            self.deaths /= 2
        self._changes = 0
        self._survivals.clear()
        last = _PRIOR_HAZARDS[0]
        weights = self.exposed + _PRIOR_WEIGHT
        for bucket, prior in enumerate(_PRIOR_HAZARDS):
            expected = prior + _NEIGHBOUR_SHARE * (last - prior)
            died = self.deaths[bucket] + _PRIOR_WEIGHT * expected
            last = min(died / weights[bucket], _MOST_HAZARD)
            self.hazards[bucket] = last
            self.doubts[bucket] = last / (1 - last) / weights[bucket]


class LengthEstimator:
    """Learns the lengths of answers and predicts what remains."""

    def __init__(self, most_teams: int = _MOST_TEAMS) -> None:
        """Start with the prior; keep ratios of a bounded number of teams.

        ``version`` changes when an estimate may have changed.
        """
        self._most_teams = most_teams
        self._families: dict[tuple[ModelId, SizeClass], _Family] = {}
        self.version = 0

    def observe(self, kind: RequestKind, before: int, after: int) -> None:
        """Count that an answer went on from one age to another."""
        first = find_bucket(before)
        last = find_bucket(after)
        if last > first:
            self._count(kind, slice(first, last), None)

    def observe_end(
        self, kind: RequestKind, before: int, length: Tokens
    ) -> None:
        """Count that an answer ended by itself, seen last at ``before``."""
        first = find_bucket(before)
        died = bisect_left(_EDGE_AGES, max(length, before + 1)) - 1
        died = min(died, _BUCKETS - 1)
        self._count(kind, slice(first, died), died)

    def count_teams(self) -> int:
        """Return the number of teams with ratios of their own."""
        return sum(len(one.rows) for one in self._families.values())

    def estimate(self, kind: RequestKind) -> Survival:
        """Return the survival of a kind as it is known now."""
        return self._get(kind).estimate(kind.team)

    def _count(
        self, kind: RequestKind, passed: slice, died: int | None
    ) -> None:
        self.version += self._get(kind).count(kind.team, passed, died)

    def _get(self, kind: RequestKind) -> _Family:
        key = (kind.model, kind.size)
        family = self._families.get(key)
        if family is None:
            family = _Family(self._most_teams)
            self._families[key] = family
        return family
