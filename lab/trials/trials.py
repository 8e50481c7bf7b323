"""Failure trials: nine nodes in three data centres, one failure each."""

import sys
import tempfile
from pathlib import Path
from types import MappingProxyType

from absl import flags

from lab.standins.daemon import parse_flags
from lab.trials.fleet import run_fleet
from lab.trials.promises import count_promises, format_counts
from lab.trials.scenarios import TRIALS
from lab.trials.topology import AGENCY, TABLERO, Plan, UserFleet
from lab.trials.trial import Mix, run_trial

_FLAGS = flags.FlagValues()
flags.DEFINE_list('only', [], 'trials to run, all if none', flag_values=_FLAGS)
flags.DEFINE_float('seconds', 20, 'seconds of load', flag_values=_FLAGS)
flags.DEFINE_integer('seed', 1, 'seed of the load', flag_values=_FLAGS)
flags.DEFINE_string('folder', '', 'keep logs here', flag_values=_FLAGS)
flags.DEFINE_enum(
    'user',
    'tablero',
    ['tablero', 'agency'],
    'whose fleet',
    flag_values=_FLAGS,
)

_PLANS = MappingProxyType({'tablero': TABLERO, 'agency': AGENCY})


def run_named(name: str, plan: Plan, folder: Path) -> int:
    """Run one trial, print its ledger, return how often promises broke."""
    print(f'== {name}', flush=True)
    with run_fleet(folder / name) as fleet:
        user = UserFleet(fleet, plan)
        evidence = run_trial(
            fleet,
            user,
            TRIALS[name].scenario,
            _FLAGS.seconds,
            Mix(seed=_FLAGS.seed),
            graceful=TRIALS[name].graceful,
        )
    counts = count_promises(evidence)
    print(format_counts(counts), flush=True)
    return sum(count.broken for count in counts)


def main() -> None:
    """Run the trials; exit 1 when a promise was broken."""
    parse_flags(_FLAGS)
    plan = _PLANS[_FLAGS.user]
    names = _FLAGS.only or list(TRIALS)
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(_FLAGS.folder or temporary)
        broken = {name: run_named(name, plan, folder) for name in names}
    for name, count in broken.items():
        print(f'{name:16} {count} broken')
    sys.exit(1 if any(broken.values()) else 0)


if __name__ == '__main__':
    main()
