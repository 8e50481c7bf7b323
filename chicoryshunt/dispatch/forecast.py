"""Predicts the memory that the runs on an engine hold over time.

Load pattern: many long answers at once whose lengths nobody knows. Room for
everyone's longest end wastes memory; room for the present alone ends in
preemptions some seconds later.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# Seconds ahead at which the memory is predicted; answers last some 10 s.
HORIZONS = (0, 1, 2, 4, 8)
# Tokens that an engine generates a second for one run; measured streams
# replace it.
DEFAULT_TOKENS_PER_SECOND = 100.0
# Spread of the logarithm of true length to the caller's estimate.
_LENGTH_SIGMA = 0.9
_ROOT_OF_TWO = math.sqrt(2)
# Below this chance a run is taken to have ended.
_LEAST_CHANCE = 1e-6

Curve = tuple[float, ...]

_EMPTY: Curve = (0,) * len(HORIZONS)
# Points at which a chance is summed up over an answer's length.
_STEPS = 8


@dataclass(frozen=True, slots=True)
class RunView:
    """One run as a forecast sees it; ``age`` is in seconds."""

    prompt_tokens: int
    expected_tokens: int
    max_tokens: int
    age: float = 0

    def count_produced(self, pace: float) -> float:
        """Return how many tokens it has generated, about."""
        return min(self.age * pace, self.max_tokens)

    def count_held(self, pace: float) -> float:
        """Return the memory tokens that it holds now, about."""
        return self.prompt_tokens + self.count_produced(pace)


def forecast_run(run: RunView, pace: float) -> Curve:
    """Return the expected memory tokens of a run at each horizon.

    A run that has not ended holds its memory now, however unlikely that is by
    its age: it may have waited for its engine.
    """
    produced = run.count_produced(pace)
    alive = max(_survive(run, produced), _LEAST_CHANCE)
    later = (
        _expect_memory(run, produced + ahead * pace, alive)
        for ahead in HORIZONS[1:]
    )
    return (run.count_held(pace), *later)


def forecast_engine(runs: Iterable[RunView], pace: float) -> Curve:
    """Return the expected memory tokens of all runs at each horizon."""
    curves = [forecast_run(run, pace) for run in runs]
    return tuple(map(sum, zip(*curves, strict=True))) or _EMPTY


def add_curves(one: Curve, other: Curve) -> Curve:
    """Return the memory of two sets of runs together."""
    return tuple(map(sum, zip(one, other, strict=True)))


def expect_remaining(run: RunView, pace: float) -> float:
    """Return the tokens that a run is expected to generate yet."""
    produced = run.count_produced(pace)
    alive = max(_survive(run, produced), _LEAST_CHANCE)
    step = max(run.max_tokens - produced, 0) / _STEPS
    points = (produced + step * (index + 0.5) for index in range(_STEPS))
    return sum(_survive(run, point) / alive * step for point in points)


def find_room_time(
    curve: Sequence[float],
    demand: Sequence[float],
    most: float,
) -> float | None:
    """Return the first horizon at which a demand fits; ``None`` if none."""
    for ahead, held in zip(HORIZONS, curve, strict=True):
        if held + max(demand) <= most:
            return ahead
    return None


def _survive(run: RunView, produced: float) -> float:
    """Return the chance that an answer is longer than this."""
    if produced < 1:
        return 1
    if produced >= run.max_tokens:
        return 0
    median = max(run.expected_tokens, 1)
    deviation = math.log(produced / median) / _LENGTH_SIGMA
    return math.erfc(deviation / _ROOT_OF_TWO) / 2


def _expect_memory(run: RunView, later: float, alive: float) -> float:
    chance = min(_survive(run, later) / alive, 1)
    return chance * (run.prompt_tokens + min(later, run.max_tokens))
