"""Tests of moves of long runs off slow engines that stay ready."""

import asyncio
from dataclasses import replace
from statistics import mean

import pytest

from chicoryshunt.dispatch.engines import Engine
from chicoryshunt.dispatch.forecast import RunView
from chicoryshunt.dispatch.relief import (
    Relief,
    ReliefPlanner,
    SlowEngine,
    SlowRun,
)
from chicoryshunt.fleet.facts import TargetPhase
from chicoryshunt.relay.stream_inputs import EngineAddress, LegId, LegOpened
from chicoryshunt.relay.stream_state import Phase
from chicoryshunt.relay.target_codec import Copied
from chicoryshunt.types import RequestId, TargetId
from tests.fleet_builders import AWAY, build_engine, build_run
from tests.relief_builders import SLOWNESS, ReliefReplay, open_rig
from tests.virtual_loop import on_virtual_loop

COPIED = Copied('h', 9)


def _build_source(*runs: RunView, name: str = 'slow') -> SlowEngine:
    return SlowEngine(
        replace(build_engine(name, *runs), slowness=SLOWNESS),
        tuple(
            SlowRun(RequestId(f'{name}-{index}'), run)
            for index, run in enumerate(runs)
        ),
    )


def _plan(
    planner: ReliefPlanner,
    *sources: SlowEngine,
    to: tuple[Engine, ...] = (build_engine('fast'),),
    own: tuple[str, ...] = ('slow-0', 'slow-1', 'other-0'),
    now: float = 0,
) -> list[Relief]:
    names = [RequestId(name) for name in own]
    return planner.plan(sources, to, names, (), 145, now)


@pytest.mark.parametrize(
    ('replay', 'usual', 'longest'),
    [
        ((2, 0, 27), 6.6, 6.6),
        ((10, 0, 134), 6.7, 6.9),
        ((10, 2, 134), 10.9, 15.9),
    ],
)
def test_long_runs_on_slow_engines_end_sooner(
    replay: tuple[float, float, int], usual: float, longest: float
) -> None:
    """Guards against runs of 6 s that take 17 s, as they stay where they are.

    Replays runs that were placed on slow engines before these were known.
    """
    load, leaving_seconds, count = replay
    old = ReliefReplay(False, load, leaving_seconds)
    new = ReliefReplay(True, load, leaving_seconds)
    old.run(40)
    new.run(40)

    assert len(old.seconds) == len(new.seconds) == count
    assert mean(old.seconds) == pytest.approx(17.3)
    assert mean(new.seconds) <= usual
    assert max(new.seconds) <= longest + 0.01
    # Nodes never copy off one engine at the same time.
    assert new.most_copies == 1


def test_the_run_that_was_placed_first_moves() -> None:
    """Guards against two nodes that copy off one engine at the same time."""
    source = _build_source(build_run(age=2), build_run(age=4))
    first, second = ReliefPlanner(), ReliefPlanner()

    assert not _plan(first, source, own=('slow-0',))
    assert [one.request for one in _plan(second, source, own=('slow-1',))] == [
        'slow-1'
    ]
    # The node of the first run may be unable to move it.
    assert not _plan(first, source, own=('slow-0',), now=0.9)
    assert _plan(first, source, own=('slow-0',), now=1)


def test_a_run_is_not_moved_again_at_once() -> None:
    """Guards against a copy that is repeated while no engine has room."""
    planner, source = ReliefPlanner(), _build_source(build_run(age=2))

    counts = [len(_plan(planner, source, now=now)) for now in (0, 2.9, 3)]

    assert counts == [1, 0, 1]


@pytest.mark.parametrize(
    'run',
    [build_run(expected=12, most=40), build_run(most=950, age=17.5)],
)
def test_runs_that_end_soon_stay(run: RunView) -> None:
    assert not _plan(ReliefPlanner(), _build_source(run))


