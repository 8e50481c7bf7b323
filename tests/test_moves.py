"""Tests of plans that move runs off leaving engines."""

import itertools
from collections.abc import Iterable, Sequence

import pytest

from chicoryshunt.dispatch.engines import Engine
from chicoryshunt.dispatch.forecast import RunView
from chicoryshunt.dispatch.moves import (
    DEFAULT_NOTICE_SECONDS,
    LeavingEngine,
    LeavingRun,
    Link,
    Move,
    plan_last,
    plan_moves,
)
from chicoryshunt.types import RequestId
from tests.fleet_builders import AWAY, build_engine, build_run

TOKEN_RATE = 100.0
LINK = Link(bytes_per_token=262144, bytes_per_second=4.75e9)


def _build_leaving_runs(count: int, **changes: int) -> list[LeavingRun]:
    return [
        LeavingRun(RequestId(f'r{one}'), build_run(age=2, **changes))
        for one in range(count)
    ]


def _build_leaving_engine(
    name: str, leaving_runs: Iterable[LeavingRun]
) -> LeavingEngine:
    runs = tuple(leaving_runs)
    return LeavingEngine(build_engine(name, *(one.run for one in runs)), runs)


def _plan(
    leaving_runs: Iterable[LeavingRun], others: Sequence[Engine]
) -> list[Move]:
    leaving_engine = _build_leaving_engine('gone', leaving_runs)
    return plan_moves([leaving_engine], others, LINK, TOKEN_RATE)


def test_runs_move_one_after_the_other() -> None:
    """Copies off a reclaimed engine share its one link."""
    leaving_runs = _build_leaving_runs(4)

    moves = _plan(leaving_runs, [build_engine('near')])

    assert len(moves) == 4
    for move, following in itertools.pairwise(moves):
        assert following.after == pytest.approx(move.after + move.seconds)
        copying = LINK.estimate_copy_seconds(3200, is_remote=False)
        assert move.seconds >= copying


def test_every_node_plans_the_same() -> None:
    leaving_runs = _build_leaving_runs(5)
    others = [build_engine(f'e{one}', data_centre=AWAY) for one in range(3)]

    forwards = _plan(leaving_runs, others)
    backwards = _plan(list(reversed(leaving_runs)), list(reversed(others)))

    assert forwards == backwards


def test_a_short_notice_prefers_near_engines() -> None:
    leaving_runs = _build_leaving_runs(7)
    busy = build_engine(
        'near',
        *(build_run(prompt=5200, expected=2200, most=2200) for _ in range(4)),
    )
    empty = build_engine('far', data_centre=AWAY)

    moves = _plan(leaving_runs, [busy, empty])

    near = [move for move in moves if move.destination == 'near']
    assert near
    assert moves[0].destination == 'near'


def test_a_long_notice_prefers_room_that_lasts() -> None:
    leaving_runs = _build_leaving_runs(1)
    busy = build_engine(
        'near',
        *(build_run(prompt=5600, expected=2200, most=2200) for _ in range(5)),
    )
    empty = build_engine('far', data_centre=AWAY)

    moves = _plan(leaving_runs, [busy, empty])

    assert [move.destination for move in moves] == ['far']


def test_what_ends_in_time_is_moved_last() -> None:
    nearly_done = LeavingRun(RequestId('a'), RunView(3000, 10, 215, age=2))
    long = LeavingRun(RequestId('b'), build_run(expected=2000, age=2))

    moves = _plan([nearly_done, long], [build_engine('near')])

    assert [move.request for move in moves] == ['b', 'a']


def test_a_late_plan_waits_for_the_others() -> None:
    """A run whose first event comes during the moves is moved last.

    A copy that starts at once would delay the last tokens of a stopped run.
    """
    leaving_runs = _build_leaving_runs(3)
    moves = _plan(leaving_runs, [build_engine('near')])

    last = plan_last(moves, RequestId('r0'))

    assert last is not None
    others = [move for move in moves if move.request != 'r0']
    assert last.after == pytest.approx(sum(move.seconds for move in others))
    assert plan_last(moves, RequestId('unknown')) is None


