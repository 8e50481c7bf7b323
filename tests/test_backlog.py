"""Tests of the prefill backlog and of requests that are held back."""

import pytest

from chicoryshunt.dispatch.backlog import estimate_backlog
from chicoryshunt.dispatch.departures import Departures
from chicoryshunt.dispatch.engines import Engine, Placed, choose_engine
from chicoryshunt.dispatch.forecast import RunView
from chicoryshunt.dispatch.reserve import HoldReason, Reserve, find_reserve
from chicoryshunt.dispatch.waiting import WaitingRequest, WaitQueue
from chicoryshunt.relay.planned_stop import PlannedStop
from chicoryshunt.rules.model import Route
from chicoryshunt.types import RequestId, TargetId
from tests.backlog_replay import (
    LONG,
    SERVICE,
    SHORT,
    TOKEN_RATE,
    build_context,
    build_stream_route,
    count_late,
    find_engine,
    replay,
)
from tests.fleet_builders import HOME, build_engine, build_fact, build_run
from tests.virtual_loop import on_virtual_loop

RATE = 7000.0
ROUTES = (LONG, SHORT)
# Ahead of a prompt of 3,000 tokens, this much exceeds half of 1.5 s.
BUSY = build_run(prompt=14000, expected=1, most=4)


@pytest.mark.parametrize(
    ('runs', 'seconds'),
    [
        ([], 0),
        ([build_run(7000, age=5)], 0),
        ([build_run(7000, age=0.4), build_run(7000, age=0.1)], 1.6),
        ([build_run(3500), build_run(7000, age=3)], 0.5),
    ],
)
def test_prompts_are_prefilled_in_turn(
    runs: list[RunView], seconds: float
) -> None:
    """Counts prompts placed over a second ago, but no time spent idle."""
    assert estimate_backlog(runs, RATE) == pytest.approx(seconds)


def test_a_slow_engine_has_a_longer_backlog() -> None:
    slow = Engine(build_fact().target, HOME, 6, 34000, (BUSY,), slowness=2)

    choice = choose_engine([slow], build_run(7000), HOME, TOKEN_RATE)

    assert isinstance(choice, Placed)
    assert choice.backlog == pytest.approx(6)


def test_short_answers_are_in_time_in_a_rush() -> None:
    """Prompts of long answers delay short ones (head-of-line blocking).

    Of 68 short answers 6 were late with the old score and without holds, and
    8 with the new score alone; with holds none is. No long answer is late.
    """
    before = count_late(replay())
    after = count_late(replay(ROUTES))

    assert before[SHORT.name] >= 5
    assert not after


def test_an_engine_within_the_bound_is_preferred() -> None:
    """The best score is that of the engine whose memory is free."""
    old = [build_run(1000, 900, age=9) for _ in range(12)]
    engines = [
        build_engine('busy', build_run(prompt=4000, expected=1, most=4)),
        build_engine('full', *old),
    ]

    targets = [
        choose_engine(engines, build_run(), HOME, TOKEN_RATE, bound)
        for bound in (None, 0.75)
    ]

    assert [one.target for one in targets if isinstance(one, Placed)] == [
        'busy',
        'full',
    ]


@pytest.mark.parametrize(
    ('others', 'own', 'bound'),
    [
        ((SHORT,), LONG, 0.75),
        ((SHORT, build_stream_route(1, 1)), LONG, 0.5),
        ((LONG,), SHORT, None),
        ((build_stream_route(1.5, 2),), LONG, None),
        ((build_stream_route(2.1, 0),), LONG, None),
    ],
)
def test_only_less_urgent_routes_with_time_wait(
    others: tuple[Route, ...], own: Route, bound: float | None
) -> None:
    """A deployment with one priority or similar times is served as before."""
    reserve = find_reserve(others, SERVICE, own, own.priority, 0, 8)

    assert (reserve and reserve.max_backlog) == bound


def test_a_hold_ends_in_time_for_the_first_event() -> None:
    reserve = Reserve(0.75, latest_event=3.6)
    placed = Placed(build_fact().target, 0, backlog=1, exceeds_backlog=True)

    assert reserve.find_hold(placed, 2.5) is HoldReason.backlog
    assert reserve.find_hold(placed, 2.7) is None


