"""Tests of the order of service over the fleet."""

from random import Random
from typing import Any, cast

import msgspec
import pytest

from chicoryshunt.dispatch.service_order import (
    NO_TEAM,
    TeamHash,
    WaitingGroup,
    YieldBudget,
    find_teams_over,
    group_requests,
    hash_service,
    should_yield,
    sum_preceding,
)
from chicoryshunt.fleet.messages import DemandNews, PlacedRun
from chicoryshunt.types import VmState
from tests.demand_builders import SERVICE, WaitingFleet, build_group
from tests.fleet_builders import FleetNode, FleetTrial, build_placed
from tests.virtual_loop import on_virtual_loop

NOW = 100.0


@pytest.mark.parametrize(
    ('changes', 'other'),
    [
        ({'priority': 0, 'age': 0}, {'priority': 1}),
        ({'age': 0.2}, {'age': 3}),
        ({'team': 2, 'age': 0.2}, {'team': 1, 'age': 1}),
        ({'age': 1}, {'age': 0.5}),
        ({'age': 5.1, 'priority': 2, 'team': 1}, {'priority': 0}),
    ],
)
def test_the_order(changes: dict[str, Any], other: dict[str, Any]) -> None:
    """Team 1 holds more than its share; the last case would starve."""
    first, second = build_group(**changes), build_group(**other)
    over = {TeamHash(1)}

    assert first.claim.build_key(over, NOW) < second.claim.build_key(over, NOW)


def test_teams_are_over_beyond_a_tolerance() -> None:
    red, blue = TeamHash(1), TeamHash(2)

    assert find_teams_over({red: 630, NO_TEAM: 900}, [blue], 1000) == {red}
    assert not find_teams_over({red: 620}, [blue], 1000)
    assert not find_teams_over({red: 1000}, [red], 1000)


def test_only_what_precedes_and_fits_counts() -> None:
    claim = build_group(age=0.3).claim
    groups = [
        build_group(count=4, age=0.6),
        build_group(count=3, age=0.2),
        build_group(count=2, priority=0),
        build_group(count=5, priority=2),
    ]

    assert sum_preceding(claim, groups, (), NOW).count == 2 + 2
    assert not sum_preceding(claim, groups, (), NOW, room=3000).count
    assert should_yield(1, 1)
    assert not should_yield(1, 2)


def test_similar_requests_are_reported_together() -> None:
    waiting = [build_group(age=age / 10, priority=age % 3) for age in range(9)]

    groups = group_requests(waiting, (), NOW, limit=2)

    assert [one.claim.priority for one in groups] == [0, 1]
    assert [one.count for one in groups] == [3, 3]
    assert groups[0].claim.arrived == pytest.approx(NOW - 0.6)


def test_yields_end() -> None:
    """Guards against requests that wait for long because of wrong news."""
    budget = YieldBudget()
    took = [budget.take(NOW + poll * 0.03, 0.03) for poll in range(8)]
    assert took == [poll < 5 for poll in range(8)]

    stopped = YieldBudget()
    stopped.take(NOW, 0.03)
    stopped.stop(NOW + 0.03)
    assert stopped.take(NOW + 9, 0.03)


def _report(node: FleetNode, *groups: WaitingGroup) -> None:
    node.exchanges.demand.report_with(lambda now: groups)


def _count_informed(trial: FleetTrial) -> int:
    now = trial.clock.now()
    return sum(
        bool(one.exchanges.demand.list_groups(now)) for one in trial.nodes
    )


def _build_trial(count: int = 12) -> FleetTrial:
    trial = FleetTrial(count)
    trial.network.run(8)
    return trial


def test_an_idle_fleet_sends_nothing() -> None:
    trial = _build_trial()
    assert not trial.network.payloads['DemandNews']

    _report(trial.nodes[0], build_group(now=trial.clock.now()))
    trial.network.run(0.3)
    assert _count_informed(trial) == 11

    _report(trial.nodes[0])
    trial.network.run(0.6)
    assert not _count_informed(trial)
    sent = trial.network.payloads['DemandNews']
    trial.network.run(3)
    assert trial.network.payloads['DemandNews'] == sent


@pytest.mark.parametrize('count', [40, 90])
def test_the_rate_and_size_of_news_are_bounded(count: int) -> None:
    trial = _build_trial(count)
    groups = [
        build_group(9999, 9, trial.clock.now(), team=1 << 31) for _ in range(16)
    ]
    for node in trial.nodes:
        _report(node, *groups)
    before = trial.network.payloads['DemandNews']
    trial.network.run(3)

    received = (trial.network.payloads['DemandNews'] - before) / 3 / count
    assert received <= 160
    news = next(iter(trial.nodes[0].demand.tick(1e9))).message
    assert len(msgspec.msgpack.encode(news)) < 1200


def test_the_news_of_a_dead_node_expire() -> None:
    """Guards against requests that wait for those of a node that died."""
    trial = _build_trial()
    _report(trial.nodes[0], build_group(now=trial.clock.now()))
    trial.network.run(0.4)
    trial.stop(trial.nodes[0])
    trial.network.run(1.3)

    assert not _count_informed(trial)


