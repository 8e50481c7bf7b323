"""Tests of early refusals and of the places of callers that return."""

import random

import msgspec
import pytest

from chicoryshunt.dispatch.service_order import (
    NoteKey,
    PlacementRate,
    ReturnNote,
    ReturnTimes,
    hash_request,
    hash_service,
)
from chicoryshunt.types import RequestId, RunState, TeamId
from tests.demand_builders import SERVICE, WaitingFleet, build_group
from tests.fleet_builders import FleetTrial
from tests.virtual_loop import on_virtual_loop


def test_the_rate_needs_three_placements() -> None:
    """Guards against refusals because of a few placements."""
    rate = PlacementRate()
    for number in (0, 1, 1):
        rate.record(RequestId(f'r{number}'), 100, 10 + number)
    assert rate.measure(11) is None

    rate.record(RequestId('r2'), 100, 12)
    assert rate.measure(12) == pytest.approx(100)
    assert rate.measure(16) is None


def test_refused_callers_return_in_their_order() -> None:
    """Guards against callers that all return at the same moment."""
    times = ReturnTimes()
    waits = [times.reserve(1, 0.5, 2.2, 10) for _ in range(4)]

    assert waits == pytest.approx([1, 1.5, 2, 2.2])


def test_requests_are_told_apart_by_their_prompts() -> None:
    team = TeamId('red')

    assert hash_request(team, '/a', ('p', 'q')) == hash_request(
        team, '/a', ('p', 'q')
    )
    assert hash_request(team, '/a', ('pq',)) != hash_request(
        team, '/a', ('p', 'q')
    )
    assert hash_request(team, '/a', ()) is None


def _build_note(key: int, now: float, seconds: float = 2) -> ReturnNote:
    group = build_group(now=now)
    return ReturnNote(NoteKey((1 << 63) + key), group, now + seconds)


def _count_noting(trial: FleetTrial) -> int:
    now = trial.clock.now()
    return sum(bool(one.demand.list_notes(now)) for one in trial.nodes)


def test_a_refusal_is_noted_at_all_nodes() -> None:
    """Guards against callers that lose their place at another node."""
    trial = FleetTrial(12)
    trial.network.run(8)
    note = _build_note(0, trial.clock.now())
    trial.nodes[0].demand.add_note(note, trial.clock.now())
    trial.network.run(0.8)
    assert _count_noting(trial) == 12

    taken = trial.nodes[5].demand.take_note(note.key, trial.clock.now())
    assert taken is not None
    assert taken.group.claim.arrived == pytest.approx(
        note.group.claim.arrived, abs=0.2
    )
    trial.network.run(0.8)
    assert not _count_noting(trial)
    sent = trial.network.payloads['DemandNews']
    trial.network.run(3)
    assert trial.network.payloads['DemandNews'] == sent


def test_notes_are_bounded_and_expire() -> None:
    trial = FleetTrial(2)
    now = trial.clock.now()
    demand = trial.nodes[0].demand
    demand.report_with(
        lambda at: [build_group(9999, 9, team=1 << 31) for _ in range(16)]
    )
    for number in range(300):
        demand.add_note(_build_note(number, now), now)
    for news in demand.tick(now):
        assert len(msgspec.msgpack.encode(news.message)) < 1200

    assert len(demand.list_notes(now + 2.9)) == 256
    assert not demand.list_notes(now + 3.1)
    assert demand.take_note(_build_note(299, now).key, now + 3.1) is None


@on_virtual_loop
async def test_a_caller_that_returns_keeps_its_place() -> None:
    """Guards against newcomers that overtake a caller sent away earlier."""
    fleet = WaitingFleet(nodes=3, engines=1)
    queue = fleet.placers[0]._wait_queue
    queue.note_refusal(queue.enter(fleet.build_stream('old@0')), 1, fleet.now)
    fleet.ask(0, 'running', seconds=1.5)
    await fleet.advance(0.8)
    fleet.ask(1, 'new')
    await fleet.advance(0.1)
    fleet.ask(2, 'old@1')
    await fleet.advance(2.5)

    assert fleet.placed['old@1'] < fleet.placed['new']


@on_virtual_loop
async def test_a_request_with_room_is_not_refused() -> None:
    """Guards against refusals while an engine is free, or without a rate."""
    fleet = WaitingFleet(nodes=2, engines=1)
    now = fleet.now
    group = build_group(
        9999, now=now, service=hash_service(SERVICE), late_at=now + 60
    )
    fleet.report(1, group)
    fleet.ask(0, 'busy', seconds=1)
    await fleet.advance(0.5)
    fleet.ask(0, 'waiting')
    await fleet.advance(1.5)
    rate = PlacementRate()
    for number in range(3):
        rate.record(RequestId(f'r{number}'), 1, fleet.now + number / 10)
    fleet.set_rate(0, rate)
    fleet.ask(0, 'idle', seconds=2)
    await fleet.advance(0.5)
    fleet.ask(0, 'late')
    await fleet.advance(0.1)

    assert {'waiting', 'idle'} <= fleet.placed.keys()
    refused = fleet.refused['late']
    assert refused.run is RunState.not_run
    assert 'behind 9999 requests' in refused.detail


@on_virtual_loop
async def test_outdated_news_refuse_nothing() -> None:
    """Guards against refusals because of what waited some seconds ago."""
    fleet = WaitingFleet(nodes=2, engines=1)
    group = build_group(9999, now=fleet.now, service=hash_service(SERVICE))
    fleet.report(1, group)
    fleet.ask(0, 'busy', seconds=4)
    await fleet.advance(0.5)
    fleet.trial.stop(fleet.trial.nodes[1])
    await fleet.advance(1.2)
    rate = PlacementRate()
    for number in range(3):
        rate.record(RequestId(f'r{number}'), 1, fleet.now + number / 10)
    fleet.set_rate(0, rate)
    fleet.ask(0, 'next')
    await fleet.advance(0.3)

    assert not fleet.refused


async def _replay_returns(team_count: int, seed: int = 1) -> tuple[float, int]:
    """Return the seconds waited in vain and how many callers were served.

    Callers come at 2.3 times the rate that 12 engines serve, and return when
    they are told to.
    """
    rng = random.Random(seed)
    # Refusals by the old decision spread their return times at random.
    random.seed(seed)
    fleet = WaitingFleet(nodes=8, engines=12, team_count=team_count)
    names = [f'r{number}' for number in range(140)]
    for name in names:
        fleet.call(rng.randrange(8), name, patience=9)
        await fleet.advance(0.07)
    await fleet.advance(14)
    served = sum(name in fleet.placed for name in names)
    fleet.stop()
    return sum(fleet.waited.values()), served


@on_virtual_loop
async def test_fewer_seconds_are_waited_in_vain() -> None:
    """Guards against callers that wait and are refused in the end.

    They waited 54 s in vain and now 46 s; 125 and now 121 were served.
    """
    (before, served_before), (now, served) = [
        await _replay_returns(count) for count in (1, 2)
    ]

    assert now < before * 0.9
    assert served > served_before * 0.9
