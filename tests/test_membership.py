"""Tests of the membership."""

from collections.abc import Callable
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from chicoryshunt.clock import ManualClock
from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.membership.membership import Membership
from chicoryshunt.types import DataCentreId, Incarnation, VmId, VmState
from lab.models.network import Host, Network, build_vm

_COUNT = 5
_CONVERGENCE_SECONDS = 20
_DATA_CENTRES = ('luzon-a', 'luzon-b')


class Fleet:
    """Nodes that run only the membership core."""

    def __init__(self, count: int = _COUNT, seed: int = 1) -> None:
        self.clock = ManualClock(1000)
        self.network = Network(self.clock, Random(seed))
        self.vms = [
            build_vm(f'vm-{number}', _DATA_CENTRES[number % 2])
            for number in range(count)
        ]
        self.members: dict[VmId, Membership] = {}
        self._starts = 0

    def start(self, vm: PublishedVm, incarnation: int | None = None) -> None:
        self._starts += 1
        membership = Membership(
            vm,
            Incarnation(incarnation or self._starts * 1000),
            Random(self._starts),
            self.clock.now(),
        )
        membership.apply_vm_list(self.vms, self.clock.now())
        self.members[vm.vm] = membership
        self.network.hosts[vm.vm] = Host((membership,), self.clock)

    def start_all(self) -> None:
        for vm in self.vms:
            self.start(vm)
        self.network.run(_CONVERGENCE_SECONDS)

    def kill(self, vm: VmId) -> None:
        self.members.pop(vm)
        self.network.hosts.pop(vm)

    def list_states(self, vm: VmId) -> set[VmState]:
        return {
            membership.roster.find_state(vm)
            for membership in self.members.values()
        }


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet()
    fleet.start_all()
    return fleet


def test_all_become_live(fleet: Fleet) -> None:
    for vm in fleet.vms:
        assert fleet.list_states(vm.vm) == {VmState.live}
    assert fleet.members[VmId('vm-0')].roster.present_fraction == 1


def test_killed_vm_is_gone(fleet: Fleet) -> None:
    fleet.kill(VmId('vm-2'))
    fleet.network.run(12)
    assert fleet.list_states(VmId('vm-2')) == {VmState.gone}


def test_leaving_is_known_within_a_second(fleet: Fleet) -> None:
    vm = VmId('vm-1')
    leaving = fleet.members[vm]
    fleet.network.send(vm, leaving.leave(fleet.clock.now()))
    fleet.network.run(1)
    assert fleet.list_states(vm) == {VmState.leaving}
    assert vm not in fleet.members[VmId('vm-0')].roster.list_live()


def test_leaving_mark_of_the_list_counts(fleet: Fleet) -> None:
    membership = fleet.members[VmId('vm-0')]
    marked = build_vm('vm-1', 'luzon-b', leaving=True)
    membership.apply_vm_list([*fleet.vms[2:], fleet.vms[0], marked], 0)
    assert membership.roster.find_state(VmId('vm-1')) is VmState.leaving


def test_restart_supersedes_leaving(fleet: Fleet) -> None:
    vm = fleet.vms[1]
    sends = fleet.members[vm.vm].leave(fleet.clock.now())
    fleet.network.send(vm.vm, sends)
    fleet.network.run(2)
    fleet.kill(vm.vm)
    fleet.start(vm)
    fleet.network.run(_CONVERGENCE_SECONDS)
    assert fleet.list_states(vm.vm) == {VmState.live}


def test_restart_with_clock_behind(
    fleet: Fleet,
) -> None:
    vm = fleet.vms[1]
    raised: list[int] = []
    before = fleet.members[vm.vm].incarnation
    fleet.kill(vm.vm)
    fleet.start(vm, incarnation=7)
    fleet.members[vm.vm].on_incarnation_raised(raised.append)
    fleet.network.run(_CONVERGENCE_SECONDS)
    assert fleet.members[vm.vm].incarnation > before
    assert fleet.list_states(vm.vm) == {VmState.live}
    assert raised
    assert not fleet.members[vm.vm].is_superseded


def test_replaced_process_is_superseded(fleet: Fleet) -> None:
    vm = fleet.vms[1]
    old = fleet.members.pop(vm.vm)
    host = fleet.network.hosts[vm.vm]
    fleet.start(vm)
    fleet.network.run(_CONVERGENCE_SECONDS)
    fleet.members[vm.vm] = old
    fleet.network.hosts[vm.vm] = host
    fleet.network.run(_CONVERGENCE_SECONDS)
    assert old.is_superseded


def test_paused_node_is_unconfirmed_at_first(fleet: Fleet) -> None:
    vm = VmId('vm-3')
    paused = fleet.members[vm]
    fleet.network.hosts[vm].is_paused = True
    fleet.network.run(30)
    assert fleet.list_states(vm) == {VmState.gone, VmState.live}
    fleet.network.hosts[vm].is_paused = False
    fleet.network.hosts[vm].check()
    assert not paused.is_confirmed(fleet.clock.now())
    fleet.network.run(_CONVERGENCE_SECONDS)
    assert paused.is_confirmed(fleet.clock.now())
    assert fleet.list_states(vm) == {VmState.live}