def _queue_two(*, can_wait: bool) -> bool:
    """Return whether a request passes an earlier one that is held back."""
    queue: WaitQueue[WaitingRequest] = WaitQueue()
    first, second = (
        WaitingRequest(RequestId(f'r{one}'), 2, one, 4) for one in range(2)
    )
    first.can_wait = True
    second.can_wait = can_wait
    queue.add(first)
    queue.add(second)
    return queue.may_proceed(second, 3)


def test_a_held_request_delays_only_its_like() -> None:
    """A request held for 3 s would block others, or lose its turn."""
    assert _queue_two(can_wait=False)
    assert not _queue_two(can_wait=True)


@on_virtual_loop
async def test_a_hold_ends_with_a_placement() -> None:
    context = build_context(BUSY, is_refilled=True)

    found = await find_engine(context)

    assert found == build_fact('e1')
    assert context.clock.now() == pytest.approx(1.2, abs=0.1)
    assert context.metrics.get('held_back', reason='backlog') == 1


@on_virtual_loop
async def test_a_hold_ends_once_the_backlog_is_small() -> None:
    context = build_context(BUSY)

    await find_engine(context)

    assert context.clock.now() == pytest.approx(1.7, abs=0.1)


@on_virtual_loop
async def test_a_hold_is_no_reason_to_refuse() -> None:
    """Memory fills up while a request is held, and is free again at 3 s.

    The forecast of 8 s would refuse it with 7 s left of 8.5 s.
    """
    context = build_context(BUSY)
    build = context.build_planned_engines
    full = [build_engine('e1', build_run(30000, 3000, 3000, age=5))]
    context.build_planned_engines = lambda *_: (
        full if 1 <= context.clock.now() < 3 else build()
    )

    assert await find_engine(context, patience=8.5) == build_fact('e1')
    assert context.clock.now() == pytest.approx(3, abs=0.1)


@on_virtual_loop
async def test_an_idle_fleet_holds_nothing_back() -> None:
    context = build_context()

    await find_engine(context, prompt=9000)

    assert context.clock.now() == pytest.approx(0, abs=0.1)


@on_virtual_loop
async def test_a_node_that_stops_holds_nothing_back() -> None:
    """It refuses requests that end too late, also if it held them."""
    context = build_context(BUSY)
    context.planned_stop = PlannedStop(lists_expire=99, end=99)

    await find_engine(context)

    assert context.clock.now() == pytest.approx(0, abs=0.1)


@pytest.mark.parametrize(
    ('notices', 'tokens'),
    [
        ([('e1', 0), ('e2', 0.4)], 0),
        ([('e1', 0), ('e2', 0.4), ('e3', 3)], 1500),
        ([('e1', 0), ('e2', 3), ('e2', 4)], 1000),
        ([('e1', 0), ('e2', 3), ('e3', 21), ('e4', 24)], 1000),
    ],
)
def test_groups_that_left_lately_count(
    notices: list[tuple[str, float]], tokens: float
) -> None:
    """One maintenance, a repeated notice or an old one reserves nothing."""
    departures = Departures()
    for name, now in notices:
        departures.record(SERVICE, TargetId(name), 1000, now)

    assert departures.estimate_group(SERVICE, notices[-1][1]) == tokens


@pytest.mark.parametrize(
    ('prompt', 'reason'), [(3000, None), (30000, HoldReason.room_for_moves)]
)
def test_room_is_left_for_runs_that_move(
    prompt: int, reason: HoldReason | None
) -> None:
    """Runs of engines that leave together are lost if new ones take all."""
    engines = [
        build_engine(f'e{one}', build_run(4 * prompt // 5, age=9))
        for one in range(3)
    ]
    reserve = Reserve(0.75, latest_event=3.6)

    placed = choose_engine(engines, build_run(), HOME, TOKEN_RATE, 0.75)

    assert isinstance(placed, Placed)
    assert reserve.find_hold(placed, 0) is None
    assert reserve.find_hold(placed, 0, moving_tokens=40000) is reason
