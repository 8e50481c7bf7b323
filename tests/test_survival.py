"""Tests of the estimate of remaining lengths."""

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryshunt.policy.survival import (
    EDGES,
    LengthEstimator,
    RequestKind,
    SizeClass,
    classify,
)
from chicoryshunt.types import ModelId, TeamId, Tokens

MODEL = ModelId('kibitzer-llm')
KIND = RequestKind(TeamId('team-1'), MODEL)
LENGTHS = st.integers(1, 40_000)


def learn(lengths: list[int], kind: RequestKind = KIND) -> LengthEstimator:
    estimator = LengthEstimator()
    for length in lengths:
        estimator.observe_end(kind, 0, Tokens(length))
    return estimator


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.lists(LENGTHS, max_size=60), LENGTHS, LENGTHS)
def test_survival_falls_with_age(
    lengths: list[int],
    age: int,
    ahead: int,
) -> None:
    survival = learn(lengths).estimate(KIND)
    assert np.all(np.diff(survival.hazard) >= 0)
    assert 0 <= survival.survive(age, ahead) <= 1
    assert survival.survive(age, ahead) <= survival.survive(age, ahead // 2)
    remaining = survival.expect_remaining(age, 1000)
    assert 0 < remaining <= 1000


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.lists(st.tuples(LENGTHS, LENGTHS), max_size=40))
def test_any_order_of_ages_is_bounded(ages: list[tuple[int, int]]) -> None:
    estimator = LengthEstimator()
    for before, after in ages:
        estimator.observe(KIND, before, after)
        estimator.observe_end(KIND, before, Tokens(after))
    survival = estimator.estimate(KIND)
    assert np.all(np.isfinite(survival.hazard))
    assert np.all(survival.variance >= 0)


def test_learns_the_lengths_it_saw() -> None:
    rng = np.random.default_rng(1)
    drawn = rng.lognormal(5.5, 1.3, 4000).astype(int) + 1
    survival = learn(drawn.tolist()).estimate(KIND)
    for age in (64, 256, 1024, 4096):
        known = (drawn > age).mean()
        error = abs(survival.survive(0, age) - known)
        assert error * 100 < 3


def test_counts_answers_that_still_run() -> None:
    """Finished answers alone are biased short while the long ones run."""
    estimator = learn([50 for _ in range(50)])
    blind = estimator.estimate(KIND).survive(0, 400)
    for _ in range(50):
        estimator.observe(KIND, 0, 512)
    seen = estimator.estimate(KIND).survive(0, 400)
    assert blind * 100 < 5
    assert 40 < seen * 100 < 60


def test_team_differs_from_the_model() -> None:
    estimator = learn([100 for _ in range(2000)])
    longer = RequestKind(TeamId('team-2'), MODEL)
    for _ in range(200):
        estimator.observe_end(longer, 0, Tokens(2000))
    unknown = RequestKind(TeamId('team-3'), MODEL)
    far = estimator.estimate(longer).survive(0, 500)
    assert far > estimator.estimate(KIND).survive(0, 500)
    assert far > estimator.estimate(unknown).survive(0, 500)


def test_forgets_what_is_long_past() -> None:
    estimator = learn([100 for _ in range(6000)])
    for _ in range(12_000):
        estimator.observe_end(KIND, 0, Tokens(3000))
    far = estimator.estimate(KIND).survive(0, 1000)
    assert far * 100 > 75


def test_bounds_the_teams_it_keeps() -> None:
    estimator = LengthEstimator(most_teams=10)
    for number in range(100):
        kind = RequestKind(TeamId(f'team-{number}'), MODEL)
        estimator.observe_end(kind, 0, Tokens(100))
    assert estimator.count_teams() == 10


def test_size_class_follows_the_bound() -> None:
    assert classify(64) is SizeClass.short
    assert classify(30_000) is SizeClass.free
    assert EDGES[0] == 0