def test_late_and_repeated_news_do_not_count() -> None:
    """Guards against news that a network delivers seconds later."""
    trial = FleetTrial(2, data_centres=1)
    trial.network.run(8)
    sender, receiver = trial.nodes
    group = build_group(now=trial.clock.now())
    _report(sender, group)
    sends = sender.exchanges.demand.tick(trial.clock.now())
    old = cast(DemandNews, next(iter(sends)).message)
    trial.network.run(1.5)
    _report(sender)
    trial.network.run(0.6)
    now = trial.clock.now()
    tuple(receiver.exchanges.demand.receive(sender.vm, old, now))
    assert not receiver.exchanges.demand.list_groups(now)

    late = msgspec.structs.replace(old, sent=now)
    tuple(receiver.exchanges.demand.receive(sender.vm, late, now + 2))
    assert not receiver.exchanges.demand.list_groups(now + 2)


def test_news_of_a_gone_node_are_dropped() -> None:
    trial = _build_trial(3)
    _report(trial.nodes[0], build_group(now=trial.clock.now()))
    trial.network.run(0.3)
    paused, other = trial.nodes[1:]
    now = trial.clock.now()
    assert paused.exchanges.demand.list_groups(now)

    paused.exchanges.demand.handle_pause(now, 1)
    other.exchanges.demand._handle_vm_state(trial.nodes[0].vm, VmState.gone)

    assert not paused.exchanges.demand.list_groups(now)
    assert not other.exchanges.demand.list_groups(now)


def test_runs_of_the_old_release_have_no_team() -> None:
    new = msgspec.structs.replace(build_placed('r'), team=7)
    old = msgspec.msgpack.decode(msgspec.msgpack.encode(new))[:-2]

    assert msgspec.convert(old, PlacedRun) == build_placed('r')


async def _replay_burst(team_count: int, seed: int = 3) -> WaitingFleet:
    """Let 2.3 times as many requests arrive as 12 engines serve, for 5 s."""
    rng = Random(seed)
    fleet = WaitingFleet(nodes=8, engines=12, team_count=team_count)
    for number in range(72):
        fleet.ask(
            rng.randrange(8),
            f'r{number}',
            seconds=2,
            priority=number % 2,
            target=10,
            patience=30,
        )
        await fleet.advance(0.07)
    await fleet.advance(9)
    return fleet


@on_virtual_loop
async def test_older_requests_go_first_at_all_nodes() -> None:
    """Guards against room that goes to the node which looks first.

    Of 36 urgent requests, 11 went after one that came 0.5 s later, now 5.
    """
    overtaken = []
    for team_count in (1, 2):
        fleet = await _replay_burst(team_count)
        assert len(fleet.placed) == 72
        urgent = [f'r{number}' for number in range(0, 72, 2)]
        overtaken.append(fleet.count_overtaken(urgent, 0.5))

    assert overtaken[1] <= overtaken[0] / 2


async def _replay_flood(team_count: int) -> float:
    """Return how long a team with few requests waits on average, in seconds.

    The other one sends a large number of requests at once.
    """
    fleet = WaitingFleet(nodes=6, engines=12, team_count=team_count)
    for number in range(120):
        seconds = 0.7 + number % 7 / 10
        fleet.ask(number % 6, f'many{number}', seconds, target=30, patience=90)
    names = [f'one{number}' for number in range(4)]
    for number, name in enumerate(names):
        await fleet.advance(1.5)
        fleet.ask(number, name, 1, team=team_count - 1, target=30, patience=90)
    await fleet.advance(10)
    return sum(fleet.placed[one] - fleet.arrived[one] for one in names) / 4


@on_virtual_loop
async def test_a_small_team_goes_before_a_flood() -> None:
    """Guards against a team that takes the room of all others.

    The small team's four requests waited 5.7 s on average, now 0.5 s.
    """
    before, now = [await _replay_flood(count) for count in (1, 2)]

    assert now < before / 2


@on_virtual_loop
async def test_wrong_news_cost_little() -> None:
    """Guards against requests that wait for what no node asks for."""
    fleet = WaitingFleet(nodes=2, engines=1)
    fleet.ask(0, 'first')
    await fleet.advance(0.05)
    _report(
        fleet.trial.nodes[1],
        build_group(
            9,
            now=fleet.now,
            service=hash_service(SERVICE),
            late_at=fleet.now + 60,
        ),
    )
    await fleet.advance(1.5)
    fleet.ask(0, 'second')
    await fleet.advance(1)

    waited = fleet.placed['second'] - fleet.arrived['second']
    assert waited == pytest.approx(0.15, abs=0.05)


@on_virtual_loop
async def test_a_single_request_does_not_wait() -> None:
    fleet = WaitingFleet(nodes=2, engines=1)
    fleet.ask(0, 'only')
    await fleet.advance(0.1)

    assert fleet.placed['only'] == pytest.approx(
        fleet.arrived['only'], abs=0.05
    )
    assert not fleet.trial.network.payloads['DemandNews']


@on_virtual_loop
async def test_both_halves_of_a_fleet_are_served() -> None:
    """Guards against requests that wait for ever for the other half."""
    fleet = WaitingFleet(nodes=6, engines=2)
    half = [one.vm for one in fleet.trial.nodes[:3]]
    fleet.trial.network.cut(half)
    for number in range(12):
        fleet.ask(number % 6, f'r{number}', patience=30)
    await fleet.advance(6)

    assert len(fleet.placed) == 12
