"""Tests of retry and hedge budgets."""

import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chicoryshunt.policy.budget import (
    Denial,
    ExtraAllowed,
    HedgeCandidate,
    RetryBudget,
    decide_hedge,
)
from chicoryshunt.types import Seconds, TeamId

TEAM = TeamId('team-1')
OTHER = TeamId('team-2')
FIRST_TOKENS = 10
TOKENS_PER_SECOND = 0.1


def spend_all(budget: RetryBudget, now: float) -> int:
    spent = 0
    while isinstance(budget.spend(TEAM, now), ExtraAllowed):
        spent += 1
    return spent


def test_an_outage_cannot_multiply_the_load() -> None:
    budget = RetryBudget()
    spent = 0
    for _ in range(1000):
        budget.record_first(TEAM, 0.1, 0)
        spent += isinstance(budget.spend(TEAM, 0), ExtraAllowed)
    assert spent <= 1000 * 0.1 + FIRST_TOKENS


def test_teams_do_not_share_a_budget() -> None:
    budget = RetryBudget()
    assert spend_all(budget, 0) == FIRST_TOKENS
    assert isinstance(budget.spend(OTHER, 0), ExtraAllowed)


def test_a_rare_retry_is_possible_again_with_time() -> None:
    budget = RetryBudget()
    spend_all(budget, 0)
    assert budget.spend(TEAM, 5) is Denial.budget_spent
    assert isinstance(budget.spend(TEAM, 11), ExtraAllowed)


def test_full_accounts_are_forgotten() -> None:
    budget = RetryBudget(most_teams=1)
    budget.spend(TEAM, 0)
    assert budget.spend(OTHER, 0) is Denial.budget_spent
    budget.prune(100)
    assert not len(budget)
    assert isinstance(budget.spend(OTHER, 100), ExtraAllowed)


def test_hedges_only_what_may_run_twice() -> None:
    budget = RetryBudget()
    late = Seconds(1)
    after = Seconds(0.5)
    once = HedgeCandidate(TEAM, False, 0, late)
    started = HedgeCandidate(TEAM, True, 3, late)
    early = HedgeCandidate(TEAM, True, 0, Seconds(0.1))
    fit = HedgeCandidate(TEAM, True, 0, late)
    assert decide_hedge(once, after, budget, 0) is Denial.not_repeatable
    assert decide_hedge(started, after, budget, 0) is Denial.tokens_delivered
    assert decide_hedge(early, after, budget, 0) is Denial.too_early
    assert isinstance(decide_hedge(fit, after, budget, 0), ExtraAllowed)


class BudgetMachine(RuleBasedStateMachine):
    """Extra tries never exceed the ratio, the start and the time."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = RetryBudget()
        self.now: float = 0
        self.earned: float = FIRST_TOKENS
        self.spent = 0

    @rule(ratio=st.floats(0, 1))
    def first(self, ratio: float) -> None:
        self.budget.record_first(TEAM, ratio, self.now)
        self.earned += ratio

    @rule()
    def retry(self) -> None:
        if isinstance(self.budget.spend(TEAM, self.now), ExtraAllowed):
            self.spent += 1

    @rule(seconds=st.floats(0, 20))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.earned += seconds * TOKENS_PER_SECOND

    @rule()
    def prune(self) -> None:
        self.budget.prune(self.now)

    @invariant()
    def spends_what_was_earned(self) -> None:
        bound = self.earned
        assert self.spent <= bound or math.isclose(self.spent, bound)


BudgetMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=60,
)
TestBudget = BudgetMachine.TestCase
