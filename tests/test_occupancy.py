"""Tests of predicted memory and of admission by it."""

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryshunt.policy.admission import (
    HORIZON_WEIGHTS,
    Fit,
    Limit,
    NoMemory,
    NoSlot,
    SafetyMargin,
    check_fit,
    compute_headroom,
)
from chicoryshunt.policy.occupancy import (
    HORIZONS,
    Curve,
    RunningRequest,
    build_empty_curve,
    parse_curve,
    predict_occupancy,
    sum_curves,
)
from chicoryshunt.policy.profile import get_policy_parameters
from chicoryshunt.types import Profile
from tests.builders import build_running

RUNNING = st.builds(
    build_running,
    st.integers(0, 20_000),
    st.integers(1, 4_000),
)
SETS = st.lists(RUNNING, max_size=20)
MARGINS = st.floats(0, 4)
LIMIT = Limit(64, 60_000)


@settings(derandomize=True, deadline=None, max_examples=50)
@given(SETS)
def test_memory_starts_at_what_is_held(running: list[RunningRequest]) -> None:
    curve = predict_occupancy(running)
    held = sum(one.held for one in running)
    assert np.isclose(curve.mean[0], held)
    assert np.all(curve.variance >= 0)
    longest = held + len(running) * HORIZONS
    assert np.all(curve.mean <= longest + 1)


@settings(derandomize=True, deadline=None, max_examples=50)
@given(SETS, SETS)
def test_curves_add_up(
    one: list[RunningRequest], other: list[RunningRequest]
) -> None:
    both = predict_occupancy([*one, *other])
    pooled = sum_curves((predict_occupancy(one), predict_occupancy(other)))
    assert pooled.requests == both.requests
    assert np.allclose(pooled.mean, both.mean)
    assert np.allclose(pooled.deviation, both.deviation)
    assert np.allclose(
        (pooled - predict_occupancy(one)).mean[0],
        predict_occupancy(other).mean[0],
    )


@settings(derandomize=True, deadline=None, max_examples=50)
@given(SETS)
def test_reports_never_understate(running: list[RunningRequest]) -> None:
    curve = predict_occupancy(running)
    travelled = parse_curve(curve.to_report())
    assert travelled.requests == curve.requests
    assert np.all(travelled.mean >= curve.mean)
    assert np.all(travelled.deviation >= curve.deviation - 1)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(SETS, RUNNING, MARGINS, st.integers(0, 64), st.integers(0, 90_000))
def test_never_admits_past_the_limit(
    running: list[RunningRequest],
    asked: RunningRequest,
    margin: float,
    slots: int,
    memory: int,
) -> None:
    curve = predict_occupancy(running)
    request = predict_occupancy([asked])
    verdict = check_fit(Limit(slots, memory), curve, request, margin)
    both = curve + request
    match verdict:
        case Fit():
            assert both.requests <= slots
            assert np.all(both.mean <= memory)
        case NoSlot(usable):
            assert len(running) >= usable
        case NoMemory(_, needed, limit):
            assert needed >= limit


@settings(derandomize=True, deadline=None, max_examples=50)
@given(SETS, MARGINS, st.integers(0, 64), st.integers(0, 90_000))
def test_headroom_is_what_still_fits(
    running: list[RunningRequest],
    margin: float,
    slots: int,
    memory: int,
) -> None:
    typical = predict_occupancy([build_running(0, 200)])
    curve = predict_occupancy(running)
    limit = Limit(slots, memory)
    slack = compute_headroom(limit, curve, typical, margin)
    both = curve + typical.scale(slack.slots)
    assert slack.slots <= max(0, slots - len(running))
    if slack.slots:
        needed = both.mean + margin * HORIZON_WEIGHTS * both.deviation
        assert np.all(needed <= memory)


def test_counting_tokens_held_now_would_overflow() -> None:
    """What fits now need not fit later: young answers all grow."""
    young = [build_running(200, 100) for _ in range(60)]
    curve = predict_occupancy(young)
    limit = Limit(100, 25_000)
    request = predict_occupancy([build_running(0, 100)])
    assert curve.mean[0] + request.mean[0] < limit.memory_tokens
    assert isinstance(check_fit(limit, curve, request, 1), NoMemory)


def test_short_requests_keep_a_few_slots() -> None:
    running = predict_occupancy([build_running(5, 10) for _ in range(62)])
    request = predict_occupancy([build_running(0, 10)])
    assert isinstance(check_fit(LIMIT, running, request, 0), NoSlot)
    verdict = check_fit(LIMIT, running, request, 0, is_short=True)
    assert isinstance(verdict, Fit)


def test_margin_follows_preemptions() -> None:
    parameters = get_policy_parameters(Profile.preemption)
    margin = SafetyMargin(parameters)
    margin.record_admission(has_waited=False)
    assert margin.deviations == parameters.margin
    for _ in range(10_000):
        margin.record_admission(has_waited=True)
    assert margin.deviations == parameters.min_margin
    margin.record_preemptions(3)
    assert margin.deviations > parameters.min_margin
    for _ in range(1000):
        margin.record_preemptions(100)
    assert margin.deviations == parameters.max_margin


def test_empty_curve_is_nothing() -> None:
    empty = build_empty_curve()
    assert isinstance(empty, Curve)
    assert empty.peak == 0
    assert empty.to_report().requests == 0
