"""Plans that move runs off an engine within its notice."""

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

PACE = 100.0
LINK = Link(bytes_per_token=262144, bytes_per_second=4.75e9)


def _build_leaving(count: int, **changes: int) -> list[LeavingRun]:
    return [
        LeavingRun(RequestId(f'r{one}'), build_run(age=2, **changes))
        for one in range(count)
    ]


def _build_departure(name: str, leaving: Iterable[LeavingRun]) -> LeavingEngine:
    runs = tuple(leaving)
    return LeavingEngine(build_engine(name, *(one.run for one in runs)), runs)


def _plan(
    leaving: Iterable[LeavingRun], others: Sequence[Engine]
) -> list[Move]:
    departure = _build_departure('gone', leaving)
    return plan_moves([departure], others, LINK, PACE)


def test_runs_move_one_after_the_other() -> None:
    """Replays a reclaimed engine: copies share its one link."""
    leaving = _build_leaving(4)

    moves = _plan(leaving, [build_engine('near')])

    assert len(moves) == 4
    for move, following in itertools.pairwise(moves):
        assert following.after == pytest.approx(move.after + move.seconds)
        copying = LINK.estimate_copy_seconds(3200, is_remote=False)
        assert move.seconds >= copying


def test_every_node_plans_the_same() -> None:
    leaving = _build_leaving(5)
    others = [build_engine(f'e{one}', data_centre=AWAY) for one in range(3)]

    forwards = _plan(leaving, others)
    backwards = _plan(list(reversed(leaving)), list(reversed(others)))

    assert forwards == backwards


def test_a_short_notice_prefers_near_engines() -> None:
    leaving = _build_leaving(7)
    crowded = build_engine(
        'near',
        *(build_run(prompt=5200, expected=2200, most=2200) for _ in range(4)),
    )
    empty = build_engine('far', data_centre=AWAY)

    moves = _plan(leaving, [crowded, empty])

    near = [move for move in moves if move.destination == 'near']
    assert near
    assert moves[0].destination == 'near'


def test_a_long_notice_prefers_room_that_lasts() -> None:
    leaving = _build_leaving(1)
    crowded = build_engine(
        'near',
        *(build_run(prompt=5600, expected=2200, most=2200) for _ in range(5)),
    )
    empty = build_engine('far', data_centre=AWAY)

    moves = _plan(leaving, [crowded, empty])

    assert [move.destination for move in moves] == ['far']


def test_what_ends_in_time_is_moved_last() -> None:
    nearly = LeavingRun(RequestId('a'), RunView(3000, 10, 215, age=2))
    long = LeavingRun(RequestId('b'), build_run(expected=2000, age=2))

    moves = _plan([nearly, long], [build_engine('near')])

    assert [move.request for move in moves] == ['b', 'a']


def test_a_late_plan_waits_for_the_others() -> None:
    """Replays a first event that comes in the middle of the moves.

    A copy that begins at once would delay the last tokens of a stopped run.
    """
    leaving = _build_leaving(3)
    moves = _plan(leaving, [build_engine('near')])

    turn = plan_last(moves, RequestId('r0'))

    assert turn is not None
    others = [move for move in moves if move.request != 'r0']
    assert turn.after == pytest.approx(sum(move.seconds for move in others))
    assert plan_last(moves, RequestId('unknown')) is None


def test_a_move_begins_when_the_earlier_have_left() -> None:
    """Replays moves that are done sooner than was planned."""
    leaving = _build_leaving(3)
    first, second, third = _plan(leaving, [build_engine('near')])
    present = {one.request for one in leaving}

    assert first.may_start(present)
    assert not second.may_start(present)
    present.remove(first.request)
    assert second.may_start(present)
    assert not third.may_start(present)


def test_without_any_slot_nothing_is_planned() -> None:
    leaving = _build_leaving(2)
    full = build_engine('full', *(build_run(prompt=1) for _ in range(24)))

    assert not _plan(leaving, [full])


def test_four_near_moves_fit_into_a_notice() -> None:
    leaving = _build_leaving(4)

    moves = _plan(leaving, [build_engine('near')])

    assert moves[-1].after + moves[-1].seconds < DEFAULT_NOTICE_SECONDS


def _build_departures() -> list[LeavingEngine]:
    return [
        _build_departure(
            f'gone{source}',
            (
                LeavingRun(RequestId(f'{source}-{one}'), build_run(age=2))
                for one in range(3)
            ),
        )
        for source in range(3)
    ]


def test_engines_that_leave_together_part() -> None:
    """Replays three engines of one data centre, reclaimed together.

    Planned one by one all of them chose the emptiest engine: its link carried
    one copy at a time, and theirs stood idle until they ended.
    """
    departures = _build_departures()
    others = [
        build_engine('emptiest'),
        *(build_engine(f'e{one}', build_run()) for one in range(4)),
    ]

    moves = plan_moves(departures, others, LINK, PACE)

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
        for one in departures
    }
    assert max(ends.values()) < DEFAULT_NOTICE_SECONDS


def test_a_copy_waits_for_both_its_links() -> None:
    departures = _build_departures()[:2]

    moves = plan_moves(departures, [build_engine('only')], LINK, PACE)

    copying = LINK.estimate_copy_seconds(3200, is_remote=False)
    for move, following in itertools.pairwise(moves):
        assert following.after >= move.after + copying * 0.99
        assert not following.may_start([move.request])


def test_a_link_does_not_wait_for_a_busy_engine() -> None:
    """Replays a new engine, near to two that leave, with room for all."""
    departures = [
        _build_departure(
            f'gone{prompt}',
            [LeavingRun(RequestId(f'{prompt}'), build_run(prompt, age=2))],
        )
        for prompt in (2000, 3000)
    ]
    others = [build_engine('near'), build_engine('far', data_centre=AWAY)]

    moves = plan_moves(departures, others, LINK, PACE)

    assert [move.destination for move in moves] == ['near', 'far']
    assert moves[1].after == 0


def test_room_is_not_given_away_twice() -> None:
    """Replays copies that an engine refused, for others had filled it."""
    departures = _build_departures()
    crowded = build_engine('near', *(build_run() for _ in range(7)))
    empty = build_engine('far', data_centre=AWAY)

    moves = plan_moves(departures, [crowded, empty], LINK, PACE)

    near = [move for move in moves if move.destination == 'near']
    assert len(near) < len(moves)
