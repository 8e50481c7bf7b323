"""Tests of the pace of engines: table, choice, destinations and start."""

from dataclasses import replace

import pytest

from chicoryshunt.dispatch.engine_pace import PaceTable
from chicoryshunt.dispatch.engines import Engine, Placed, choose_engine
from chicoryshunt.dispatch.forecast import RunView
from chicoryshunt.dispatch.moves import (
    LeavingEngine,
    LeavingRun,
    Link,
    plan_moves,
)
from chicoryshunt.dispatch.resume_time import find_start_time
from chicoryshunt.types import RequestId, TargetId
from tests.fleet_builders import AWAY, HOME, build_engine, build_run
from tests.pace_builders import LONG, MAX_GAP, SLOW, SLOW_GAP, PaceReplay

BRIEF = replace(build_run(expected=12, most=16), max_gap=MAX_GAP)


def _build_table(count: int = 4) -> PaceTable:
    table = PaceTable()
    for index in range(count):
        pace = 0.02 if TargetId(f'e{index}') == SLOW else 0.007
        table.record(TargetId(f'e{index}'), pace, pace * 4, 0)
    return table


def test_slowness_is_relative_to_the_median() -> None:
    table = _build_table()

    assert table.slowness(SLOW, 0) == pytest.approx(0.02 / 0.007)
    assert table.slowness(TargetId('e1'), 0) == 1
    assert table.slowness(TargetId('new'), 0) == 1


def test_a_few_engines_give_no_median() -> None:
    """Guards against a median that is itself that of a slow engine."""
    assert _build_table(3).slowness(SLOW, 0) == 1


def test_old_observations_give_way() -> None:
    """Guards against an engine that stays slow in the table for ever."""
    table = _build_table()
    table.record(SLOW, 0.007, 0.03, 1)
    seen = []
    # An engine that becomes slow is known as such after two windows.
    for now in (2, 6.1, 11.2):
        table.record(SLOW, 0.02, 0.08, now)
        seen.append(table.slowness(SLOW, now))

    assert seen == pytest.approx([1, 1, 20 / 7])
    assert not table.is_known(TargetId('e1'), 31)


def test_a_long_gap_is_forgotten() -> None:
    table = _build_table()
    gaps = []
    for now in (0, 12, 24):
        table.record(SLOW, 0.02, 0.03, now)
        gaps.append(table.find_longest_gap(SLOW, now))
    table.forget(SLOW)

    assert gaps == [pytest.approx(0.08), pytest.approx(0.08), 0.03]
    assert not table.is_known(SLOW, 24)


def test_gaps_grow_with_the_slowness() -> None:
    """Guards against long answers on a slow engine before it shows a gap."""
    table = _build_table()
    table.record(TargetId('e1'), 0.007, 0.1, 0)
    table.record(TargetId('e2'), 0.007, 0.1, 0)

    assert table.predict_longest_gap(SLOW, 1) == pytest.approx(0.1 * 20 / 7)
    assert table.predict_longest_gap(TargetId('e1'), 1) == pytest.approx(0.1)


def test_long_gaps_of_equal_engines_do_not_count() -> None:
    """Guards against equal engines that are avoided after one long gap."""
    engines = [build_engine('a'), build_engine('b', build_run())]
    seen = [replace(engines[0], longest_gap=SLOW_GAP), engines[1]]

    assert choose_engine(engines, LONG, HOME, 100) == choose_engine(
        seen, LONG, HOME, 100
    )


def test_equal_engines_are_chosen_as_before() -> None:
    """Guards against a score that changes where engines are equally fast."""
    engines = [build_engine(f'e{index}', build_run()) for index in range(3)]
    known = [replace(one, longest_gap=0.1) for one in engines]

    assert choose_engine(engines, LONG, HOME, 100) == choose_engine(
        known, LONG, HOME, 100
    )


