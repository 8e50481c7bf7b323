"""Tests of orders to engines under cuts, pauses and restarts."""

from itertools import pairwise

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chicoryshunt.connection.order_results import (
    Outdated,
)
from chicoryshunt.connection.target_api import Order
from chicoryshunt.orders.load_schedule import schedule_loads
from chicoryshunt.orders.order_actions import SendOrder
from chicoryshunt.orders.orders import SETTLE_SECONDS
from chicoryshunt.types import TargetId, VmId
from chicoryshunt.version.config import DesiredState, WeightStoreLimits
from tests.builders import build_config
from tests.ordering import DETECT_SECONDS, Engine, Keeper, World

_NODE = st.integers(0, 4).map(lambda one: VmId(f'vm-{one}'))
_CHECKING = TargetId('checking')
_IGNORING = TargetId('ignoring')


class OrdersMachine(RuleBasedStateMachine):
    """Keepers pause, are cut off and return while operators change."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.wanted = 0
        self.side: frozenset[VmId] = frozenset()

    @rule()
    def want(self) -> None:
        self.wanted += 1
        self.world.want(f'v{self.wanted}')

    @rule(seconds=st.sampled_from((1, 5, 30)))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(vm=_NODE)
    def pause(self, vm: VmId) -> None:
        self.world.pause(vm)
        self._show()

    @rule(vm=_NODE)
    def resume(self, vm: VmId) -> None:
        self.world.resume(vm)
        self._show()

    @rule(side=st.frozensets(_NODE, max_size=3))
    def cut(self, side: frozenset[VmId]) -> None:
        self.side = side
        self._show()

    @rule(name=st.sampled_from((_CHECKING, _IGNORING)))
    def restart_engine(self, name: TargetId) -> None:
        self.world.engines[name].restart()

    @rule(throttles=st.booleans())
    def throttle(self, throttles: bool) -> None:
        for engine in self.world.engines.values():
            engine.throttles = throttles

    @invariant()
    def one_order_at_a_time(self) -> None:
        assert not self.world.outstanding

    @invariant()
    def fences_grow(self) -> None:
        accepted = self.world.engines[_CHECKING].accepted
        assert all(one < two for one, two in pairwise(accepted))

    def teardown(self) -> None:
        self.throttle(throttles=False)
        for vm in self.world.keepers:
            self.world.resume(vm)
        self.cut(frozenset())
        self.world.run(600)
        self.one_order_at_a_time()
        desired = DesiredState(f'v{self.wanted}' if self.wanted else '')
        for engine in self.world.engines.values():
            assert engine.holds == desired

    def _show(self) -> None:
        self.world.show_members(self.side, is_cut=bool(self.side))


TestOrders = OrdersMachine.TestCase
TestOrders.settings = settings(
    derandomize=True,
    max_examples=30,
    stateful_step_count=30,
    deadline=None,
)


def _find_senders(world: World) -> set[VmId]:
    return {flight.sender for flight in world.flights}


def test_engines_come_to_what_is_wanted() -> None:
    world = World()
    world.want('v1')
    world.run(60)
    for engine in world.engines.values():
        assert engine.holds.model_version == 'v1'
        assert len(engine.accepted) == 1


def test_minority_gives_no_orders() -> None:
    world = World()
    minority = frozenset(list(world.keepers)[:2])
    world.show_members(minority, is_cut=True)
    world.run(DETECT_SECONDS + 1)
    world.want('v1')
    senders = set()
    for _ in range(120):
        world.run(0.5)
        senders |= _find_senders(world)
    assert senders
    assert not senders & minority


def test_new_keeper_settles_before_an_order() -> None:
    world = World()
    world.want('v1')
    world.run(60)
    first = world.engines[_IGNORING].accepted
    world.want('v2')
    for vm in world.keepers:
        world.resume(vm)
        world.keepers[vm].orders.handle_pause(world.now, 9)
    world.run(SETTLE_SECONDS - 1)
    assert len(first) == 1
    world.run(30)
    assert len(first) == 2


def _plan_order(world: World) -> tuple[Keeper, SendOrder]:
    world.want('v1')
    planning: list[Keeper] = []
    while not planning:
        world.run(0.5)
        planning = [one for one in world.keepers.values() if one.planned]
    return planning[0], planning[0].planned[0][1]


def test_order_begun_before_a_pause_is_dropped() -> None:
    world = World()
    keeper, action = _plan_order(world)
    assert keeper.orders.may_send(action)
    keeper.orders.handle_pause(world.now, 9)
    assert not keeper.orders.may_send(action)


def test_order_is_dropped_with_the_majority() -> None:
    keeper, action = _plan_order(World())
    keeper.view.live = keeper.view.live[:2]
    assert not keeper.orders.may_send(action)


def test_number_is_not_used_again_after_a_pause() -> None:
    world = World()
    keeper, action = _plan_order(world)
    keeper.orders.handle_pause(world.now, 9)
    keeper.planned.clear()
    while not keeper.planned:
        world.run(0.5)
    _, again = keeper.planned[0]
    assert again.order.fence > action.order.fence


def test_silent_load_is_waited_for() -> None:
    world = World()
    for engine in world.engines.values():
        engine.shows_loading = False
    world.want('v1')
    world.run(60)
    for engine in world.engines.values():
        assert len(engine.accepted) == 1


def test_reached_state_needs_no_order() -> None:
    world = World()
    for engine in world.engines.values():
        engine.holds = DesiredState('v1')
    world.want('v1')
    world.run(60)
    assert not any(engine.accepted for engine in world.engines.values())


def test_old_number_is_refused() -> None:
    engine = Engine(checks_fence=True, fence=9)
    assert engine.obey(Order(8, 'v1'), 0) == Outdated(9)


@pytest.mark.parametrize('fence', [0, 1, 1023, 1024, 10**12])
def test_numbers_are_above_those_reported(fence: int) -> None:
    world = World()
    engine = world.engines[_CHECKING]
    engine.fence = fence
    world.want('v1')
    world.run(60)
    assert engine.accepted
    assert min(engine.accepted) > fence


def test_loads_follow_the_rate_of_the_store() -> None:
    base = build_config(targets=6)
    targets = {
        name: msgspec.structs.replace(target, desired=DesiredState('v1'))
        for name, target in base.targets.items()
    }
    config = msgspec.structs.replace(
        base,
        targets=targets,
        weights=WeightStoreLimits(loads_per_minute=6),
    )
    slots = schedule_loads(config, targets, 100)
    assert sorted(slots.values()) == [100, 110, 120, 130, 140, 150]
    assert slots == schedule_loads(config, reversed(list(targets)), 100)
