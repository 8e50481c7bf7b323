"""Performance targets of the policy, checked on results of a benchmark."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lab.benchmarks.policy_cases import (
    BURST_TEAM,
    Case,
    Policy,
    Result,
    Scenario,
)

_MIN_PREEMPTIONS = 10
_PREEMPTION_RATIO = 0.02
_GOODPUT_RATIO = 0.97
_STALL_RATIO = 0.5
_FIRST_TOKEN_SECONDS = 0.68
_GAP_MS = 28
_LIGHT_LOAD = 0.5
_OVERLOAD = 2
_PEAK_RATIO = 0.9
_BURST_FACTOR = 2
_OWN = frozenset(set(Policy) - {Policy.round_robin, Policy.least_outstanding})


@dataclass(frozen=True, slots=True)
class TargetResult:
    """Number of cases that met a target, and the worst figure."""

    name: str
    bound: str
    met: int
    cases: int
    worst: float

    @property
    def is_met(self) -> bool:
        """Return whether there were cases and all met the target."""
        return self.met == self.cases and self.cases > 0


Index = dict[Case, Result]


def check_targets(results: Iterable[Result]) -> list[TargetResult]:
    """Return the result of each target."""
    index = {result.case: result for result in results}
    own = [one for case, one in index.items() if case.policy in _OWN]
    return [
        _check_at_most(
            'preemptions of the preemption profile beside least outstanding',
            _PREEMPTION_RATIO,
            _compare_preemptions(index),
        ),
        _check_at_least(
            'goodput of the preemption profile beside least outstanding',
            _GOODPUT_RATIO,
            _compare_goodput(index),
        ),
        _check_at_most(
            'p99 stall of the stall profile beside least outstanding',
            _STALL_RATIO,
            _compare_stall(index),
        ),
        _check_at_most(
            'short calls: p95 to the first token at any load, s',
            _FIRST_TOKEN_SECONDS,
            [
                one.figures.short.p95
                for one in own
                if one.case.policy in {Policy.stall, Policy.preemption}
                and one.case.scenario is Scenario.steady
            ],
        ),
        _check_at_most(
            'within capacity: p95 to the first token, s',
            _FIRST_TOKEN_SECONDS,
            [one.figures.before.p95 for one in _list_light(own)],
        ),
        _check_at_most(
            'within capacity: p95 between tokens, ms',
            _GAP_MS,
            [one.figures.gap_ms.p95 for one in _list_light(own)],
        ),
        _check_at_most(
            "other teams' p95 stall in one team's burst beside none",
            _BURST_FACTOR,
            _compare_burst(index),
        ),
        _check_at_least(
            'goodput at twice capacity beside the peak',
            _PEAK_RATIO,
            _compare_peak(index),
        ),
        _check_at_most(
            'requests sent to a target over its limit',
            0,
            [one.figures.over_limit for one in own],
        ),
        _check_at_most(
            'refusals of requests that may have run',
            0,
            [one.figures.false_refusals for one in own],
        ),
    ]


def _check_at_most(
    name: str, bound: float, figures: list[float]
) -> TargetResult:
    met = sum(figure <= bound for figure in figures)
    worst = max(figures, default=0)
    return TargetResult(name, f'at most {bound}', met, len(figures), worst)


def _check_at_least(
    name: str, bound: float, figures: list[float]
) -> TargetResult:
    met = sum(figure >= bound for figure in figures)
    worst = min(figures, default=0)
    return TargetResult(name, f'at least {bound}', met, len(figures), worst)


def _list_light(own: list[Result]) -> Iterator[Result]:
    for result in own:
        case = result.case
        if case.load == _LIGHT_LOAD and case.scenario is Scenario.steady:
            yield result


def _pair(index: Index, policy: Policy) -> Iterator[tuple[Result, Result]]:
    """Yield pairs of a policy and the baseline where the latter preempts."""
    for case, result in index.items():
        if case.policy is not policy or case.scenario is not Scenario.steady:
            continue
        baseline = index.get(case.by(Policy.least_outstanding))
        if baseline and baseline.figures.preempted >= _MIN_PREEMPTIONS:
            yield result, baseline


def _compare_preemptions(index: Index) -> list[float]:
    return [
        own.figures.preempted / baseline.figures.preempted
        for own, baseline in _pair(index, Policy.preemption)
    ]


def _compare_goodput(index: Index) -> list[float]:
    return [
        own.figures.goodput / baseline.figures.goodput
        for own, baseline in _pair(index, Policy.preemption)
    ]


def _compare_stall(index: Index) -> list[float]:
    return [
        own.figures.stall.p99 / baseline.figures.stall.p99
        for own, baseline in _pair(index, Policy.stall)
    ]


def _compare_burst(index: Index) -> list[float]:
    factors: list[float] = []
    for case, result in index.items():
        if case.scenario is not Scenario.team_burst or case.policy not in _OWN:
            continue
        calm = index.get(case.within(Scenario.steady))
        if calm is not None:
            factors.extend(
                result.teams[team].p95 / spread.p95
                for team, spread in calm.teams.items()
                if team != BURST_TEAM
            )
    return factors


def _compare_peak(index: Index) -> list[float]:
    ratios: list[float] = []
    for case, result in index.items():
        is_own = case.policy in {Policy.stall, Policy.preemption}
        if not is_own or case.load != _OVERLOAD:
            continue
        peak = max(
            other.figures.goodput
            for one, other in index.items()
            if one.at_load(case.load) == case
        )
        ratios.append(result.figures.goodput / peak)
    return ratios
