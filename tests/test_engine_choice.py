"""Forecast of memory, choice of an engine, and who may go first."""

from random import Random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from chicoryshunt.dispatch.engines import (
    ADMISSION_FRACTION,
    ANNOUNCE_DELAY_SECONDS,
    Announcement,
    NeverFits,
    NoRoom,
    Placed,
    choose_engine,
    has_precedence,
)
from chicoryshunt.dispatch.forecast import (
    HORIZONS,
    RunView,
    expect_remaining,
    forecast_engine,
    forecast_run,
)
from chicoryshunt.dispatch.waiting import WaitingRequest, WaitQueue
from chicoryshunt.types import RequestId
from tests.fleet_builders import AWAY, HOME, build_engine, build_run

PACE = 100.0
RUNS = st.builds(
    RunView,
    prompt_tokens=st.integers(1, 6000),
    expected_tokens=st.integers(1, 3000),
    max_tokens=st.integers(1, 3000),
    age=st.floats(0, 60),
)


@settings(derandomize=True, deadline=None)
@example(RunView(1, 200, 1, age=5e-324))
@given(RUNS)
def test_a_forecast_stays_within_the_longest_end(
    run: RunView,
) -> None:
    curve = forecast_run(run, PACE)

    assert len(curve) == len(HORIZONS)
    assert all(
        0 <= held <= run.prompt_tokens + run.max_tokens for held in curve
    )
    assert 0 <= expect_remaining(run, PACE) <= run.max_tokens


def test_long_answers_grow_and_short_ones_end() -> None:
    long = forecast_run(build_run(expected=2000), PACE)
    short = forecast_run(build_run(expected=12, most=40), PACE)

    assert long[2] > long[0]
    assert short[2] == 0


def test_a_run_that_queues_still_holds_memory() -> None:
    """Replays short answers that queue in a full engine.

    By their age they had ended, and the engine got more and more of them.
    """
    queued = [build_run(2200, 20, 32, age=3) for _ in range(14)]
    full = build_engine('full', *queued)
    other = build_engine('other', *(build_run() for _ in range(6)))

    chosen = choose_engine([full, other], build_run(), HOME, PACE)

    assert isinstance(chosen, Placed)
    assert chosen.target == 'other'


def test_an_empty_engine_holds_nothing() -> None:
    assert forecast_engine((), PACE) == (0,) * len(HORIZONS)


def test_a_burst_spreads_over_all_engines() -> None:
    """Replays many long requests at once, each placed on what is known."""
    placed: dict[str, list[RunView]] = {f'e{one}': [] for one in range(6)}
    for _ in range(24):
        engines = [build_engine(name, *runs) for name, runs in placed.items()]
        choice = choose_engine(engines, build_run(), HOME, PACE)
        assert isinstance(choice, Placed)
        placed[choice.target].append(build_run())

    counts = [len(runs) for runs in placed.values()]
    assert max(counts) - min(counts) <= 1


