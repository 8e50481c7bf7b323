"""Measures the decisions under load on a virtual clock.

Runs are independent and seeded, so that several processes give the same
digits as one.
"""

import itertools
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path

from absl import flags

from lab.benchmarks.policy_cases import Case, Policy, Result, Scenario, run_case
from lab.benchmarks.policy_page import draw_judgement, write_page
from lab.benchmarks.results import append_result
from lab.models.policy_targets import check_targets
from lab.models.policy_workload import Lengths
from lab.standins.daemon import parse_flags

_FLAGS = flags.FlagValues()
flags.DEFINE_boolean('quick', False, 'a few short runs', flag_values=_FLAGS)
flags.DEFINE_integer('jobs', 3, 'processes at once', flag_values=_FLAGS)

_PAGE = Path(__file__).resolve().parents[2] / 'docs' / 'measurements.md'
_COMMAND = 'make bench-policy'
_ALONE = (
    Policy.round_robin,
    Policy.least_outstanding,
    Policy.stall,
    Policy.preemption,
)
_SHARED = (
    Policy.least_outstanding,
    Policy.stall,
    Policy.three_leased,
    Policy.nine_leased,
    Policy.three_shared,
    Policy.nine_shared,
    Policy.nine_parted,
)
_BESIDE = tuple(one for one in Scenario if one is not Scenario.steady)
_LIGHT_LOAD = 0.6
_SHARED_LOADS = (0.6, 1.2)
_SECONDS = 280
_BESIDE_SECONDS = 160
_QUICK_SECONDS = 100


def list_cases(*, is_quick: bool) -> list[Case]:
    """Return the cases of a mode, each once."""
    cases = _list_quick() if is_quick else _list_full()
    return list(dict.fromkeys(cases))


def run_all(cases: list[Case], jobs: int) -> list[Result]:
    """Run every case; results come in the order of the cases."""
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(run_case, cases))


def main() -> None:
    """Run the bench, print the targets and write the page."""
    parse_flags(_FLAGS)
    results = run_all(list_cases(is_quick=_FLAGS.quick), _FLAGS.jobs)
    judgements = check_targets(results)
    for judgement in judgements:
        print(draw_judgement(judgement))
    if _FLAGS.quick:
        return
    _PAGE.write_text(write_page(_COMMAND, results, judgements))
    targets = [asdict(one) for one in judgements]
    append_result('policy', {'runs': len(results), 'targets': targets})


def _list_quick() -> Iterator[Case]:
    lengths = Lengths.lognormal
    for load, policy in itertools.product((0.5, 0.9, 2), _ALONE):
        yield Case(Scenario.steady, lengths, load, 1, policy, _QUICK_SECONDS)
    for scenario in (Scenario.steady, Scenario.team_burst, Scenario.cold):
        yield Case(scenario, lengths, 0.6, 1, Policy.stall, _QUICK_SECONDS)
    for policy in (Policy.three_leased, Policy.three_shared):
        yield Case(Scenario.cold, lengths, 0.9, 1, policy, _QUICK_SECONDS)


def _list_full() -> Iterator[Case]:
    loads = (0.5, 0.8, 1.0, 1.3, 2)
    for lengths, load, policy, seed in itertools.product(
        Lengths,
        loads,
        _ALONE,
        (1, 2, 3),
    ):
        yield Case(Scenario.steady, lengths, load, seed, policy, _SECONDS)
    yield from _list_beside()
    for load, policy, seed in itertools.product(_SHARED_LOADS, _SHARED, (1, 2)):
        yield Case(
            Scenario.steady,
            Lengths.lognormal,
            load,
            seed,
            policy,
            _BESIDE_SECONDS,
        )


def _list_beside() -> Iterator[Case]:
    policies = (*_ALONE, Policy.nine_leased)
    scenarios = (Scenario.steady, *_BESIDE)
    for scenario, policy, seed in itertools.product(
        scenarios,
        policies,
        (1, 2),
    ):
        yield Case(
            scenario,
            Lengths.lognormal,
            _LIGHT_LOAD,
            seed,
            policy,
            _BESIDE_SECONDS,
        )


if __name__ == '__main__':
    main()
