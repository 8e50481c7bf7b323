"""Bounds that hold for the whole fleet, and targets that fail."""

from random import Random

import pytest

from chicoryshunt.dispatch.cold_start import ColdStartLimiter
from chicoryshunt.dispatch.outliers import ExchangeOutcome, OutlierDetector
from chicoryshunt.dispatch.retry_budget import FleetRetryBudget, RetryBound
from chicoryshunt.dispatch.services import ServiceTarget, choose_target
from chicoryshunt.types import DataCentreId, ServiceId, TargetId
from tests.fleet_builders import AWAY, HOME

SERVICE = ServiceId('plain')
BOUND = RetryBound(ratio=0.2, slack=58, window_seconds=10)
NODES = 9


@pytest.mark.parametrize('seed', range(4))
def test_all_nodes_together_stay_within_the_bound(seed: int) -> None:
    """Replays a service that fails every request, for half a minute."""
    rng = Random(seed)
    budgets = [FleetRetryBudget(BOUND) for _ in range(NODES)]
    firsts: list[float] = []
    extras: list[float] = []
    now: float = 0
    while now < 30:
        now += rng.expovariate(80)
        budget = rng.choice(budgets)
        budget.record_first(SERVICE, now)
        firsts.append(now)
        if budget.spend(SERVICE, NODES, now):
            extras.append(now)

    for end in extras:
        begin = end - BOUND.window_seconds
        spent = sum(begin < one <= end for one in extras)
        asked = sum(begin < one <= end for one in firsts)
        assert spent <= BOUND.ratio * asked + BOUND.slack


def test_a_lone_failure_is_tried_again() -> None:
    budget = FleetRetryBudget(BOUND)
    budget.record_first(SERVICE, 0)

    assert budget.spend(SERVICE, NODES, 0)


@pytest.mark.parametrize('nodes', [1, 9, 79])
def test_a_cold_target_gets_no_more_than_it_bears(nodes: int) -> None:
    """Replays nodes that all find the target that came back the best."""
    gates = [ColdStartLimiter() for _ in range(nodes)]
    target = TargetId('cold')
    per_second = 37.0
    sent: list[float] = []
    for step in range(500):
        now = step / 100
        for gate in gates:
            if gate.has_token(target, per_second, nodes, now):
                gate.consume(target)
                sent.append(now)

    for begin in sent:
        count = sum(begin <= one < begin + 1 for one in sent)
        # One request may be saved up on each node.
        assert count <= per_second + max(nodes, per_second) + 1


def test_a_silent_target_is_paused_and_let_back() -> None:
    outliers = OutlierDetector()
    target = TargetId('t1')

    assert not outliers.record(target, ExchangeOutcome.silent, 0)
    assert outliers.record(target, ExchangeOutcome.silent, 0.1)
    assert outliers.is_paused(target, 0.5)
    assert not outliers.is_paused(target, 1.2)


def test_pauses_grow_while_a_target_fails() -> None:
    outliers = OutlierDetector()
    target = TargetId('t1')
    now: float = 0
    pauses = []
    for _ in range(6):
        while not outliers.record(target, ExchangeOutcome.unreachable, now):
            now += 0.01
        begin = now
        while outliers.is_paused(target, now):
            now += 0.05
        pauses.append(now - begin)

    assert pauses[-1] > pauses[0] * 4
    assert max(pauses) < 9


def test_failures_that_all_share_pause_nobody() -> None:
    """Replays reads of which every target fails one in seven."""
    outliers = OutlierDetector()
    rng = Random(3)
    targets = [TargetId(f't{one}') for one in range(3)]
    paused = 0
    for step in range(3000):
        failed = rng.choices((True, False), (14, 86))[0]
        outcome = ExchangeOutcome.failed if failed else ExchangeOutcome.answered
        paused += outliers.record(rng.choice(targets), outcome, step / 20)

    assert paused <= 15


def test_a_grey_target_is_found_among_its_peers() -> None:
    """Replays a target that fails half of its calls while it looks well."""
    outliers = OutlierDetector()
    rng = Random(3)
    grey = TargetId('grey')
    targets = [grey, TargetId('t1'), TargetId('t2')]
    for step in range(200):
        target = rng.choice(targets)
        weights = (50, 50) if target == grey else (5, 95)
        failed = rng.choices((True, False), weights)[0]
        outcome = ExchangeOutcome.failed if failed else ExchangeOutcome.answered
        if outliers.record(target, outcome, step / 20):
            assert target == grey
            return
    pytest.fail('the grey target was never paused')


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
def test_a_sound_near_target_is_used(
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
