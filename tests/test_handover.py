"""Plans that move runs off an engine within its notice."""

import itertools

import pytest

from chicoryshunt.dispatch.forecast import RunView
from chicoryshunt.dispatch.handover import (
    DEFAULT_NOTICE_SECONDS,
    Leaving,
    Link,
    find_turn,
    plan_moves,
)
from chicoryshunt.types import RequestId
from tests.fleet_builders import AWAY, build_engine, build_run

PACE = 100.0
LINK = Link(bytes_per_token=262144, bytes_per_second=4.75e9)


def _build_leaving(count: int, **changes: int) -> list[Leaving]:
    return [
        Leaving(RequestId(f'r{one}'), build_run(age=2, **changes))
        for one in range(count)
    ]


def _build_source(leaving: list[Leaving]) -> list[RunView]:
    return [one.run for one in leaving]


def test_runs_move_one_after_the_other() -> None:
    """Replays a reclaimed engine: copies share its one link."""
    leaving = _build_leaving(4)
    source = build_engine('gone', *_build_source(leaving))

    moves = plan_moves(source, leaving, [build_engine('near')], LINK, PACE)

    assert len(moves) == 4
    for move, following in itertools.pairwise(moves):
        assert following.after == pytest.approx(move.after + move.seconds)
        copying = LINK.measure_copy(3200, is_remote=False)
        assert move.seconds >= copying


def test_every_node_plans_the_same() -> None:
    leaving = _build_leaving(5)
    source = build_engine('gone', *_build_source(leaving))
    others = [build_engine(f'e{one}', data_centre=AWAY) for one in range(3)]

    forwards = plan_moves(source, leaving, others, LINK, PACE)
    backwards = plan_moves(
        source,
        list(reversed(leaving)),
        list(reversed(others)),
        LINK,
        PACE,
    )

    assert forwards == backwards


def test_a_short_notice_prefers_near_engines() -> None:
    leaving = _build_leaving(7)
    source = build_engine('gone', *_build_source(leaving))
    crowded = build_engine(
        'near',
        *(build_run(prompt=5200, expected=2200, most=2200) for _ in range(4)),
    )
    empty = build_engine('far', data_centre=AWAY)

    moves = plan_moves(source, leaving, [crowded, empty], LINK, PACE)

    near = [move for move in moves if move.destination == 'near']
    assert near
    assert moves[0].destination == 'near'


def test_a_long_notice_prefers_room_that_lasts() -> None:
    leaving = _build_leaving(1)
    source = build_engine('gone', *_build_source(leaving))
    crowded = build_engine(
        'near',
        *(build_run(prompt=5600, expected=2200, most=2200) for _ in range(5)),
    )
    empty = build_engine('far', data_centre=AWAY)

    moves = plan_moves(source, leaving, [crowded, empty], LINK, PACE)

    assert [move.destination for move in moves] == ['far']


def test_what_ends_in_time_is_moved_last() -> None:
    nearly = Leaving(RequestId('a'), RunView(3000, 10, 215, age=2))
    long = Leaving(RequestId('b'), build_run(expected=2000, age=2))
    source = build_engine('gone', nearly.run, long.run)

    moves = plan_moves(
        source,
        [nearly, long],
        [build_engine('near')],
        LINK,
        PACE,
    )

    assert [move.request for move in moves] == ['b', 'a']


def test_a_late_plan_waits_for_the_others() -> None:
    """Replays a first event that comes in the middle of the moves.

    A copy that begins at once would delay the last tokens of a stopped run.
    """
    leaving = _build_leaving(3)
    source = build_engine('gone', *_build_source(leaving))
    moves = plan_moves(source, leaving, [build_engine('near')], LINK, PACE)

    turn = find_turn(moves, RequestId('r0'))

    assert turn is not None
    others = [move for move in moves if move.request != 'r0']
    assert turn.after == pytest.approx(sum(move.seconds for move in others))
    assert find_turn(moves, RequestId('unknown')) is None


def test_a_move_begins_when_the_earlier_have_left() -> None:
    """Replays moves that are done sooner than was planned."""
    leaving = _build_leaving(3)
    source = build_engine('gone', *_build_source(leaving))
    first, second, third = plan_moves(
        source,
        leaving,
        [build_engine('near')],
        LINK,
        PACE,
    )
    present = {one.request for one in leaving}

    assert first.may_begin(present)
    assert not second.may_begin(present)
    present.remove(first.request)
    assert second.may_begin(present)
    assert not third.may_begin(present)


def test_without_any_slot_nothing_is_planned() -> None:
    leaving = _build_leaving(2)
    source = build_engine('gone', *_build_source(leaving))
    full = build_engine('full', *(build_run(prompt=1) for _ in range(24)))

    assert not plan_moves(source, leaving, [full], LINK, PACE)


def test_four_near_moves_fit_into_a_notice() -> None:
    leaving = _build_leaving(4)
    source = build_engine('gone', *_build_source(leaving))

    moves = plan_moves(source, leaving, [build_engine('near')], LINK, PACE)

    assert moves[-1].after + moves[-1].seconds < DEFAULT_NOTICE_SECONDS
