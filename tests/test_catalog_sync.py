"""Tests of discovery, of the exchange of facts and of placed runs."""

import msgspec
import pytest

from chicoryshunt.fleet.catalog import build_gone_fact
from chicoryshunt.fleet.catalog_sync import ReaderRole
from chicoryshunt.fleet.facts import Revision, TargetFact, TargetPhase
from chicoryshunt.nodes.mesh import MAX_DATAGRAM_BYTES
from chicoryshunt.types import RequestId, TargetId, VmState
from tests.fleet_builders import (
    HOME,
    FleetNode,
    FleetTrial,
    build_fact,
    build_member,
    build_placed,
)

COUNT = 9
# The longest key of an entry.
NAME_LENGTH = 200
# Space for the envelope of a datagram and the name of the node that sends it.
SEAL_BYTES = 100


def _list_roles(trial: FleetTrial) -> dict[str, ReaderRole]:
    now = trial.clock.now()
    return {
        str(one.vm): one.catalog_sync.decide_role(now) for one in trial.nodes
    }


def _run_with_readers(trial: FleetTrial, seconds: float) -> None:
    """Run the network while the nodes that have to read do so."""
    for _ in range(round(seconds / 0.1)):
        now = trial.clock.now()
        for node in trial.nodes:
            is_present = node.vm in trial.network.hosts
            if (
                is_present
                and node.catalog_sync.decide_role(now) is not ReaderRole.none
            ):
                node.catalog_sync.record_success(now)
        trial.network.run(0.1)


def test_all_are_discovered_with_a_seed_down() -> None:
    trial = FleetTrial(COUNT)
    trial.stop(trial.nodes[0])

    trial.network.run(5)

    for node in trial.nodes[1:]:
        assert len(node.membership.roster.list_live()) == COUNT - 1


def test_a_late_vm_is_discovered_by_all() -> None:
    trial = FleetTrial(COUNT)
    trial.network.run(5)
    trial.nodes.append(trial.add(build_member('late')))

    trial.network.run(4)

    for node in trial.nodes:
        assert 'late' in node.membership.roster.list_live()


def test_a_dead_vm_is_gone_within_six_seconds() -> None:
    trial = FleetTrial(COUNT)
    trial.network.run(5)
    trial.stop(trial.nodes[4])

    trial.network.run(6)

    for node in trial.nodes:
        if node.vm != 'vm-4':
            state = node.membership.roster.find_state(trial.nodes[4].vm)
            assert state is VmState.gone


def test_two_nodes_of_different_data_centres_read() -> None:
    trial = FleetTrial(COUNT)
    trial.network.run(5)
    _run_with_readers(trial, 8)

    readers = [
        vm
        for vm, role in _list_roles(trial).items()
        if role is ReaderRole.regular
    ]

    assert len(readers) == 2
    data_centres = {int(vm.removeprefix('vm-')) % 3 for vm in readers}
    assert len(data_centres) == 2


def test_others_take_over_from_unanswered_readers() -> None:
    trial = FleetTrial(COUNT)
    trial.network.run(5)
    _run_with_readers(trial, 8)

    # The regular readers keep reading, but the platform does not answer.
    trial.network.run(4)

    roles = _list_roles(trial)
    assert ReaderRole.takeover in roles.values()


def test_others_read_when_readers_are_refused() -> None:
    """The store refuses both readers and serves the other nodes.

    Rules have to be in force two seconds after they were accepted.
    """
    trial = FleetTrial(COUNT)
    trial.network.run(5)
    _run_with_readers(trial, 8)
    now = trial.clock.now()
    refused = [
        one
        for one in trial.nodes
        if one.catalog_sync.decide_role(now) is ReaderRole.regular
    ]

    for _ in range(13):
        now = trial.clock.now()
        for node in refused:
            node.catalog_sync.record_failure(now)
        roles = [
            one.catalog_sync.decide_role(now)
            for one in trial.nodes
            if one not in refused
        ]
        if ReaderRole.takeover in roles:
            return
        trial.network.run(0.1)
    pytest.fail('no node took over within 1.3 s')


def test_few_read_while_the_store_is_unavailable() -> None:
    """The store answers none of sixty nodes for eight seconds.

    Nodes that began to read keep reading for a while when it is back.
    """
    trial = FleetTrial(60)
    trial.network.run(10)
    _run_with_readers(trial, 4)

    for _ in range(80):
        now = trial.clock.now()
        for node in trial.nodes:
            if node.catalog_sync.decide_role(now) is not ReaderRole.none:
                node.catalog_sync.record_failure(now)
        trial.network.run(0.1)

    roles = _list_roles(trial).values()
    readers = [one for one in roles if one is not ReaderRole.none]
    assert 3 <= len(readers) <= 20


def test_one_refused_reader_causes_no_takeover() -> None:
    trial = FleetTrial(COUNT)
    trial.network.run(5)
    _run_with_readers(trial, 8)
    refused = _find_reader(trial)
    for _ in range(30):
        refused.catalog_sync.record_failure(trial.clock.now())
        for node in trial.nodes:
            role = node.catalog_sync.decide_role(trial.clock.now())
            assert role is not ReaderRole.takeover
            if node is not refused and role is ReaderRole.regular:
                node.catalog_sync.record_success(trial.clock.now())
        trial.network.run(0.1)


