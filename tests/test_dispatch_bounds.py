"""Tests of fleet-wide limits, outlier detection and target choice."""

from random import Random

import pytest

from chicoryshunt.dispatch.cold_start import (
    ColdShare,
    ColdStartLimiter,
    allows_announced,
)
from chicoryshunt.dispatch.engines import Announcement
from chicoryshunt.dispatch.outliers import ExchangeOutcome, OutlierDetector
from chicoryshunt.dispatch.retry_budget import FleetRetryBudget, RetryBound
from chicoryshunt.dispatch.services import ServiceTarget, choose_target
from chicoryshunt.fleet.arrivals import Arrivals
from chicoryshunt.types import DataCentreId, RequestId, ServiceId, TargetId
from tests.fleet_builders import AWAY, HOME

SERVICE = ServiceId('plain')
BOUND = RetryBound(ratio=0.2, slack=58, window_seconds=10)
NODES = 9
COLD = TargetId('cold')


@pytest.mark.parametrize('seed', range(4))
def test_all_nodes_together_stay_within_the_bound(seed: int) -> None:
    """A failing service gets bounded retries from all nodes together."""
    rng = Random(seed)
    retry_budgets = [FleetRetryBudget(BOUND) for _ in range(NODES)]
    first_attempts: list[float] = []
    retries: list[float] = []
    now: float = 0
    while now < 30:
        now += rng.expovariate(80)
        budget = rng.choice(retry_budgets)
        budget.record_first(SERVICE, now)
        first_attempts.append(now)
        if budget.spend(SERVICE, NODES, now):
            retries.append(now)

    for end in retries:
        begin = end - BOUND.window_seconds
        spent = sum(begin < one <= end for one in retries)
        attempted = sum(begin < one <= end for one in first_attempts)
        assert spent <= BOUND.ratio * attempted + BOUND.slack


def test_a_lone_failure_is_tried_again() -> None:
    budget = FleetRetryBudget(BOUND)
    budget.record_first(SERVICE, 0)

    assert budget.spend(SERVICE, NODES, 0)


@pytest.mark.parametrize('per_second', [19.0, 37.0])
@pytest.mark.parametrize('nodes', [1, 9, 79, 195, 360])
def test_a_cold_target_gets_no_more_than_its_rate(
    nodes: int, per_second: float
) -> None:
    """Every node prefers a restarted target, for it is the least loaded."""
    rng = Random(nodes)
    limiters = [ColdStartLimiter(rng) for _ in range(nodes)]
    share = ColdShare(per_second / nodes, is_announced=False)
    sent: list[float] = []
    for step in range(500):
        now = step / 100
        for limiter in limiters:
            if limiter.has_token(COLD, share, now):
                limiter.consume(COLD)
                sent.append(now)

    assert max(_count_in_a_second(sent)) <= per_second * 1.5 + 5
    # Nor do the nodes starve it.
    assert len(sent) > per_second * 4 * 0.8


@pytest.mark.parametrize('nodes', [9, 195, 360])
def test_announced_runs_keep_the_cold_rate(nodes: int) -> None:
    """Any node may use the rate that the others leave."""
    workloads = [Arrivals() for _ in range(nodes)]
    rng = Random(nodes)
    sent: list[float] = []
    now: float = 0
    for number in range(600):
        now += rng.expovariate(120)
        arrivals = rng.choice(workloads)
        if not allows_announced(arrivals.count(COLD, now), 19):
            continue
        sent.append(now)
        for other in workloads:
            other.record(COLD, RequestId(f'r{number}'), now)

    assert max(_count_in_a_second(sent)) <= 19
    assert len(sent) >= now * 19 * 0.7


def test_crossing_runs_keep_the_cold_rate() -> None:
    """Sixty nodes choose a cold target before they hear of each other."""
    arrivals = Arrivals()
    own = [Announcement(RequestId(f'r{one:02}'), 5) for one in range(60)]
    for one in own:
        arrivals.record(COLD, one.request, one.placed)

    kept = [
        one
        for one in own
        if allows_announced(arrivals.count_preceding(COLD, one, 5.01), 19)
    ]

    assert 10 < len(kept) <= 19


def _count_in_a_second(sent: list[float]) -> list[int]:
    return [sum(begin <= one < begin + 1 for one in sent) for begin in sent]


def test_a_silent_target_is_paused_and_resumes() -> None:
    detector = OutlierDetector()
    target = TargetId('t1')

    assert not detector.record(target, ExchangeOutcome.silent, 0)
    assert detector.record(target, ExchangeOutcome.silent, 0.1)
    assert detector.is_paused(target, 0.5)
    assert not detector.is_paused(target, 1.2)


def test_pauses_grow_while_a_target_fails() -> None:
    detector = OutlierDetector()
    target = TargetId('t1')
    now: float = 0
    pauses = []
    for _ in range(6):
        while not detector.record(target, ExchangeOutcome.unreachable, now):
            now += 0.01
        begin = now
        while detector.is_paused(target, now):
            now += 0.05
        pauses.append(now - begin)

    assert pauses[-1] > pauses[0] * 4
    assert max(pauses) < 9


def test_failures_of_all_targets_rarely_pause_one() -> None:
    """If all targets fail 14 % of the requests, none stands out."""
    detector = OutlierDetector()
    rng = Random(3)
    targets = [TargetId(f't{one}') for one in range(3)]
    paused = 0
    for step in range(3000):
        failed = rng.choices((True, False), (14, 86))[0]
        outcome = ExchangeOutcome.failed if failed else ExchangeOutcome.answered
        paused += detector.record(rng.choice(targets), outcome, step / 20)

    assert paused <= 15


def test_a_partially_failing_target_is_paused() -> None:
    """Detects a target that fails half of its calls, unlike its peers."""
    detector = OutlierDetector()
    rng = Random(3)
    failing = TargetId('grey')
    targets = [failing, TargetId('t1'), TargetId('t2')]
    for step in range(200):
        target = rng.choice(targets)
        weights = (50, 50) if target == failing else (5, 95)
        failed = rng.choices((True, False), weights)[0]
        outcome = ExchangeOutcome.failed if failed else ExchangeOutcome.answered
        if detector.record(target, outcome, step / 20):
            assert target == failing
            return
    pytest.fail('the failing target was never paused')


def _build_target(
    name: str,
    data_centre: DataCentreId = HOME,
    open_calls: int = 0,
    failure_rate: float = 0,
) -> ServiceTarget:
    return ServiceTarget(
        TargetId(name),
        data_centre,
        6,
        open_calls,
        failure_rate,
    )


@pytest.mark.parametrize(
    ('near', 'far', 'chosen'),
    [
        ({}, {}, 'near'),
        ({'open_calls': 4}, {}, 'near'),
        ({'open_calls': 6}, {}, 'far'),
        ({'failure_rate': 0.5}, {}, 'far'),
        ({'failure_rate': 0.5}, {'failure_rate': 0.5}, 'near'),
    ],
)
def test_a_healthy_local_target_is_preferred(
    near: dict[str, float],
    far: dict[str, float],
    chosen: str,
) -> None:
    targets = [
        _build_target('near', **near),  # type: ignore[arg-type]
        _build_target('far', AWAY, **far),  # type: ignore[arg-type]
    ]

    assert choose_target(targets, HOME) == chosen


def test_without_targets_there_is_no_choice() -> None:
    assert choose_target([], HOME) is None
