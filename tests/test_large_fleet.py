"""Tests of the control traffic of hundreds of nodes, under virtual time."""

from chicoryshunt.fleet.catalog_sync import ReaderRole
from chicoryshunt.types import VmId, VmState
from tests.fleet_builders import FleetTrial, build_member, build_placed

COUNT = 195
DATA_CENTRES = 5
# The slowest nodes have links of 10 Mbit/s.
LINK_BYTES_PER_SECOND = 1250000


def _start_fleet(seconds: float) -> FleetTrial:
    trial = FleetTrial(COUNT, data_centres=DATA_CENTRES)
    trial.network.run(seconds)
    return trial


def test_a_start_of_all_fits_the_links() -> None:
    """Guards against seeds that send every node all VMs for each new one."""
    trial = FleetTrial(COUNT, data_centres=DATA_CENTRES)

    for _ in range(6):
        before = trial.network.bytes_sent.copy()
        trial.network.run(1)
        sent = trial.network.bytes_sent - before
        assert max(sent.values()) < LINK_BYTES_PER_SECOND

    for node in trial.nodes:
        assert len(node.discovery.known) == COUNT


def test_few_nodes_read_while_all_start() -> None:
    """Guards against calls of the store by every node that starts."""
    trial = FleetTrial(COUNT, data_centres=DATA_CENTRES)
    for node in trial.nodes:
        node.catalog_sync.record_success(trial.clock.now())
    readings = 0
    for _ in range(60):
        trial.network.run(0.1)
        now = trial.clock.now()
        for node in trial.nodes:
            role = node.catalog_sync.decide_role(now)
            readings += role is not ReaderRole.none
            if role is not ReaderRole.none:
                node.catalog_sync.record_success(now)

    # A reader needs up to six calls a second, and two nodes read.
    assert readings < COUNT


def test_lists_of_runs_do_not_grow_with_the_fleet() -> None:
    """Guards against nodes that mostly read the lists of all others."""
    trial = _start_fleet(12)
    now = trial.clock.now()
    for index, node in enumerate(trial.nodes):
        run = build_placed(f'r{index}')
        trial.network.send(node.vm, node.workload.place(run, now))
    trial.network.run(1)
    before = trial.network.messages.copy()

    trial.network.run(20)

    sent = trial.network.messages - before
    lists = sent['Passed'] + sent['RunList']
    # As many as forty nodes send, each two seconds.
    assert lists / COUNT / 20 < 25
    for node in trial.nodes:
        assert len(list(node.workload.list_runs())) == COUNT


def test_equal_nodes_send_no_addresses() -> None:
    """Guards against traffic that grows with the square of the fleet."""
    trial = _start_fleet(12)
    before = trial.network.messages['Introduction']

    trial.network.run(8)

    assert trial.network.messages['Introduction'] == before


def test_a_late_vm_costs_each_node_a_few_messages() -> None:
    trial = _start_fleet(12)
    before = trial.network.messages['Introduction']
    late = trial.add(build_member('late', 'dc-1'))

    trial.network.run(4)

    assert len(late.discovery.known) == COUNT + 1
    for node in trial.nodes:
        assert node.discovery.find(late.vm)
    sent = trial.network.messages['Introduction'] - before
    assert sent < 2 * COUNT


def test_a_start_without_the_first_seed() -> None:
    trial = FleetTrial(COUNT, data_centres=DATA_CENTRES)
    trial.stop(trial.nodes[0])

    trial.network.run(6)

    for node in trial.nodes[1:]:
        assert len(node.discovery.known) == COUNT - 1


def test_a_vm_that_is_gone_is_forgotten_by_all() -> None:
    """Guards against nodes that introduce a dead VM to each other forever."""
    trial = FleetTrial(9)
    trial.network.run(10)
    dead = trial.nodes[5]
    trial.stop(dead)

    trial.network.run(90)

    for node in trial.nodes:
        if node is not dead:
            assert node.discovery.find(dead.vm) is None


def test_sides_of_a_partition_find_each_other() -> None:
    trial = FleetTrial(9)
    trial.network.run(10)
    side = [node.vm for node in trial.nodes[::2]]
    trial.network.cut(side)
    trial.network.run(90)
    trial.network.heal()

    trial.network.run(30)

    for node in trial.nodes:
        assert all(
            node.membership.roster.find_state(VmId(f'vm-{index}'))
            is VmState.live
            for index in range(9)
        )
