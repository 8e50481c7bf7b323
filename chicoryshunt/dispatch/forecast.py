"""Predicts the memory that the runs on an engine hold over time.

The lengths of answers are unknown. Reserving memory for the longest possible
answers wastes it; counting only what is held now leads to preemptions a few
seconds later.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# Seconds ahead at which the memory is predicted; answers take about 10 s.
HORIZONS = (0, 1, 2, 4, 8)
# Tokens that an engine generates per second for one run, until streams show
# the actual rate.
DEFAULT_TOKENS_PER_SECOND = 100.0
# Standard deviation of the logarithm of actual over estimated length.
_LENGTH_SIGMA = 0.9
_SQRT_TWO = math.sqrt(2)
# Lower bound of a survival probability that is used as a divisor.
_MIN_SURVIVAL = 1e-6

Curve = tuple[float, ...]

_EMPTY: Curve = (0,) * len(HORIZONS)
# Points of the numerical integration over an answer's length.
_INTEGRATION_STEPS = 8


@dataclass(frozen=True, slots=True)
class RunView:
    """One run as seen by a forecast.

    ``age`` is in seconds, and so is ``max_gap``, the intended longest pause
    between two events.
    """

    prompt_tokens: int
    expected_tokens: int
    max_tokens: int
    age: float = 0
    max_gap: float | None = None

    def estimate_generated(self, token_rate: float) -> float:
        """Return an estimate of the tokens generated so far."""
        return min(self.age * token_rate, self.max_tokens)

    def estimate_memory(self, token_rate: float) -> float:
        """Return an estimate of the memory tokens held now."""
        return self.prompt_tokens + self.estimate_generated(token_rate)


def forecast_run(run: RunView, token_rate: float) -> Curve:
    """Return the expected memory tokens of a run at each horizon.

    A run that has not ended counts in full at the first horizon, however
    unlikely its age makes that: it may have been queued in its engine.
    """
    generated = run.estimate_generated(token_rate)
    survival = max(_compute_survival(run, generated), _MIN_SURVIVAL)
    later = (
        _compute_expected_memory(run, generated + ahead * token_rate, survival)
        for ahead in HORIZONS[1:]
    )
    return (run.estimate_memory(token_rate), *later)


def forecast_engine(runs: Iterable[RunView], token_rate: float) -> Curve:
    """Return the expected memory tokens of all runs at each horizon."""
    curves = [forecast_run(run, token_rate) for run in runs]
    return tuple(map(sum, zip(*curves, strict=True))) or _EMPTY


def add_curves(one: Curve, other: Curve) -> Curve:
    """Return the sum of two curves."""
    return tuple(map(sum, zip(one, other, strict=True)))


def estimate_remaining(run: RunView, token_rate: float) -> float:
    """Return the expected number of tokens still to be generated."""
    generated = run.estimate_generated(token_rate)
    survival = max(_compute_survival(run, generated), _MIN_SURVIVAL)
    step = max(run.max_tokens - generated, 0) / _INTEGRATION_STEPS
    points = (
        generated + step * (index + 0.5) for index in range(_INTEGRATION_STEPS)
    )
    return sum(
        _compute_survival(run, point) / survival * step for point in points
    )


def find_fitting_horizon(
    curve: Sequence[float],
    demand: Sequence[float],
    limit: float,
) -> float | None:
    """Return the first horizon at which a demand fits, or ``None``."""
    for ahead, held in zip(HORIZONS, curve, strict=True):
        if held + max(demand) <= limit:
            return ahead
    return None


def _compute_survival(run: RunView, generated: float) -> float:
    """Return the probability that an answer is longer than this."""
    if generated < 1:
        return 1
    if generated >= run.max_tokens:
        return 0
    estimate = max(run.expected_tokens, 1)
    deviation = math.log(generated / estimate) / _LENGTH_SIGMA
    return math.erfc(deviation / _SQRT_TWO) / 2


def _compute_expected_memory(
    run: RunView, later: float, survival: float
) -> float:
    probability = min(_compute_survival(run, later) / survival, 1)
    return probability * (run.prompt_tokens + min(later, run.max_tokens))