def test_a_burst_beyond_the_memory_waits() -> None:
    """Replays arrivals until nothing fits; no engine is overfilled."""
    engines = [build_engine(f'e{one}') for one in range(2)]
    count = 0
    while True:
        choice = choose_engine(engines, build_run(), HOME, PACE)
        if not isinstance(choice, Placed):
            break
        count += 1
        engines = [
            build_engine(
                one.target,
                *one.runs,
                *([build_run()] if one.target == choice.target else []),
            )
            for one in engines
        ]
    assert isinstance(choice, NoRoom)
    assert 0 < choice.seconds <= HORIZONS[-1]
    assert count >= 12
    for engine in engines:
        held = forecast_engine(engine.runs, PACE)
        assert max(held) <= engine.memory_tokens * ADMISSION_FRACTION


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.floats(0, ANNOUNCE_DELAY_SECONDS), min_size=2, max_size=12),
    st.randoms(use_true_random=False),
)
def test_of_crossed_announcements_one_stays(
    skews: list[float], draws: Random
) -> None:
    """Replays waiting requests of many nodes that see the same room."""
    requests = [RequestId(f'r{one}') for one in range(len(skews))]
    draws.shuffle(requests)
    room_for_one = build_engine('e', memory=6000)
    kept = []
    for own, own_sent in zip(requests, skews, strict=True):
        # Each node dates an announcement of another one by its arrival.
        before = [
            other
            for other, sent in zip(requests, skews, strict=True)
            if other != own
            and has_precedence(
                Announcement(other, max(sent, own_sent)),
                Announcement(own, own_sent),
            )
        ]
        engine = build_engine('e', *(build_run() for _ in before), memory=6000)
        if isinstance(choose_engine([engine], build_run(), HOME, PACE), Placed):
            kept.append(own)

    assert isinstance(
        choose_engine([room_for_one], build_run(), HOME, PACE), Placed
    )
    assert kept == [min(requests)]


def test_the_earlier_announcement_goes_first() -> None:
    old = Announcement(RequestId('z'), 1)
    new = Announcement(RequestId('a'), 1 + 2 * ANNOUNCE_DELAY_SECONDS)

    assert has_precedence(old, new)


def test_what_no_engine_can_hold_is_hopeless() -> None:
    choice = choose_engine(
        [build_engine('e1', memory=4000)],
        build_run(prompt=3000, most=2000),
        HOME,
        PACE,
    )

    assert isinstance(choice, NeverFits)


def test_the_own_data_centre_is_preferred() -> None:
    engines = [
        build_engine('e1', data_centre=AWAY),
        build_engine('e2', data_centre=HOME),
    ]

    choice = choose_engine(engines, build_run(), HOME, PACE)

    assert isinstance(choice, Placed)
    assert choice.target == 'e2'


def test_prompts_being_read_count_as_waiting() -> None:
    """Replays two nodes that place at the same moment."""
    fresh = [build_run(prompt=6000, expected=1, most=4) for _ in range(2)]
    old = [build_run(prompt=6500, age=2) for _ in range(2)]
    engines = [build_engine('e1', *fresh), build_engine('e2', *old)]

    choice = choose_engine(engines, build_run(), HOME, PACE)

    assert isinstance(choice, Placed)
    assert choice.target == 'e2'


def _build_ticket(name: str, priority: int, since: float) -> WaitingRequest:
    return WaitingRequest(RequestId(name), priority, since, target_latency=2)


@pytest.mark.parametrize('seed', range(5))
def test_the_most_urgent_goes_first(seed: int) -> None:
    room = WaitQueue()
    tickets = [_build_ticket(f'r{one}', one % 3, one) for one in range(9)]
    Random(seed).shuffle(tickets)
    for ticket in tickets:
        room.add(ticket)
    order = []
    while tickets:
        going = [one for one in tickets if room.may_proceed(one, 1)]
        assert len(going) == 1
        order.append(going[0].request)
        room.remove(going[0])
        tickets.remove(going[0])

    assert order == ['r0', 'r3', 'r6', 'r1', 'r4', 'r7', 'r2', 'r5', 'r8']


def test_the_late_yield_to_those_in_time() -> None:
    room = WaitQueue()
    late = _build_ticket('late', 1, since=0)
    fresh = _build_ticket('fresh', 1, since=9)
    room.add(late)
    room.add(fresh)

    assert room.may_proceed(fresh, 10)
    assert not room.may_proceed(late, 10)


def test_a_large_request_is_passed_for_a_while() -> None:
    """Replays a large request among small ones that always fit."""
    room = WaitQueue()
    large = _build_ticket('large', 1, since=0)
    large.is_blocked = True
    small = _build_ticket('small', 1, since=0.1)
    room.add(large)
    room.add(small)

    assert room.may_proceed(small, 0.5)
    assert not room.may_proceed(small, 1)
