"""Leases against local shares and a central count, on a virtual clock."""

import json
import logging
import sys
from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from absl import flags

from chicoryshunt.types import TargetId
from lab.benchmarks.results import append_result
from lab.models.lease_fleet import STEP_SECONDS, LeaseFleet
from lab.standins.daemon import parse_flags

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('nodes', 9, 'nodes', flag_values=_FLAGS)
flags.DEFINE_integer('targets', 6, 'targets', flag_values=_FLAGS)
flags.DEFINE_integer('limit', 16, 'slots of a target', flag_values=_FLAGS)
flags.DEFINE_float('load', 0.7, 'part of all slots', flag_values=_FLAGS)
flags.DEFINE_float('work', 6, 'mean seconds a request', flag_values=_FLAGS)
flags.DEFINE_float('seconds', 120, 'seconds of load', flag_values=_FLAGS)
flags.DEFINE_integer('seeds', 3, 'seeds', flag_values=_FLAGS)
flags.DEFINE_boolean('record', True, 'append the result', flag_values=_FLAGS)

_PATIENCE_SECONDS = 5.0
_PERCENTILE = 0.95


class Policy(Protocol):
    """Decides whether a node may send one more request to a target."""

    def take(self, node: int, target: TargetId) -> bool:
        """Take a slot."""

    def end(self, node: int, target: TargetId) -> None:
        """Return a slot."""

    def want(self, node: int, target: TargetId, slots: int) -> None:
        """Say how many more slots could be used."""

    def advance(self) -> None:
        """Let one step of time pass."""


class Leased:
    """Real leases of real cores."""

    def __init__(self, fleet: LeaseFleet) -> None:
        """Use a fleet whose nodes have started."""
        self.fleet = fleet
        self._vms = [vm.vm for vm in fleet.vms]

    def take(self, node: int, target: TargetId) -> bool:
        """Take a slot under the node's lease."""
        return self.fleet.dispatch(self._vms[node], target)

    def end(self, node: int, target: TargetId) -> None:
        """End one request of the node."""
        self.fleet.end(self._vms[node], 1, target)

    def want(self, node: int, target: TargetId, slots: int) -> None:
        """Tell the node's tenure."""
        self.fleet.request_slots(self._vms[node], target, slots)

    def advance(self) -> None:
        """Drive the cores."""
        self.fleet.run(STEP_SECONDS)


@dataclass(slots=True)
class Counted:
    """A count for each key, each with the same limit."""

    limit: int
    is_shared: bool
    _running: dict[tuple[int, TargetId], int] = field(default_factory=dict)

    def take(self, node: int, target: TargetId) -> bool:
        """Take a slot of the node, or of the whole fleet."""
        key = self._find_key(node, target)
        if self._running.get(key, 0) >= self.limit:
            return False
        self._running[key] = self._running.get(key, 0) + 1
        return True

    def end(self, node: int, target: TargetId) -> None:
        """Return a slot."""
        self._running[self._find_key(node, target)] -= 1

    def want(self, node: int, target: TargetId, slots: int) -> None:
        """Ignore what is wanted."""

    def advance(self) -> None:
        """Ignore time."""

    def _find_key(self, node: int, target: TargetId) -> tuple[int, TargetId]:
        return (0 if self.is_shared else node), target


@dataclass(slots=True)
class Load:
    """Requests that arrive unevenly: every third node gets most."""

    rng: Random
    targets: list[TargetId]
    now: float = 0
    waits: list[float] = field(default_factory=list)
    refused: int = 0
    running: list[tuple[float, int, TargetId]] = field(default_factory=list)
    queues: list[deque[float]] = field(default_factory=list)

    def step(self, policy: Policy) -> None:
        """Let one step of arrivals, starts and ends happen."""
        self.now += STEP_SECONDS
        ended = [one for one in self.running if one[0] <= self.now]
        self.running = [one for one in self.running if one[0] > self.now]
        for _, node, target in ended:
            policy.end(node, target)
        self._arrive()
        for node, queue in enumerate(self.queues):
            self._start(policy, node, queue)
        policy.advance()

    def _arrive(self) -> None:
        slots = _FLAGS.targets * _FLAGS.limit
        rate = _FLAGS.load * slots / _FLAGS.work * STEP_SECONDS
        weights = [4 if node % 3 == 0 else 1 for node in range(_FLAGS.nodes)]
        for node, weight in enumerate(weights):
            expected = rate * weight / sum(weights)
            while expected > 0:
                if self.rng.random() < min(1, expected):
                    self.queues[node].append(self.now)
                expected -= 1

    def _start(self, policy: Policy, node: int, queue: deque[float]) -> None:
        while queue and self.now - queue[0] > _PATIENCE_SECONDS:
            queue.popleft()
            self.refused += 1
        order = self.rng.sample(self.targets, len(self.targets))
        while queue:
            target = next(
                (one for one in order if policy.take(node, one)), None
            )
            if target is None:
                break
            self.waits.append(self.now - queue.popleft())
            end = self.now + self.rng.expovariate(1 / _FLAGS.work)
            self.running.append((end, node, target))
        for wanted in order[: len(queue)]:
            policy.want(node, wanted, -(-len(queue) // len(order)))


def measure(name: str, seed: int) -> dict[str, float]:
    """Return waits and refusals of one policy, and its messages."""
    fleet = LeaseFleet(_FLAGS.nodes, _FLAGS.limit, seed, _FLAGS.targets)
    policy = _build_policy(name, fleet)
    load = Load(Random(seed), list(fleet.targets))
    load.queues = [deque() for _ in range(_FLAGS.nodes)]
    before = fleet.network.messages.total()
    for _ in range(round(_FLAGS.seconds / STEP_SECONDS)):
        load.step(policy)
    sent = fleet.network.messages.total() - before
    waits = sorted(load.waits)
    total = len(waits) + load.refused
    return {
        'at_once': sum(1 for wait in waits if not wait) / total,
        'wait_p95': waits[int(len(waits) * _PERCENTILE)],
        'refused': load.refused / total,
        'messages': sent / _FLAGS.seconds / _FLAGS.nodes,
    }


def _build_policy(name: str, fleet: LeaseFleet) -> Policy:
    match name:
        case 'leases':
            fleet.start_all()
            return Leased(fleet)
        case 'local_shares':
            return Counted(_FLAGS.limit // _FLAGS.nodes, is_shared=False)
        case _:
            return Counted(_FLAGS.limit, is_shared=True)


def main() -> None:
    """Measure every policy over some seeds and print the means."""
    parse_flags(_FLAGS)
    logging.disable(logging.INFO)
    figures: dict[str, object] = {
        'nodes': _FLAGS.nodes,
        'targets': _FLAGS.targets,
        'limit': _FLAGS.limit,
        'load': _FLAGS.load,
    }
    for name in ('leases', 'local_shares', 'central_count'):
        runs = [measure(name, seed) for seed in range(1, _FLAGS.seeds + 1)]
        figures[name] = {
            key: round(sum(run[key] for run in runs) / len(runs), 3)
            for key in runs[0]
        }
    print(json.dumps(figures))
    if _FLAGS.record:
        append_result('leases', figures)
    sys.exit(0)


if __name__ == '__main__':
    main()
