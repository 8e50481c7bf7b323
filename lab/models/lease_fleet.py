"""Leases of a few nodes on a fake network, with fake targets."""

from collections import deque
from random import Random

from chicoryshunt.clock import ManualClock
from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.connection.target_api import LoadReport
from chicoryshunt.invariants import InvariantChecker
from chicoryshunt.limits.claims import LeaseTimes
from chicoryshunt.limits.leases import Leases
from chicoryshunt.limits.ledger import TargetLimit
from chicoryshunt.membership.membership import Membership
from chicoryshunt.membership.roster import Roster
from chicoryshunt.metrics import Metrics
from chicoryshunt.policy.slots import Headroom, Shortage, Slot
from chicoryshunt.types import DataCentreId, Incarnation, TargetId, VmId
from lab.models.network import Host, Network, build_vm

CENTRES = ('luzon-a', 'luzon-b', 'luzon-c')
TARGET = TargetId('engine-1')
TIMES = LeaseTimes(term=4, list_lag=2, load_lag=1)
RUN_SECONDS = 600
STEP_SECONDS = 0.1
_POLL_STEPS = 5


class FakeTarget:
    """Requests that run on a target, and a load report that lags."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.running: dict[tuple[VmId, int, int], Slot] = {}
        self._history: deque[tuple[float, int]] = deque([(0, 0)])

    def observe(self, now: float) -> None:
        self._history.append((now, len(self.running)))
        while len(self._history) > 1 and self._history[1][0] <= now - 1:
            self._history.popleft()

    def report(self, now: float) -> LoadReport:
        at, running = self._history[0]
        return LoadReport(1, at, running, 0, 0, 0, 0, 0)


class Node:
    """One process of a node with its cores."""

    def __init__(self, fleet: 'LeaseFleet', vm: PublishedVm) -> None:
        fleet.starts += 1
        self.vm = vm.vm
        self.epoch = fleet.starts * 1_000_000
        now = fleet.clock.now()
        self.membership = Membership(
            vm,
            Incarnation(self.epoch),
            Random(fleet.starts),
            now,
        )
        self.invariants = InvariantChecker(Metrics())
        self.leases = Leases(
            self.membership,
            TIMES,
            fleet.find_limit,
            now,
            self.invariants,
        )
        self.apply_vm_list(fleet.vms, now)
        self.leases.update_targets(fleet.targets, {})

    @property
    def roster(self) -> Roster:
        return self.membership.roster

    @property
    def is_leaving(self) -> bool:
        return self.membership.is_leaving

    def apply_vm_list(self, vms: list[PublishedVm], now: float) -> None:
        self.membership.apply_vm_list(vms, now)
        self.leases.update_vms(vms, now)


class LeaseFleet:
    """Nodes and targets on one virtual clock."""

    def __init__(
        self,
        count: int = 5,
        limit: int = 20,
        seed: int = 1,
        targets: int = 1,
    ) -> None:
        self.clock = ManualClock(1000)
        self.network = Network(self.clock, Random(seed))
        self.starts = 0
        self.vms = [
            build_vm(f'vm-{number}', CENTRES[number % len(CENTRES)])
            for number in range(count)
        ]
        names = [TargetId(f'engine-{one + 1}') for one in range(targets)]
        self.targets = dict.fromkeys(names, DataCentreId(CENTRES[0]))
        self.fakes = {name: FakeTarget(limit) for name in names}
        self.nodes: dict[VmId, Node] = {}
        self.is_load_read = True
        self._steps = 0

    def find_limit(self, target: TargetId) -> TargetLimit:
        return TargetLimit(Headroom(self.fakes[target].limit, 0), RUN_SECONDS)

    def start(self, vm: PublishedVm) -> None:
        node = Node(self, vm)
        self.nodes[vm.vm] = node
        cores = (node.membership, node.leases)
        self.network.hosts[vm.vm] = Host(cores, self.clock)

    def start_all(self) -> None:
        for vm in self.vms:
            self.start(vm)
        self.run(30)

    def kill(self, vm: VmId) -> None:
        self.nodes.pop(vm)
        self.network.hosts.pop(vm)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self._steps += 1
            self.network.run(STEP_SECONDS, STEP_SECONDS)
            now = self.clock.now()
            for fake in self.fakes.values():
                fake.observe(now)
            if self.is_load_read and not self._steps % _POLL_STEPS:
                self._poll(now)
            self.check()

    def dispatch(self, vm: VmId, target: TargetId = TARGET) -> bool:
        """Dispatch one request if a slot is free; return whether one was."""
        node = self.nodes[vm]
        now = self.network.hosts[vm].check()
        slot = node.leases.held.acquire_slot(target, 0, now)
        if isinstance(slot, Shortage):
            return False
        key = (vm, node.epoch, slot.number)
        self.fakes[target].running[key] = slot
        self.check()
        return True

    def fill(self, vm: VmId, wanted: int, target: TargetId = TARGET) -> int:
        """Dispatch up to ``wanted`` requests; return how many were."""
        taken = [self.dispatch(vm, target) for _ in range(wanted)].count(True)
        if taken < wanted and vm in self.nodes:
            held = self.nodes[vm].leases.held
            held.request_slots(target, wanted - taken, 0, self.clock.now())
        return taken

    def end(self, vm: VmId, count: int, target: TargetId = TARGET) -> int:
        """End requests of a VM, including those of its earlier processes."""
        fake = self.fakes[target]
        ended = [key for key in fake.running if key[0] == vm][:count]
        for key in ended:
            slot = fake.running.pop(key)
            node = self.nodes.get(vm)
            if node is not None and node.epoch == key[1]:
                held = node.leases.held
                held.release_slot(slot, self.clock.now())
        return len(ended)

    def request_slots(self, vm: VmId, target: TargetId, slots: int) -> None:
        """Request further slots for a node."""
        held = self.nodes[vm].leases.held
        held.request_slots(target, slots, 0, self.clock.now())

    def count_committed(self, target: TargetId = TARGET) -> int:
        """Return the slots of live leases plus requests that exceed them."""
        now = self.clock.now()
        total = 0
        for node in self.nodes.values():
            lease = node.leases.held.find(target)
            slots = 0 if lease is None else lease.count_slots(now)
            running = self.count_running(node.vm, node.epoch, target)
            total += max(slots, running)
        live = {(one.vm, one.epoch) for one in self.nodes.values()}
        running_keys = self.fakes[target].running
        return total + sum(1 for key in running_keys if key[:2] not in live)

    def count_running(self, vm: VmId, epoch: int, target: TargetId) -> int:
        running = self.fakes[target].running
        return sum(1 for key in running if key[:2] == (vm, epoch))

    def check(self) -> None:
        """Assert that no target is committed beyond its limit."""
        for target, fake in self.fakes.items():
            assert self.count_committed(target) <= fake.limit

    def count_leased(self, target: TargetId = TARGET) -> int:
        """Return the slots of all live leases."""
        now = self.clock.now()
        total = 0
        for node in self.nodes.values():
            lease = node.leases.held.find(target)
            total += 0 if lease is None else lease.count_slots(now)
        return total

    def count_usable(self, target: TargetId = TARGET) -> int:
        """Return the peak of committed slots while all nodes request many."""
        max_slots = 0
        for _ in range(50):
            for node in self.nodes.values():
                limit = self.fakes[target].limit
                self.request_slots(node.vm, target, limit)
            self.run(0.2)
            max_slots = max(max_slots, self.count_committed(target))
        return max_slots

    def find_keepers(self, target: TargetId = TARGET) -> set[VmId]:
        """Return the nodes that have a ledger of a target."""
        return {
            vm
            for vm, node in self.nodes.items()
            if node.leases.ledgers.find(target) is not None
        }

    def _poll(self, now: float) -> None:
        for vm, node in self.nodes.items():
            if self.network.hosts[vm].is_paused:
                continue
            for ledger in node.leases.ledgers:
                report = self.fakes[ledger.target].report(now)
                ledger.take_load(report, now)