def test_long_gaps_are_the_last_resort() -> None:
    """Guards against refusals while an engine has room, if a slow one."""
    slow = replace(build_engine('slow'), longest_gap=SLOW_GAP, slowness=2.8)
    full = build_engine('full', *(build_run() for _ in range(24)))
    busy = build_engine('busy', *(build_run(age=5) for _ in range(4)))

    def choose(*others: Engine, demand: RunView = LONG) -> Placed:
        choice = choose_engine([slow, *others], demand, HOME, 100)
        assert isinstance(choice, Placed)
        return choice

    assert choose(busy).target == 'busy'
    assert choose(busy, demand=BRIEF).target == 'slow'
    assert choose(full).has_long_gaps
    # Nothing better is to be waited for.
    assert not choose().has_long_gaps


def test_an_unknown_engine_ranks_in_between() -> None:
    """Guards against bursts of long answers to engines that just started."""
    engines = [
        replace(build_engine('a-slow'), slowness=2.8),
        replace(build_engine('b-new'), is_pace_known=False),
        build_engine('c-fast'),
    ]
    first = choose_engine(engines, LONG, HOME, 100)
    # The known engines still differ, but the fast one is avoided.
    engines[2] = replace(engines[2], penalty=1)
    second = choose_engine(engines, LONG, HOME, 100)

    assert isinstance(first, Placed)
    assert first.target == 'c-fast'
    assert isinstance(second, Placed)
    assert second.target == 'b-new'


@pytest.mark.parametrize(
    ('load', 'count', 'old_late', 'new_late'),
    [(2.0, 523, 51, 0), (4.0, 954, 133, 45)],
)
def test_fewer_long_answers_have_long_gaps(
    load: float, count: int, old_late: int, new_late: int
) -> None:
    """Replays a third of slow engines, with two engines replaced a second.

    Guards against long answers on engines that are known to be too slow.
    """
    old = PaceReplay(uses_pace=False, load=load)
    new = PaceReplay(uses_pace=True, load=load)
    old.run(60)
    new.run(60)

    assert old.long_count == new.long_count == count
    assert old.gap_late_count == old_late
    assert new.gap_late_count <= new_late


def _plan(copy_seconds: float, *destinations: Engine) -> list[str]:
    run = LeavingRun(RequestId('r'), replace(LONG, age=2))
    source = LeavingEngine(build_engine('gone', run.run), (run,))
    link = Link(1, run.run.estimate_memory(100) / copy_seconds)
    moves = plan_moves([source], destinations, link, 100)
    return [move.destination for move in moves]


def test_moves_avoid_slow_engines() -> None:
    """Guards against a run of 5 s that takes 24 s on its next engine."""
    slow = replace(build_engine('a'), slowness=2.8)
    gaps = replace(build_engine('b'), longest_gap=SLOW_GAP, slowness=1.6)
    fast = build_engine('c', build_run(age=3))

    assert _plan(0.2, slow, gaps, fast) == ['c']
    assert _plan(0.2, slow) == ['a']


def test_a_move_in_time_precedes_a_fast_engine() -> None:
    """Guards against a lost run while a slow engine could take it."""
    slow = replace(build_engine('slow'), slowness=2.8)
    far = build_engine('far', data_centre=AWAY)

    assert _plan(1.2, slow, far) == ['slow']


def test_a_run_waits_for_the_prompts_before_it() -> None:
    """Guards against runs that are lost as their engine reads prompts."""
    idle = build_engine('idle', build_run(age=5))
    prompts = [build_run(3500, age=0.1) for _ in range(2)]
    slow = replace(build_engine('slow', *prompts), slowness=3)

    assert find_start_time(idle, 9).seconds == 1
    assert find_start_time(slow, 9).seconds == pytest.approx(4.35)
    assert find_start_time(slow, 9).is_full
    assert find_start_time(slow, 2).seconds == 2
    # The engine is not blamed for what its caller does not wait for.
    assert not find_start_time(slow, 2).is_full
