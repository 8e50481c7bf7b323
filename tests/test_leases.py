"""Tests of the leases: the limit of a target is never exceeded."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.types import VmId
from lab.models.lease_fleet import TARGET, LeaseFleet

_FIRST = VmId('vm-0')
_COUNT = 5
_LIMIT = 20
_SETTLE_SECONDS = 60


@pytest.fixture
def fleet() -> LeaseFleet:
    fleet = LeaseFleet(_COUNT, _LIMIT)
    fleet.start_all()
    return fleet


def _find_keeper(fleet: LeaseFleet) -> VmId:
    keepers = fleet.find_keepers()
    assert len(keepers) == 1
    return keepers.pop()


def _list_others(fleet: LeaseFleet) -> list[VmId]:
    keeper = _find_keeper(fleet)
    return [vm.vm for vm in fleet.vms if vm.vm != keeper]


def _fill_up(fleet: LeaseFleet, vm: VmId, wanted: int) -> int:
    taken = 0
    for _ in range(30):
        taken += fleet.fill(vm, wanted - taken)
        fleet.run(0.5)
    return taken


def test_whole_limit_is_leased(fleet: LeaseFleet) -> None:
    assert fleet.count_leased() == _LIMIT
    assert len(fleet.find_keepers()) == 1


def test_one_node_can_use_the_whole_limit(fleet: LeaseFleet) -> None:
    assert _fill_up(fleet, _FIRST, 50) == _LIMIT


def test_running_requests_are_the_load_of_a_node(fleet: LeaseFleet) -> None:
    assert fleet.fill(_FIRST, 3) == 3
    fleet.run(10)
    for node in fleet.nodes.values():
        member = node.roster.find(_FIRST)
        assert member is not None
        assert member.load == 3


def test_keeper_is_in_the_targets_data_centre(fleet: LeaseFleet) -> None:
    keeper = _find_keeper(fleet)
    member = fleet.nodes[_FIRST].roster.find(keeper)
    assert member is not None
    assert member.published.data_centre == fleet.targets[TARGET]


def test_busy_nodes_get_equal_parts(fleet: LeaseFleet) -> None:
    for _ in range(20):
        for vm in fleet.nodes:
            fleet.fill(vm, _LIMIT)
            fleet.end(vm, 1)
        fleet.run(1)
    counts = [
        fleet.count_running(vm, node.epoch, TARGET)
        for vm, node in fleet.nodes.items()
    ]
    assert sum(counts) >= _LIMIT - _COUNT
    assert max(counts) - min(counts) <= 2


def test_few_slots_reach_every_node() -> None:
    fleet = LeaseFleet(count=9, limit=2)
    fleet.start_all()
    served: set[VmId] = set()
    for _ in range(60):
        for vm in fleet.nodes:
            if fleet.fill(vm, 1):
                served.add(vm)
        fleet.run(1)
        for vm in fleet.nodes:
            fleet.end(vm, 1)
    assert len(served) == 9


def test_requests_of_a_dead_holder_are_counted(fleet: LeaseFleet) -> None:
    holder, other = _list_others(fleet)[:2]
    assert _fill_up(fleet, holder, 12) == 12
    fleet.kill(holder)
    assert _fill_up(fleet, other, _LIMIT) <= _LIMIT - 12
    fleet.end(holder, 12)
    fleet.run(20)
    assert fleet.count_usable() >= _LIMIT * 4 // 5


def test_new_keeper_waits_and_takes_over(fleet: LeaseFleet) -> None:
    keeper = _find_keeper(fleet)
    other = _list_others(fleet)[0]
    _fill_up(fleet, keeper, 8)
    _fill_up(fleet, other, 6)
    fleet.kill(keeper)
    fleet.run(25)
    assert _find_keeper(fleet) != keeper
    assert fleet.count_leased() + 8 <= _LIMIT
    fleet.end(keeper, 8)
    fleet.run(10)
    assert fleet.count_usable() >= _LIMIT * 4 // 5


def test_leaving_keeper_hands_over_without_a_gap(fleet: LeaseFleet) -> None:
    keeper = _find_keeper(fleet)
    leaving = fleet.nodes[keeper].membership
    fleet.network.send(keeper, leaving.leave(fleet.clock.now()))
    least = _LIMIT
    for _ in range(40):
        fleet.run(0.1)
        least = min(least, fleet.count_leased())
    assert _find_keeper(fleet) != keeper
    assert least >= _LIMIT // 2


def test_each_side_of_a_partition_has_its_part(fleet: LeaseFleet) -> None:
    side = [vm.vm for vm in fleet.vms[:2]]
    fleet.network.cut(side)
    fleet.run(30)
    leased = {
        vm: node.leases.held.find_headroom(TARGET, fleet.clock.now()).slots
        for vm, node in fleet.nodes.items()
    }
    assert sum(leased[vm] for vm in side) == _LIMIT * 2 // _COUNT
    assert sum(leased.values()) == _LIMIT
    fleet.network.heal()
    fleet.run(30)
    assert fleet.count_leased() == _LIMIT
    assert len(fleet.find_keepers()) == 1


def test_both_sides_of_a_partition_serve(fleet: LeaseFleet) -> None:
    for vm in fleet.nodes:
        assert _fill_up(fleet, vm, _LIMIT // _COUNT) == _LIMIT // _COUNT
    side = [vm.vm for vm in fleet.vms[:2]]
    fleet.network.cut(side)
    served = dict.fromkeys(fleet.nodes, 0)
    for _ in range(60):
        fleet.run(1)
        for vm in fleet.nodes:
            fleet.end(vm, 1)
            served[vm] += fleet.fill(vm, 1)
    assert min(served.values()) >= 30


def test_paused_holder_resumes_without_a_lease(fleet: LeaseFleet) -> None:
    holder = _list_others(fleet)[0]
    assert fleet.dispatch(holder)
    fleet.network.hosts[holder].is_paused = True
    fleet.run(30)
    fleet.network.hosts[holder].is_paused = False
    assert not fleet.dispatch(holder)
    fleet.run(10)
    assert fleet.dispatch(holder)


def test_paused_keeper_resumes_without_votes(fleet: LeaseFleet) -> None:
    keeper = _find_keeper(fleet)
    paused = fleet.nodes[keeper].leases
    fleet.network.hosts[keeper].is_paused = True
    fleet.run(30)
    assert len(fleet.find_keepers()) == 2
    fleet.network.hosts[keeper].is_paused = False
    fleet.network.hosts[keeper].check()
    assert paused.ledgers.find(TARGET) is None
    fleet.run(30)
    assert fleet.count_leased() == _LIMIT


class LeaseMachine(RuleBasedStateMachine):
    """Faults in any order never exceed the limit of a target."""

    @initialize(
        seed=st.integers(0, 1000),
        count=st.sampled_from((3, 5, 9)),
        limit=st.sampled_from((2, 7, 20)),
    )
    def start_fleet(self, seed: int, count: int, limit: int) -> None:
        self.fleet = LeaseFleet(count, limit, seed)
        self.fleet.start_all()

    @rule(index=st.integers(0, 8), wanted=st.integers(1, 20))
    def fill(self, index: int, wanted: int) -> None:
        vm = self._find_vm(index)
        if vm in self.fleet.nodes:
            self.fleet.fill(vm, wanted)

    @rule(index=st.integers(0, 8))
    def fill_repeatedly(self, index: int) -> None:
        vm = self._find_vm(index)
        for _ in range(8):
            if vm in self.fleet.nodes:
                self.fleet.fill(vm, 20)
            self.fleet.run(0.3)

    @rule(index=st.integers(0, 8), count=st.integers(1, 20))
    def end(self, index: int, count: int) -> None:
        self.fleet.end(self._find_vm(index), count)

    @rule(index=st.integers(0, 8))
    def kill(self, index: int) -> None:
        vm = self._find_vm(index)
        if vm in self.fleet.nodes:
            self.fleet.kill(vm)

    @rule(index=st.integers(0, 8))
    def restart(self, index: int) -> None:
        self.fleet.start(self.fleet.vms[index % len(self.fleet.vms)])

    @rule(index=st.integers(0, 8))
    def leave(self, index: int) -> None:
        vm = self._find_vm(index)
        node = self.fleet.nodes.get(vm)
        if node is not None:
            sends = node.membership.leave(self.fleet.clock.now())
            self.fleet.network.send(vm, sends)

    @rule(index=st.integers(0, 8))
    def pause(self, index: int) -> None:
        host = self.fleet.network.hosts.get(self._find_vm(index))
        if host is not None:
            host.is_paused = not host.is_paused

    @rule(index=st.integers(1, 8))
    def cut(self, index: int) -> None:
        side = self.fleet.vms[: index % len(self.fleet.vms)]
        self.fleet.network.cut(vm.vm for vm in side)

    @rule()
    def heal(self) -> None:
        self.fleet.network.heal()

    @rule(loss=st.sampled_from((0, 0.1, 0.3)))
    def lose(self, loss: float) -> None:
        self.fleet.network.disturb(loss)

    @rule(is_read=st.booleans())
    def read_load(self, *, is_read: bool) -> None:
        self.fleet.is_load_read = is_read

    @rule(index=st.integers(0, 8), seconds=st.integers(0, 2))
    def drop_from_list(self, index: int, seconds: int) -> None:
        """Publish a list without one VM; half of the nodes see it later."""
        dropped = self._find_vm(index)
        shorter = [vm for vm in self.fleet.vms if vm.vm != dropped]
        for listed in (shorter, self.fleet.vms):
            self._publish(listed, seconds)

    @rule(seconds=st.integers(1, 12))
    def run(self, seconds: int) -> None:
        self.fleet.run(seconds)

    @rule()
    def settle(self) -> None:
        fleet = self.fleet
        fleet.network.heal()
        fleet.network.disturb(0)
        fleet.is_load_read = True
        for host in fleet.network.hosts.values():
            host.is_paused = False
        for vm in fleet.vms:
            fleet.end(vm.vm, 100)
            if vm.vm not in fleet.nodes or self._is_leaving(vm.vm):
                fleet.start(vm)
        fleet.run(_SETTLE_SECONDS)
        assert fleet.count_usable() == fleet.fakes[TARGET].limit

    def _publish(self, listed: list[PublishedVm], seconds: int) -> None:
        now = self.fleet.clock.now()
        for node in tuple(self.fleet.nodes.values())[::2]:
            node.apply_vm_list(listed, now)
        self.fleet.run(seconds)
        for node in tuple(self.fleet.nodes.values())[1::2]:
            node.apply_vm_list(listed, self.fleet.clock.now())
        self.fleet.run(3)

    def _find_vm(self, index: int) -> VmId:
        return self.fleet.vms[index % len(self.fleet.vms)].vm

    def _is_leaving(self, vm: VmId) -> bool:
        return self.fleet.nodes[vm].is_leaving


LeaseMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=20,
    stateful_step_count=15,
    phases=(Phase.explicit, Phase.generate),
)
TestLeaseMachine = LeaseMachine.TestCase


def test_slots_of_unreachable_holder_stay_counted() -> None:
    fleet = LeaseFleet(_COUNT, _LIMIT)
    fleet.start_all()
    keeper = _find_keeper(fleet)
    assert _fill_up(fleet, keeper, _LIMIT) == _LIMIT
    fleet.end(keeper, _LIMIT)
    fleet.network.cut([keeper])
    for _ in range(40):
        fleet.fill(keeper, _LIMIT)
        for vm in fleet.nodes:
            fleet.fill(vm, _LIMIT)
        fleet.run(0.5)


def test_next_keeper_knows_leased_slots() -> None:
    fleet = LeaseFleet(_COUNT, _LIMIT)
    fleet.start_all()
    fleet.is_load_read = False
    keeper = _find_keeper(fleet)
    holder = _list_others(fleet)[0]
    assert _fill_up(fleet, holder, 16) == 16
    fleet.kill(holder)
    fleet.kill(keeper)
    for _ in range(60):
        for vm in fleet.nodes:
            fleet.fill(vm, _LIMIT)
        fleet.run(0.5)
