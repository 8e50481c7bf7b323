"""Tests of the spread of the configuration under faults of every kind."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chicoryshunt.configuration.config_messages import (
    ConfigHead,
    ConfigLines,
    PullAnswer,
)
from chicoryshunt.types import DataCentreId, Digest, LogPosition, VmId
from chicoryshunt.version.chain import Head
from chicoryshunt.version.replica import NO_HEAD
from lab.models.config_fleet import FakeFleet, build_fleet
from tests.builders import build_config, build_patch, build_set_team

_NODES = 5
_BOUND_SECONDS = 14
_NODE = st.integers(0, _NODES - 1).map(lambda one: VmId(f'vm-{one}'))


def _append(fleet: FakeFleet, weight: int = 2, behind: int = 0) -> None:
    version = fleet.service.configs[-1].version - behind
    fleet.service.append(
        build_patch(max(0, version), build_set_team('baguio', weight)),
    )


def _build_settled(nodes: int = 9) -> FakeFleet:
    fleet = build_fleet(build_config(), nodes, 3, 1)
    fleet.run(5)
    assert fleet.count_behind() == 0
    return fleet


class SpreadMachine(RuleBasedStateMachine):
    """Nodes die, start and lose messages while operators publish."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = build_fleet(build_config(), _NODES, 2, 7)
        self.seen = dict.fromkeys(self.fleet.nodes, NO_HEAD)

    @rule(weight=st.integers(1, 9), behind=st.integers(0, 1))
    def publish(self, weight: int, behind: int) -> None:
        _append(self.fleet, weight, behind)

    @rule()
    def compact(self) -> None:
        self.fleet.service.compact()

    @rule(seconds=st.sampled_from((0.2, 1, 5)))
    def wait(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(vm=_NODE)
    def kill(self, vm: VmId) -> None:
        self.fleet.stop(vm)

    @rule(vm=_NODE)
    def start(self, vm: VmId) -> None:
        self.fleet.start(vm, self.fleet.nodes[vm].data_centre)
        self.seen[vm] = NO_HEAD

    @rule(vm=_NODE)
    def pause(self, vm: VmId) -> None:
        node = self.fleet.nodes[vm]
        node.parts.gossip.handle_pause(self.fleet.now, 9)

    @rule(is_down=st.booleans(), back=st.integers(0, 3), cut=st.integers(0, 9))
    def break_service(self, is_down: bool, back: int, cut: int) -> None:
        service = self.fleet.service
        service.is_down = is_down
        service.shown = max(0, len(service.lines) - back) if back else None
        service.cut_bytes = cut

    @rule(
        cut=st.frozensets(_NODE, max_size=3),
        loss=st.sampled_from((0, 0.3)),
        jitter=st.sampled_from((0, 2)),
    )
    def break_links(
        self,
        cut: frozenset[VmId],
        loss: float,
        jitter: float,
    ) -> None:
        links = self.fleet.links
        links.cut = cut
        links.loss = loss
        links.duplication = loss
        links.jitter = jitter

    @invariant()
    def never_falls_and_agrees(self) -> None:
        for vm, node in self.fleet.nodes.items():
            head = node.configuration.head
            assert head.position >= self.seen[vm].position
            assert head.version >= self.seen[vm].version
            assert not node.configuration.forks.list_all()
            self.seen[vm] = head
            if head != NO_HEAD:
                truth = self.fleet.service.configs[head.position]
                assert node.configuration.current == truth

    def teardown(self) -> None:
        self.break_service(is_down=False, back=0, cut=0)
        self.break_links(frozenset(), 0, 0)
        for vm, node in self.fleet.nodes.items():
            if not node.is_up:
                self.start(vm)
        self.fleet.run(_BOUND_SECONDS)
        assert self.fleet.count_behind() == 0


TestSpread = SpreadMachine.TestCase
TestSpread.settings = settings(
    derandomize=True,
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
)


@pytest.mark.parametrize(
    ('nodes', 'data_centres', 'bound'),
    [(9, 3, 3), (360, 5, 14)],
)
def test_patch_is_in_force_within_the_bound(
    nodes: int,
    data_centres: int,
    bound: float,
) -> None:
    fleet = build_fleet(build_config(), nodes, data_centres, 3)
    fleet.run(8)
    _append(fleet)
    fleet.run(bound)
    assert fleet.count_behind() == 0


def test_dead_readers_are_replaced() -> None:
    fleet = _build_settled(30)
    for node in tuple(fleet.nodes.values()):
        if node.parts.importer.readers.should_read(fleet.now):
            fleet.stop(node.vm)
    _append(fleet)
    fleet.run(_BOUND_SECONDS)
    assert fleet.count_behind() == 0


def test_others_read_when_no_reader_succeeds() -> None:
    fleet = _build_settled(30)
    fleet.service.unreachable = frozenset(
        node.vm
        for node in fleet.nodes.values()
        if node.parts.importer.readers.should_read(fleet.now)
    )
    fleet.run(10)
    _append(fleet)
    fleet.run(_BOUND_SECONDS)
    assert fleet.count_behind() == 0


def test_healed_cut_lets_the_patch_through() -> None:
    fleet = _build_settled()
    half = frozenset(list(fleet.nodes)[:4])
    fleet.links.cut = half
    fleet.service.unreachable = half
    _append(fleet)
    fleet.run(5)
    assert fleet.count_behind() == len(half)
    fleet.links.cut = frozenset()
    fleet.run(3)
    assert fleet.count_behind() == 0


def test_fresh_node_starts_from_peers() -> None:
    fleet = _build_settled()
    _append(fleet)
    fleet.run(3)
    fleet.service.shown = 0
    fleet.links.delay = 0.6
    fresh = VmId('vm-fresh')
    fleet.start(fresh, DataCentreId('data-centre-9'))
    heads = []
    for _ in range(50):
        fleet.run(0.1)
        heads.append(fleet.nodes[fresh].configuration.version)
    assert set(heads) == {0, 2}
    assert heads[-1] == 2


def test_lone_node_starts_from_the_service() -> None:
    fleet = build_fleet(build_config(), 1, 1, 1)
    node = fleet.nodes[VmId('vm-0')]
    fleet.run(2)
    assert node.configuration.current is None
    fleet.run(3)
    assert node.configuration.version == 1


def test_lone_node_without_a_service_has_nothing() -> None:
    fleet = build_fleet(build_config(), 1, 1, 1)
    fleet.service.is_down = True
    fleet.run(30)
    node = fleet.nodes[VmId('vm-0')]
    assert node.configuration.current is None


def test_node_in_the_past_steps_forward() -> None:
    fleet = _build_settled()
    _append(fleet)
    fleet.run(3)
    fleet.service.shown = 0
    fresh = VmId('vm-fresh')
    fleet.links.cut = frozenset((fresh,))
    fleet.start(fresh, DataCentreId('data-centre-9'))
    fleet.run(15)
    assert fleet.nodes[fresh].configuration.version == 1
    fleet.links.cut = frozenset()
    fleet.run(3)
    assert fleet.nodes[fresh].configuration.version == 2


def test_long_patch_is_pulled() -> None:
    fleet = _build_settled()
    teams = [build_set_team(f'team-{one}', 2) for one in range(200)]
    fleet.service.append(build_patch(1, *teams))
    fleet.run(3)
    assert fleet.count_behind() == 0


def test_forked_service_is_only_reported() -> None:
    fleet = _build_settled()
    _append(fleet)
    fleet.run(3)
    heads = {node.configuration.head for node in fleet.nodes.values()}
    service = fleet.service
    service.lines.clear()
    service.configs = service.configs[:1]
    _append(fleet, 7)
    _append(fleet, 8)
    fleet.run(5)
    assert {node.configuration.head for node in fleet.nodes.values()} == heads
    assert any(
        node.configuration.forks.list_all() for node in fleet.nodes.values()
    )


def test_peer_with_another_digest_changes_nothing() -> None:
    fleet = _build_settled()
    node = fleet.nodes[VmId('vm-0')]
    before = node.configuration.head
    other = Head(before.version, before.position, Digest('0'))
    lines = ConfigLines(
        before.position,
        Digest('0'),
        (build_patch(1),),
        LogPosition(1),
    )
    sender = VmId('vm-1')
    spread = node.parts.gossip
    list(spread.receive(sender, ConfigHead(other, 0, False), fleet.now))
    assert node.configuration.forks.list_all() == {'vm-1': other}
    assert not list(spread.receive(sender, lines, fleet.now))
    assert node.configuration.head == before


def test_undecodable_snapshot_changes_nothing() -> None:
    fleet = _build_settled()
    node = fleet.nodes[VmId('vm-0')]
    before = node.configuration.head
    for snapshot in (b'x', b'\x80', b'\xc1'):
        answer = PullAnswer(LogPosition(9), Digest('0'), (), snapshot)
        node.parts.gossip.apply_pull(VmId('vm-1'), answer)
    assert node.configuration.head == before


def test_pause_ends_once_a_peer_answers() -> None:
    fleet = _build_settled()
    node = fleet.nodes[VmId('vm-0')]
    node.parts.gossip.handle_pause(fleet.now, 9)
    assert not node.configuration.is_confirmed
    fleet.run(0.3)
    assert node.configuration.is_confirmed


def test_reads_do_not_grow_with_the_fleet() -> None:
    reads = []
    for nodes in (30, 120):
        fleet = build_fleet(build_config(), nodes, 3, 5)
        fleet.run(8)
        before = fleet.service.reads
        fleet.run(10)
        reads.append(fleet.service.reads - before)
    assert reads[1] <= reads[0]
