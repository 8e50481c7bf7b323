"""Random workloads of requests that arrive over time."""

from dataclasses import dataclass, field
from enum import Enum

import numpy as np
from numpy.typing import NDArray

from chicoryshunt.types import TeamId
from lab.standins.batching import EngineSpec

MAX_TOKENS = 30_000
SHORT_MAX_TOKENS = 64
TEAM_FRACTIONS = (0.3, 0.2, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05)
_TEAM_SIGMA = 0.3
_SAMPLE_REQUESTS = 200_000
_NOMINAL_STEP_SECONDS = 0.025
_PREFIXES_PER_TEAM = 3
_TAIL_FRACTION = 0.12
_LARGE_FRACTION = 0.3
_PROMPT_MU = 5.3
_PROMPT_SIGMA = 0.8
_MAX_PROMPT_TOKENS = 4_000


class Lengths(Enum):
    """Distribution of answer lengths."""

    lognormal = 'lognormal'
    pareto = 'pareto'
    mixed = 'mixed'


@dataclass(frozen=True, slots=True)
class Burst:
    """Additional requests of a team, at ``factor`` times the total rate."""

    team: int
    start: float
    end: float
    factor: float
    short_fraction: float


@dataclass(frozen=True, slots=True)
class Workload:
    """Parameters of the arrivals; ``load`` is relative to the capacity."""

    lengths: Lengths
    load: float
    seconds: float
    seed: int
    engines: int = 6
    short_fraction: float = 0.2
    spec: EngineSpec = field(default_factory=EngineSpec)
    burst: Burst | None = None


@dataclass(slots=True)
class Arrival:
    """Request of a caller; ``at`` is in seconds, lengths in tokens."""

    number: int
    at: float
    team: TeamId
    prompt_tokens: int
    length: int
    max_tokens: int
    prefix: str
    weight: float = 1

    @property
    def is_short(self) -> bool:
        """Return whether the caller limits the answer to a short one."""
        return self.max_tokens <= SHORT_MAX_TOKENS


@dataclass(frozen=True, slots=True)
class Draw:
    """Drawn properties of requests, one array entry per request."""

    teams: NDArray[np.int64]
    is_short: NDArray[np.bool_]
    lengths: NDArray[np.int64]
    prompts: NDArray[np.int64]


def draw_arrivals(workload: Workload) -> list[Arrival]:
    """Return the requests of a workload, ordered by time."""
    rng = np.random.default_rng(workload.seed)
    rate = compute_rate(workload)
    times = _draw_times(rng, rate, 0, workload.seconds)
    teams = rng.choice(len(TEAM_FRACTIONS), len(times), p=TEAM_FRACTIONS)
    draw = _draw_requests(rng, workload, teams, workload.short_fraction)
    arrivals = _build(times, draw, rng)
    burst = workload.burst
    if burst is not None:
        times = _draw_times(rng, rate * burst.factor, burst.start, burst.end)
        teams = np.full(len(times), burst.team)
        draw = _draw_requests(rng, workload, teams, burst.short_fraction)
        arrivals.extend(_build(times, draw, rng))
        arrivals.sort(key=lambda arrival: arrival.at)
    for number, arrival in enumerate(arrivals):
        arrival.number = number
    return arrivals


def compute_rate(workload: Workload) -> float:
    """Return the requests per second that produce the load."""
    rng = np.random.default_rng(0)
    teams = rng.choice(len(TEAM_FRACTIONS), _SAMPLE_REQUESTS, p=TEAM_FRACTIONS)
    draw = _draw_requests(rng, workload, teams, workload.short_fraction)
    within = workload.seconds / _NOMINAL_STEP_SECONDS / 2
    lengths = np.minimum(draw.lengths.astype(float), within)
    memory = (draw.prompts * lengths + lengths**2 / 2).mean()
    spec = workload.spec
    engine_steps = max(
        memory / spec.memory_tokens,
        lengths.mean() / spec.slots,
    )
    seconds = engine_steps * _NOMINAL_STEP_SECONDS / workload.engines
    return float(workload.load / seconds)


def _draw_times(
    rng: np.random.Generator,
    rate: float,
    start: float,
    end: float,
) -> NDArray[np.float64]:
    count = rng.poisson(rate * (end - start))
    return np.sort(rng.uniform(start, end, count))


def _draw_requests(
    rng: np.random.Generator,
    workload: Workload,
    teams: NDArray[np.int64],
    short_fraction: float,
) -> Draw:
    count = len(teams)
    is_short = rng.random(count) < short_fraction
    drawn = _draw_lengths(rng, workload.lengths, teams)
    drawn = np.where(is_short, rng.integers(4, 60, count), drawn)
    lengths = np.clip(drawn, 1, MAX_TOKENS).astype(np.int64)
    drawn = rng.lognormal(_PROMPT_MU, _PROMPT_SIGMA, count)
    prompts = np.clip(drawn, 16, _MAX_PROMPT_TOKENS).astype(np.int64)
    return Draw(teams, is_short, lengths, prompts)


def _draw_lengths(
    rng: np.random.Generator,
    lengths: Lengths,
    teams: NDArray[np.int64],
) -> NDArray[np.float64]:
    count = len(teams)
    shifts = np.random.default_rng(7).normal(
        0, _TEAM_SIGMA, len(TEAM_FRACTIONS)
    )
    factor = np.exp(shifts[teams])
    match lengths:
        case Lengths.lognormal:
            return rng.lognormal(5.5, 1.3, count) * factor
        case Lengths.pareto:
            body = rng.lognormal(5, 1, count)
            tail = 600 * (1 + rng.pareto(1.1, count))
            is_tail = rng.random(count) < _TAIL_FRACTION
            return np.where(is_tail, tail, body) * factor
        case Lengths.mixed:
            small = rng.lognormal(4.0, 0.6, count)
            large = rng.lognormal(7.2, 0.8, count)
            is_large = rng.random(count) < _LARGE_FRACTION
            return np.where(is_large, large, small) * factor


def _build(
    times: NDArray[np.float64],
    draw: Draw,
    rng: np.random.Generator,
) -> list[Arrival]:
    prefixes = rng.integers(0, _PREFIXES_PER_TEAM * 2, len(times))
    return [
        Arrival(
            number=0,
            at=float(at),
            team=TeamId(f'team-{team}'),
            prompt_tokens=int(prompt),
            length=int(length),
            max_tokens=SHORT_MAX_TOKENS if short else MAX_TOKENS,
            prefix=f'{team}/{prefix}' if prefix < _PREFIXES_PER_TEAM else '',
            weight=TEAM_FRACTIONS[team],
        )
        for at, team, prompt, length, short, prefix in zip(
            times,
            draw.teams,
            draw.prompts,
            draw.lengths,
            draw.is_short,
            prefixes,
            strict=True,
        )
    ]