def test_an_outage_is_detected() -> None:
    """The store answers all reads, and then none."""
    trial = FleetTrial(COUNT)
    trial.network.run(5)
    _run_with_readers(trial, 4)
    for _ in range(40):
        _run_with_readers(trial, 0.1)
        now = trial.clock.now()
        assert not any(
            node.catalog_sync.sees_outage(now) for node in trial.nodes
        )

    for _ in range(14):
        now = trial.clock.now()
        for node in trial.nodes:
            if node.catalog_sync.decide_role(now) is not ReaderRole.none:
                node.catalog_sync.record_failure(now)
        trial.network.run(0.1)

    now = trial.clock.now()
    assert all(node.catalog_sync.sees_outage(now) for node in trial.nodes)


def _find_reader(trial: FleetTrial) -> FleetNode:
    now = trial.clock.now()
    return next(
        one
        for one in trial.nodes
        if one.catalog_sync.decide_role(now) is ReaderRole.regular
    )


def test_beacons_repair_lost_facts() -> None:
    trial = FleetTrial(COUNT)
    trial.network.run(5)
    trial.network.disturb(0.4)
    reader = _find_reader(trial)
    for revision in range(1, 12):
        fact = build_fact(f't{revision}', revision)
        reader.catalog.apply(fact, trial.clock.now(), 'store')
        trial.network.send(reader.vm, reader.catalog_sync.publish([fact]))
    for other in trial.nodes:
        if (
            other.catalog_sync.decide_role(trial.clock.now())
            is not ReaderRole.none
        ):
            for read in reader.catalog.list_facts():
                other.catalog.apply(read, trial.clock.now(), 'store')
    trial.network.disturb(0)

    _run_with_readers(trial, 3)

    digests = {node.catalog.digest for node in trial.nodes}
    assert len(digests) == 1


def test_a_leaving_target_stays_leaving() -> None:
    trial = FleetTrial(COUNT)
    trial.network.run(5)
    node = trial.nodes[3]
    leaving = build_fact(revision=9, phase=TargetPhase.leaving)
    node.catalog.apply(leaving, trial.clock.now(), 'report')
    trial.network.send(node.vm, node.catalog_sync.publish([leaving]))
    trial.network.run(0.3)

    for other in trial.nodes:
        stale = build_fact(revision=8)
        assert not other.catalog.apply(stale, trial.clock.now(), 'store')


def test_a_pause_ages_facts() -> None:
    trial = FleetTrial(COUNT)
    node = trial.nodes[0]
    node.catalog_sync.needs_full_read = False
    node.catalog_sync.record_success(trial.clock.now())

    node.catalog_sync.handle_pause(trial.clock.now(), 5)

    assert node.catalog_sync.measure_age(trial.clock.now()) >= 5
    assert (
        node.catalog_sync.decide_role(trial.clock.now()) is ReaderRole.uncertain
    )


def test_placed_runs_are_dropped_with_their_node() -> None:
    trial = FleetTrial(4)
    trial.network.run(5)
    node = trial.nodes[1]
    now = trial.clock.now()
    trial.network.send(node.vm, node.workload.place(build_placed('r1'), now))
    trial.network.send(node.vm, node.workload.place(build_placed('r2'), now))
    trial.network.run(0.2)
    trial.network.send(node.vm, node.workload.end(RequestId('r1')))
    trial.network.run(0.2)

    for other in trial.nodes:
        runs = [known.run.request for known in other.workload.list_runs()]
        assert runs == ['r2']

    trial.stop(node)
    trial.network.run(8)
    assert not list(trial.nodes[0].workload.list_runs())


def test_run_lists_replace_lost_messages() -> None:
    trial = FleetTrial(4)
    trial.network.run(5)
    node = trial.nodes[1]
    now = trial.clock.now()
    for number in range(30):
        # The messages that announce these runs are not sent.
        list(node.workload.place(build_placed(f'r{number}'), now))

    trial.network.run(3)

    assert len(list(trial.nodes[0].workload.list_runs())) == 30


def test_a_removed_target_keeps_its_data_centre() -> None:
    """The entry of an engine is removed without a notice.

    Its runs are moved to engines of its own data centre first, because copies
    to other data centres take twice as long.
    """
    catalog = FleetTrial(1).nodes[0].catalog
    catalog.apply(build_fact('e1', 3), 0, 'store')

    is_change = catalog.apply(
        build_gone_fact(TargetId('e1'), Revision(4)), 1, 'store'
    )
    again = catalog.apply(
        build_gone_fact(TargetId('e1'), Revision(5)), 2, 'store'
    )

    left = catalog.find(TargetId('e1'))
    assert (is_change, again) == (True, False)
    assert isinstance(left, TargetFact)
    assert (left.phase, left.data_centre) == (TargetPhase.gone, HOME)
    assert not list(catalog.list_present())


def test_facts_with_long_names_reach_all_nodes() -> None:
    """Guards against facts that are lost beside others with long names."""
    trial = FleetTrial(COUNT)
    trial.network.run(5)
    facts = [build_fact(f't{one}'.ljust(NAME_LENGTH, '-')) for one in range(9)]

    sends = trial.nodes[0].catalog_sync.publish(facts)

    sizes = [len(msgspec.msgpack.encode(one.message)) for one in sends]
    assert sizes
    assert max(sizes) < MAX_DATAGRAM_BYTES - SEAL_BYTES