def test_a_move_begins_when_the_earlier_have_left() -> None:
    """Moves may finish earlier than planned."""
    leaving_runs = _build_leaving_runs(3)
    first, second, third = _plan(leaving_runs, [build_engine('near')])
    present = {one.request for one in leaving_runs}

    assert first.may_start(present)
    assert not second.may_start(present)
    present.remove(first.request)
    assert second.may_start(present)
    assert not third.may_start(present)


def test_without_any_slot_nothing_is_planned() -> None:
    leaving_runs = _build_leaving_runs(2)
    full = build_engine('full', *(build_run(prompt=1) for _ in range(24)))

    assert not _plan(leaving_runs, [full])


def test_four_near_moves_fit_into_a_notice() -> None:
    leaving_runs = _build_leaving_runs(4)

    moves = _plan(leaving_runs, [build_engine('near')])

    assert moves[-1].after + moves[-1].seconds < DEFAULT_NOTICE_SECONDS


def _build_leaving_engines() -> list[LeavingEngine]:
    return [
        _build_leaving_engine(
            f'gone{source}',
            (
                LeavingRun(RequestId(f'{source}-{one}'), build_run(age=2))
                for one in range(3)
            ),
        )
        for source in range(3)
    ]


def test_engines_that_leave_together_spread() -> None:
    """Three engines of one data centre are reclaimed together.

    Planned separately, all of them would choose the emptiest engine. Its link
    carries one copy at a time, and their own links would be idle.
    """
    leaving_engines = _build_leaving_engines()
    others = [
        build_engine('emptiest'),
        *(build_engine(f'e{one}', build_run()) for one in range(4)),
    ]

    moves = plan_moves(leaving_engines, others, LINK, TOKEN_RATE)

    assert len(moves) == 9
    firsts = moves[:3]
    assert len({move.destination for move in firsts}) == 3
    assert {move.after for move in firsts} == {0}
    ends = {
        one.engine.target: max(
            move.after + move.seconds
            for move in moves
            if move.source == one.engine.target
        )
        for one in leaving_engines
    }
    assert max(ends.values()) < DEFAULT_NOTICE_SECONDS


def test_a_copy_waits_for_both_its_links() -> None:
    leaving_engines = _build_leaving_engines()[:2]

    moves = plan_moves(
        leaving_engines, [build_engine('only')], LINK, TOKEN_RATE
    )

    copying = LINK.estimate_copy_seconds(3200, is_remote=False)
    for move, following in itertools.pairwise(moves):
        assert following.after >= move.after + copying * 0.99
        assert not following.may_start([move.request])


def test_a_link_does_not_wait_for_a_busy_engine() -> None:
    """Two leaving engines use two destinations although one has room."""
    leaving_engines = [
        _build_leaving_engine(
            f'gone{prompt}',
            [LeavingRun(RequestId(f'{prompt}'), build_run(prompt, age=2))],
        )
        for prompt in (2000, 3000)
    ]
    others = [build_engine('near'), build_engine('far', data_centre=AWAY)]

    moves = plan_moves(leaving_engines, others, LINK, TOKEN_RATE)

    assert [move.destination for move in moves] == ['near', 'far']
    assert moves[1].after == 0


def test_room_is_not_given_away_twice() -> None:
    """An engine refuses copies that planned ones leave no memory for."""
    leaving_engines = _build_leaving_engines()
    busy = build_engine('near', *(build_run() for _ in range(7)))
    empty = build_engine('far', data_centre=AWAY)

    moves = plan_moves(leaving_engines, [busy, empty], LINK, TOKEN_RATE)

    near = [move for move in moves if move.destination == 'near']
    assert len(near) < len(moves)