@pytest.mark.parametrize(
    ('engine', 'is_used'),
    [
        (build_engine('fast'), True),
        (replace(build_engine('new'), is_pace_known=False), False),
        (replace(build_engine('slow-too'), slowness=1.6), False),
        (replace(build_engine('no-slot'), slots=0), False),
        (build_engine('small', memory=3800), False),
        (build_engine('busy', *(build_run(age=1) for _ in range(9))), False),
    ],
)
def test_destinations_are_fast_and_have_room(
    engine: Engine, is_used: bool
) -> None:
    source = _build_source(build_run(age=2))

    assert bool(_plan(ReliefPlanner(), source, to=(engine,))) is is_used


def test_near_destinations_go_first() -> None:
    """Guards against copies that take twice as long."""
    engines = [build_engine(f'e{one}', data_centre=AWAY) for one in range(9)]
    to = (*engines, build_engine('near'))
    planned = _plan(ReliefPlanner(), _build_source(build_run(age=2)), to=to)

    assert [relief.destination for relief in planned] == ['near']


def test_room_is_given_once() -> None:
    """Guards against two runs of one node that choose the same room."""
    sources = (
        _build_source(build_run(age=2)),
        _build_source(build_run(age=2), name='other'),
    )
    room = (build_engine('fast', memory=7000),)

    assert len(_plan(ReliefPlanner(), *sources, to=room)) == 1
    # A move in progress needs its room as well, and its engine's link.
    pending = _plan(ReliefPlanner(), sources[0], to=room)
    for one in sources:
        own = {one.runs[0].request}
        assert not ReliefPlanner().plan([one], room, own, pending, 145, 0)


@on_virtual_loop
async def test_a_full_destination_ends_the_relief() -> None:
    """Guards against retries that take the links from leaving engines."""
    async with open_rig() as rig:
        gaps = rig.watch_gaps()
        await rig.slow_down()
        await asyncio.sleep(2.5)

        # The copy may have delayed an event of the engine.
        assert gaps == ['skipped']
        assert len(rig.orders) == rig.count('failed') == 1
        assert rig.state.phase is Phase.flowing
        # A later move off a leaving engine may go there.
        assert not rig.streams[0].excluded


@on_virtual_loop
async def test_a_copy_is_known_while_it_lasts() -> None:
    """Guards against a gap of the switch that counts as one of the engine."""
    async with open_rig(COPIED, COPIED) as rig:
        await rig.slow_down()
        assert rig.context.is_copying(TargetId('e0'))
        destination = rig.orders[0][1]
        opened = EngineAddress(TargetId(destination), destination)
        rig.streams[0].inputs.put_nowait(LegOpened(LegId(0), opened))
        await asyncio.sleep(0.1)

        assert rig.count('moved') == 1
        assert not rig.context.is_copying(TargetId('e0'))


@on_virtual_loop
async def test_a_leaving_destination_is_left_out() -> None:
    """Guards against a run that is moved to an engine about to end."""
    async with open_rig(COPIED) as rig:
        await rig.slow_down()
        rig.set_phase(rig.orders[0][1], TargetPhase.leaving)
        await asyncio.sleep(0.5)

        assert len(rig.orders) == rig.count('failed') == 1
        assert rig.released == ['h']
        assert rig.state.phase is Phase.flowing


@on_virtual_loop
async def test_a_source_that_leaves_moves_its_runs() -> None:
    """Guards against a run that is lost as its relief failed."""
    async with open_rig() as rig:
        await rig.slow_down()
        rig.set_phase('e0', TargetPhase.leaving)
        await asyncio.sleep(0.5)

        assert rig.count('failed') == 1
        # The move off the leaving engine goes elsewhere.
        assert len({destination for _, destination in rig.orders}) == 2


@on_virtual_loop
async def test_leaving_engines_go_first() -> None:
    """Guards against reliefs that delay moves off leaving engines."""
    async with open_rig() as rig:
        other = rig.begin('other', 'e3')
        rig.set_phase('e3', TargetPhase.leaving)
        await rig.slow_down()
        await asyncio.sleep(2)
        assert {source for source, _ in rig.orders} == {'e3'}
        rig.context.send(rig.context.workload.end(other.request))
        await asyncio.sleep(0.6)

        assert rig.orders[-1][0] == 'e0'