def test_pause_does_not_turn_suspects_gone(fleet: Fleet) -> None:
    killed = VmId('vm-2')
    paused = VmId('vm-3')
    fleet.kill(killed)
    while fleet.members[paused].roster.find_state(killed) is VmState.live:
        fleet.network.run(0.1)
    host = fleet.network.hosts[paused]
    host.is_paused = True
    fleet.network.run(30)
    fleet.network.send(paused, host.tick())
    state = fleet.members[paused].roster.find_state(killed)
    assert state is VmState.suspect


def test_each_side_of_a_partition_continues(fleet: Fleet) -> None:
    side = {VmId('vm-0'), VmId('vm-1')}
    fleet.network.cut(side)
    fleet.network.run(_CONVERGENCE_SECONDS)
    roster = fleet.members[VmId('vm-0')].roster
    assert set(roster.list_live()) == side
    assert roster.present_fraction == pytest.approx(2 / _COUNT)
    fleet.network.heal()
    fleet.network.run(_CONVERGENCE_SECONDS)
    assert len(roster.list_live()) == _COUNT


def test_loads_spread(fleet: Fleet) -> None:
    fleet.members[VmId('vm-4')].roster.set_load(17)
    fleet.network.run(10)
    for membership in fleet.members.values():
        member = membership.roster.find(VmId('vm-4'))
        assert member is not None
        assert member.load == 17


def test_first_vm_of_a_key_is_the_same_everywhere(fleet: Fleet) -> None:
    data_centre = DataCentreId('luzon-b')
    found = {
        one.roster.find_first('t-1', data_centre)
        for one in fleet.members.values()
    }
    assert found <= {VmId('vm-1'), VmId('vm-3')}
    assert len(found) == 1


class MembershipMachine(RuleBasedStateMachine):
    """After any faults, rosters become correct within a bounded time."""

    @initialize(seed=st.integers(0, 1000))
    def start_fleet(self, seed: int) -> None:
        self.fleet = Fleet(seed=seed)
        self.fleet.start_all()
        self.leaving: set[VmId] = set()

    @rule(index=st.integers(0, _COUNT - 1))
    def kill(self, index: int) -> None:
        vm = self.fleet.vms[index].vm
        if vm in self.fleet.members:
            self.fleet.kill(vm)
            self.leaving.discard(vm)

    @rule(index=st.integers(0, _COUNT - 1))
    def restart(self, index: int) -> None:
        vm = self.fleet.vms[index]
        self.fleet.start(vm)
        self.leaving.discard(vm.vm)

    @rule(index=st.integers(0, _COUNT - 1))
    def leave(self, index: int) -> None:
        vm = self.fleet.vms[index].vm
        leaving = self.fleet.members.get(vm)
        if leaving is not None:
            sends = leaving.leave(self.fleet.clock.now())
            self.fleet.network.send(vm, sends)
            self.leaving.add(vm)

    @rule(index=st.integers(0, _COUNT - 1), seconds=st.integers(1, 15))
    def pause(self, index: int, seconds: int) -> None:
        host = self.fleet.network.hosts.get(self.fleet.vms[index].vm)
        if host is not None:
            host.is_paused = True
            self.fleet.network.run(seconds)
            host.is_paused = False

    @rule(index=st.integers(1, _COUNT - 1), seconds=st.integers(1, 15))
    def cut(self, index: int, seconds: int) -> None:
        self.fleet.network.cut(vm.vm for vm in self.fleet.vms[:index])
        self.fleet.network.run(seconds)
        self.fleet.network.heal()

    @rule(loss=st.sampled_from((0, 0.1, 0.3)))
    def lose(self, loss: float) -> None:
        self.fleet.network.disturb(loss)
        self.fleet.network.run(3)

    @rule()
    def settle(self) -> None:
        self.fleet.network.disturb(0)
        self.fleet.network.run(2 * _CONVERGENCE_SECONDS)
        for vm in self.fleet.vms:
            if self.fleet.members:
                expected = self._find_expected(vm.vm)
                assert self.fleet.list_states(vm.vm) == {expected}

    @invariant()
    def no_node_is_gone_by_its_own_roster(self) -> None:
        for vm, membership in self.fleet.members.items():
            assert membership.roster.find_state(vm) in {
                VmState.live,
                VmState.leaving,
            }
            assert not membership.is_superseded

    def _find_expected(self, vm: VmId) -> VmState:
        if vm not in self.fleet.members:
            return VmState.gone
        return VmState.leaving if vm in self.leaving else VmState.live


MembershipMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=15,
    stateful_step_count=12,
)
TestMembershipMachine = MembershipMachine.TestCase


def test_equal_digests_mean_equal_rosters(fleet: Fleet) -> None:
    digests = {one.roster.digest for one in fleet.members.values()}
    assert len(digests) == 1
    _change_everywhere(
        fleet, lambda one: one.handle_pause(fleet.clock.now(), 9)
    )
    assert {one.roster.digest for one in fleet.members.values()} == digests


def _change_everywhere(
    fleet: Fleet,
    change: Callable[[Membership], None],
) -> None:
    for membership in fleet.members.values():
        change(membership)
