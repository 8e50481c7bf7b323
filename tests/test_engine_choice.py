"""Tests of memory forecasts, engine choice and the order of waiting."""

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
    estimate_remaining,
    forecast_engine,
    forecast_run,
)
from chicoryshunt.dispatch.waiting import WaitingRequest, WaitQueue
from chicoryshunt.types import RequestId
from tests.fleet_builders import AWAY, HOME, build_engine, build_run

TOKEN_RATE = 100.0
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
    curve = forecast_run(run, TOKEN_RATE)

    assert len(curve) == len(HORIZONS)
    assert all(
        0 <= held <= run.prompt_tokens + run.max_tokens for held in curve
    )
    assert 0 <= estimate_remaining(run, TOKEN_RATE) <= run.max_tokens


def test_long_answers_grow_and_short_ones_end() -> None:
    long = forecast_run(build_run(expected=2000), TOKEN_RATE)
    short = forecast_run(build_run(expected=12, most=40), TOKEN_RATE)

    assert long[2] > long[0]
    assert short[2] == 0


def test_a_run_that_queues_still_holds_memory() -> None:
    """Short answers queued in a full engine still count as held memory.

    Judged by their age they would have ended, and the full engine would
    receive more and more requests.
    """
    queued = [build_run(2200, 20, 32, age=3) for _ in range(14)]
    full = build_engine('full', *queued)
    other = build_engine('other', *(build_run() for _ in range(6)))

    chosen = choose_engine([full, other], build_run(), HOME, TOKEN_RATE)

    assert isinstance(chosen, Placed)
    assert chosen.target == 'other'


def test_an_empty_engine_holds_nothing() -> None:
    assert forecast_engine((), TOKEN_RATE) == (0,) * len(HORIZONS)


def test_a_burst_spreads_over_all_engines() -> None:
    """Places many long requests, each with the earlier ones known."""
    placed: dict[str, list[RunView]] = {f'e{one}': [] for one in range(6)}
    for _ in range(24):
        engines = [build_engine(name, *runs) for name, runs in placed.items()]
        choice = choose_engine(engines, build_run(), HOME, TOKEN_RATE)
        assert isinstance(choice, Placed)
        placed[choice.target].append(build_run())

    counts = [len(runs) for runs in placed.values()]
    assert max(counts) - min(counts) <= 1


def test_a_burst_beyond_the_memory_waits() -> None:
    """Places requests until none fits; no engine exceeds its limit."""
    engines = [build_engine(f'e{one}') for one in range(2)]
    count = 0
    while True:
        choice = choose_engine(engines, build_run(), HOME, TOKEN_RATE)
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
        held = forecast_engine(engine.runs, TOKEN_RATE)
        assert max(held) <= engine.memory_tokens * ADMISSION_FRACTION


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.floats(0, ANNOUNCE_DELAY_SECONDS), min_size=2, max_size=12),
    st.randoms(use_true_random=False),
)
def test_one_of_crossed_announcements_stays(
    skews: list[float], draws: Random
) -> None:
    """Requests waiting on many nodes see the same free engine."""
    requests = [RequestId(f'r{one}') for one in range(len(skews))]
    draws.shuffle(requests)
    small_engine = build_engine('e', memory=6000)
    kept = []
    for own, own_sent in zip(requests, skews, strict=True):
        # A node takes the arrival time of an announcement of another node.
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
        if isinstance(
            choose_engine([engine], build_run(), HOME, TOKEN_RATE), Placed
        ):
            kept.append(own)

    assert isinstance(
        choose_engine([small_engine], build_run(), HOME, TOKEN_RATE), Placed
    )
    assert kept == [min(requests)]


def test_the_earlier_announcement_goes_first() -> None:
    old = Announcement(RequestId('z'), 1)
    new = Announcement(RequestId('a'), 1 + 2 * ANNOUNCE_DELAY_SECONDS)

    assert has_precedence(old, new)


def test_a_request_too_large_for_all_engines() -> None:
    choice = choose_engine(
        [build_engine('e1', memory=4000)],
        build_run(prompt=3000, most=2000),
        HOME,
        TOKEN_RATE,
    )

    assert isinstance(choice, NeverFits)


def test_the_own_data_centre_is_preferred() -> None:
    engines = [
        build_engine('e1', data_centre=AWAY),
        build_engine('e2', data_centre=HOME),
    ]

    choice = choose_engine(engines, build_run(), HOME, TOKEN_RATE)

    assert isinstance(choice, Placed)
    assert choice.target == 'e2'


def test_prompts_being_read_count_as_waiting() -> None:
    """Two nodes place requests at the same moment."""
    fresh = [build_run(prompt=6000, expected=1, most=4) for _ in range(2)]
    old = [build_run(prompt=6500, age=2) for _ in range(2)]
    engines = [build_engine('e1', *fresh), build_engine('e2', *old)]

    choice = choose_engine(engines, build_run(), HOME, TOKEN_RATE)

    assert isinstance(choice, Placed)
    assert choice.target == 'e2'


def _build_waiting(name: str, priority: int, since: float) -> WaitingRequest:
    return WaitingRequest(RequestId(name), priority, since, target_latency=2)


@pytest.mark.parametrize('seed', range(5))
def test_the_most_urgent_goes_first(seed: int) -> None:
    queue: WaitQueue[WaitingRequest] = WaitQueue()
    requests = [_build_waiting(f'r{one}', one % 3, one) for one in range(9)]
    Random(seed).shuffle(requests)
    for request in requests:
        queue.add(request)
    order = []
    while requests:
        going = [one for one in requests if queue.may_proceed(one, 1)]
        assert len(going) == 1
        order.append(going[0].request)
        queue.remove(going[0])
        requests.remove(going[0])

    assert order == ['r0', 'r3', 'r6', 'r1', 'r4', 'r7', 'r2', 'r5', 'r8']


def test_late_requests_go_after_those_in_time() -> None:
    queue: WaitQueue[WaitingRequest] = WaitQueue()
    late = _build_waiting('late', 1, since=0)
    fresh = _build_waiting('fresh', 1, since=9)
    queue.add(late)
    queue.add(fresh)

    assert queue.may_proceed(fresh, 10)
    assert not queue.may_proceed(late, 10)


def test_a_large_request_is_overtaken_for_a_while() -> None:
    """A large request waits among small ones that always fit."""
    queue: WaitQueue[WaitingRequest] = WaitQueue()
    large = _build_waiting('large', 1, since=0)
    large.is_blocked = True
    small = _build_waiting('small', 1, since=0.1)
    queue.add(large)
    queue.add(small)

    assert queue.may_proceed(small, 0.5)
    assert not queue.may_proceed(small, 1)
