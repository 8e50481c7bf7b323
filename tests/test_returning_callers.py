"""Tests of return times and of the places of callers that return."""

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
    return sum(
        bool(one.exchanges.demand.list_notes(now)) for one in trial.nodes
    )


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
    with queue.enter(fleet.build_stream('old@0')) as waiter:
        queue.note_refusal(waiter, 1, fleet.now)
    fleet.ask(0, 'running', seconds=1.5)
    await fleet.advance(0.8)
    fleet.ask(1, 'new')
    await fleet.advance(0.1)
    fleet.ask(2, 'old@1')
    await fleet.advance(2.5)

    assert fleet.placed['old@1'] < fleet.placed['new']


@on_virtual_loop
async def test_a_refusal_names_what_is_ahead() -> None:
    """Guards against back-off times that ignore what waits at other nodes."""
    fleet = WaitingFleet(nodes=2, engines=1)
    now = fleet.now
    group = build_group(
        9999, now=now, service=hash_service(SERVICE), late_at=now + 60
    )
    fleet.report(1, group)
    fleet.ask(0, 'busy', seconds=9)
    await fleet.advance(0.5)
    rate = PlacementRate()
    for number in range(3):
        rate.record(RequestId(f'r{number}'), 1, fleet.now + number / 10)
    fleet.set_rate(0, rate)
    fleet.ask(0, 'late', patience=0.5)
    await fleet.advance(0.1)
    refused = fleet.refused['late']
    fleet.stop()

    assert refused.run is RunState.not_run
    assert 'behind 9999 requests' in refused.detail
