"""One trial: a user's fleet under load while something fails."""

import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from lab.loads.ledger import Record, read_records
from lab.standins.runs import RunLedger
from lab.trials.fleet import Fleet, send
from lab.trials.promises import Evidence, Outage, Versions
from lab.trials.topology import Placed, UserFleet, read_status

_POLL_SECONDS = 0.25
_BROKEN_METRIC = 'chicoryshunt_invariant_broken_total{promise="'
_GRACE_SECONDS = 120.0
_WARMING_SECONDS = 15.0
_WARMING_SEED = 1000


@dataclass(slots=True)
class Trial:
    """What a scenario acts on and what it must report."""

    user: UserFleet
    seconds: float
    outages: list[Outage] = field(default_factory=list)
    leavings: list[Outage] = field(default_factory=list)
    exits: dict[str, int] = field(default_factory=dict)
    ended: dict[str, RunLedger] = field(default_factory=dict)

    def wait(self, part: float) -> None:
        """Wait for a part of the load's time."""
        time.sleep(self.seconds * part)


Scenario = Callable[[Trial], None]


@dataclass(frozen=True, slots=True)
class Mix:
    """What callers send, in requests a second."""

    generations: float = 20
    filings: float = 10
    seed: int = 1


def run_trial(
    fleet: Fleet,
    user: UserFleet,
    scenario: Scenario,
    seconds: float,
    mix: Mix,
    *,
    graceful: bool,
) -> Evidence:
    """Run a scenario under load and collect the ledgers."""
    trial = Trial(user, seconds)
    ledger = fleet.folder / 'ledger.jsonl'
    earlier = warm_up(user, fleet.folder / 'warming.jsonl')
    with (
        watch_versions(user) as watch,
        start_load(user, seconds, mix, ledger) as load,
    ):
        scenario(trial)
        load.wait(seconds + _GRACE_SECONDS)
        return Evidence(
            records=earlier + read_records(ledger),
            engines=_read_ledgers(user.engines, trial.ended),
            services=_read_ledgers(user.services, trial.ended),
            versions=watch.list_versions(),
            limits=_list_limits(user),
            outages=trial.outages,
            leavings=trial.leavings,
            graceful=graceful,
            exits=trial.exits,
            broken_inside=_count_broken(user),
        )


def warm_up(user: UserFleet, ledger: Path) -> list[Record]:
    """Let the targets get warm under the usual load."""
    mix = Mix(seed=_WARMING_SEED)
    with start_load(user, _WARMING_SECONDS, mix, ledger) as load:
        load.wait(_WARMING_SECONDS + _GRACE_SECONDS)
    return read_records(ledger)


@contextmanager
def start_load(
    user: UserFleet,
    seconds: float,
    mix: Mix,
    ledger: Path,
) -> Iterator['subprocess.Popen[bytes]']:
    """Run the load tool as a process of its own."""
    load = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'lab.loads.load',
            f'--nodes={",".join(user.addresses)}',
            f'--teams={",".join(user.plan.teams)}',
            f'--model={user.plan.model}',
            f'--service={user.plan.service}',
            f'--rate={mix.generations}',
            f'--filings={mix.filings}',
            f'--seconds={seconds}',
            f'--seed={mix.seed}',
            f'--ledger={ledger}',
        ],
    )
    try:
        yield load
    finally:
        if load.poll() is None:
            load.terminate()
            load.wait()


class VersionWatch:
    """Asks every node for its version and remembers it by process."""

    def __init__(self, user: UserFleet) -> None:
        """Watch the nodes of a user."""
        self._user = user
        self._seen: dict[str, list[int]] = {}
        self._stopped = threading.Event()

    def run(self) -> None:
        """Ask until told to stop."""
        while not self._stopped.wait(_POLL_SECONDS):
            for node in self._user.nodes:
                self._ask(node)

    def stop(self) -> None:
        """Stop asking."""
        self._stopped.set()

    def list_versions(self) -> list[Versions]:
        """Return what each process told."""
        return [
            Versions(process, tuple(versions))
            for process, versions in self._seen.items()
        ]

    def _ask(self, node: Placed) -> None:
        process = f'{node.name} {node.process.pid}'
        try:
            status = read_status(node, _POLL_SECONDS)
        except (OSError, ValueError):
            return
        version = status['version']
        assert isinstance(version, int)
        self._seen.setdefault(process, []).append(version)


@contextmanager
def watch_versions(user: UserFleet) -> Iterator[VersionWatch]:
    """Watch the versions in a thread of the trial."""
    watch = VersionWatch(user)
    thread = threading.Thread(target=watch.run)
    thread.start()
    try:
        yield watch
    finally:
        watch.stop()
        thread.join()


def read_ledger(target: Placed) -> RunLedger:
    """Return what a stand-in ran."""
    answer = send(target.url, 'GET', '/ledger')
    return msgspec.json.decode(answer, type=RunLedger)


def _read_ledgers(
    targets: list[Placed],
    ended: dict[str, RunLedger],
) -> dict[str, RunLedger]:
    ledgers: dict[str, RunLedger] = {}
    for target in targets:
        name = target.name
        if target.process.poll() is None:
            ledgers[name] = read_ledger(target)
        else:
            ledgers[name] = ended[name]
    return ledgers


def _list_limits(user: UserFleet) -> dict[str, int]:
    return {
        target.name: user.find_limit(target)
        for target in (*user.engines, *user.services)
    }


def _count_broken(user: UserFleet) -> Counter[str]:
    broken: Counter[str] = Counter()
    for node in user.nodes:
        if node.process.poll() is not None:
            continue
        text = send(node.url, 'GET', '/metrics').decode()
        for line in text.splitlines():
            if line.startswith(_BROKEN_METRIC):
                promise, _, count = line.rpartition(' ')
                name = promise.removeprefix(_BROKEN_METRIC).split('"')[0]
                broken[name] += int(float(count))
    return broken
