"""Tests of broadcasts and of the exchange of rules between nodes."""

import zlib
from collections import Counter
from functools import partial
from random import Random

import pytest

from chicoryshunt.fleet.catalog import PLATFORM_SOURCE
from chicoryshunt.fleet.entry_addresses import list_entry_addresses
from chicoryshunt.fleet.rules_exchange import (
    RulesError,
    decode_rules,
    encode_rules,
)
from chicoryshunt.types import ConfigVersion, DataCentreId, RequestId, VmId
from tests.fleet_builders import (
    FleetNode,
    FleetTrial,
    build_placed,
    build_route,
    build_rules,
)

COUNT = 30
DATA_CENTRES = 3


@pytest.fixture(scope='module')
def fleet() -> FleetTrial:
    """Return thirty nodes in three data centres, after discovery."""
    trial = FleetTrial(COUNT)
    trial.network.run(8)
    return trial


def _find_data_centre(trial: FleetTrial, vm: VmId) -> str:
    return next(one.data_centre for one in trial.vms if one.vm == vm)


def _count_knowing(trial: FleetTrial, request: str) -> int:
    return sum(
        any(known.run.request == request for known in one.workload.list_runs())
        for one in trial.nodes
    )


def test_a_placement_is_sent_once_per_data_centre(
    fleet: FleetTrial,
) -> None:
    node = fleet.nodes[4]
    own = _find_data_centre(fleet, node.vm)

    sends = list(
        node.workload.place(build_placed('r-once'), fleet.clock.now()),
    )

    counts = Counter(_find_data_centre(fleet, one.receiver) for one in sends)
    assert counts.pop(own) == COUNT // DATA_CENTRES - 1
    assert set(counts.values()) == {1}
    assert len(counts) == DATA_CENTRES - 1


def test_all_receive_a_placement(fleet: FleetTrial) -> None:
    node = fleet.nodes[7]
    now = fleet.clock.now()
    fleet.network.send(
        node.vm,
        node.workload.place(build_placed('r-all'), now),
    )
    fleet.network.run(0.3)

    assert _count_knowing(fleet, 'r-all') == COUNT


def test_all_receive_a_stranded_run() -> None:
    """Full engines: the next run must not wait for a stranded one."""
    trial = FleetTrial(COUNT)
    trial.network.run(8)
    node = trial.nodes[0]
    request = RequestId('r')
    now = trial.clock.now()
    trial.network.send(node.vm, node.workload.place(build_placed('r'), now))
    trial.network.run(0.3)
    trial.network.send(node.vm, node.workload.mark_stranded(request))
    trial.network.run(0.3)

    assert all(one.workload.is_stranded(request) for one in trial.nodes)

    moved = node.workload.place(build_placed('r', 'e2'), trial.clock.now())
    trial.network.send(node.vm, moved)
    trial.network.run(0.3)

    assert not any(one.workload.is_stranded(request) for one in trial.nodes)


def test_losses_of_a_dead_relay_are_repaired() -> None:
    trial = FleetTrial(COUNT)
    trial.network.run(8)
    for node in trial.nodes[1::6]:
        trial.stop(node)
    node = trial.nodes[0]
    now = trial.clock.now()
    trial.network.send(node.vm, node.workload.place(build_placed('r'), now))
    trial.network.run(5)

    alive = len(trial.network.hosts)
    stopped = sum(
        any(known.run.request == 'r' for known in one.workload.list_runs())
        for one in trial.nodes[1::6]
    )
    assert _count_knowing(trial, 'r') - stopped == alive


def _fetch_offers(
    trial: FleetTrial,
    fetches: Counter[VmId],
) -> None:
    by_vm = {node.vm: node for node in trial.nodes}

    def fetch(node: FleetNode, vm: VmId, version: ConfigVersion) -> None:
        known = by_vm[vm].catalog.rules
        if known is not None and version > node.catalog.rules_version:
            fetches[vm] += 1
            node.catalog.apply_rules(known.rules, vm)

    for one in trial.nodes:
        one.rules_offers.on_offer(partial(fetch, one))


def test_new_rules_reach_all_over_slow_links() -> None:
    """A version of 1,800 routes reaches dozens of nodes on slow links.

    A link of 10 Mbit/s carries the rules about ten times in the two seconds
    until they have to be in force.
    """
    trial = FleetTrial(COUNT)
    trial.network.run(8)
    fetches: Counter[VmId] = Counter()
    _fetch_offers(trial, fetches)
    reader = trial.nodes[5]

    reader.catalog.apply_rules(build_rules(version=7), PLATFORM_SOURCE)
    trial.network.run(1.5)

    behind = [one for one in trial.nodes if one.catalog.rules_version != 7]
    assert len(behind) <= 1
    assert max(fetches.values()) <= 10


def test_encoded_rules_are_decoded() -> None:
    rules = build_rules(*(build_route(f'/{part}/') for part in range(300)))

    encoded = encode_rules(rules)

    assert decode_rules(encoded) == rules


@pytest.mark.parametrize(
    'encoded',
    [
        b'',
        b'no rules',
        encode_rules(build_rules(build_route()))[:-3],
        zlib.compress(b'no rules'),
        zlib.compress(bytes(9_000_000)),
    ],
    ids=('empty', 'foreign', 'cut', 'unreadable', 'too large'),
)
def test_invalid_rules_are_rejected(encoded: bytes) -> None:
    with pytest.raises(RulesError):
        decode_rules(encoded)


def test_lists_include_other_data_centres() -> None:
    """A data centre of twenty nodes loses power.

    Callers whose list held only its nodes would query the same nodes again.
    """
    trial = FleetTrial(60)
    trial.network.run(10)
    home = DataCentreId('dc-1')

    named = list_entry_addresses(
        trial.nodes[1].membership.roster,
        home,
        Random(1),
    )

    near = {one.caller for one in trial.vms if one.data_centre == home}
    assert len(near.intersection(named)) == 10
    assert len(set(named) - near) == 2
