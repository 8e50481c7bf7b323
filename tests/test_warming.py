"""Tests of the limit of a target that warms up."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chicoryshunt.policy.admission import Limit
from chicoryshunt.policy.warming import StateCause, WarmupLimiter
from chicoryshunt.types import Seconds, TargetState

DECLARED = Limit(64, 60_000)
STEP_GOAL = Seconds(0.028)
GOOD_STEP = Seconds(0.03)
SLOW_STEP = Seconds(0.25)


def build_warm() -> WarmupLimiter:
    limiter = WarmupLimiter(DECLARED, STEP_GOAL)
    limiter.record_start(1)
    while limiter.state is not TargetState.warm:
        limiter.record_work(10_000, GOOD_STEP, 64)
    return limiter


def test_starts_small_and_grows_by_work() -> None:
    limiter = WarmupLimiter(DECLARED, STEP_GOAL)
    limiter.record_start(1)
    first = limiter.limit
    assert first.slots <= 4
    limiter.record_work(64, GOOD_STEP, first.slots)
    assert first.slots < limiter.limit.slots <= 2 * first.slots
    assert limiter.state is TargetState.warming
    assert build_warm().limit == DECLARED


def test_does_not_grow_while_idle_or_slow() -> None:
    limiter = WarmupLimiter(DECLARED, STEP_GOAL)
    first = limiter.limit
    limiter.record_work(0, GOOD_STEP, 64)
    limiter.record_work(10_000, GOOD_STEP, 0)
    limiter.record_work(10_000, SLOW_STEP, 64)
    assert limiter.limit == first


def test_a_new_start_drops_the_limit_at_once() -> None:
    limiter = build_warm()
    assert limiter.record_start(1) is None
    change = limiter.record_start(2)
    assert change is not None
    assert change.cause is StateCause.new_start
    assert limiter.state is TargetState.starting
    assert limiter.limit.slots < 5


def test_finds_an_unannounced_cold_start() -> None:
    limiter = build_warm()
    changes = [limiter.record_work(100, SLOW_STEP, 40) for _ in range(5)]
    found = [change for change in changes if change is not None]
    assert [change.cause for change in found] == [StateCause.latency]
    assert limiter.state is TargetState.suspect
    assert limiter.limit.slots < 5


def test_few_slow_steps_are_no_cold_start() -> None:
    limiter = build_warm()
    for step in (
        SLOW_STEP,
        SLOW_STEP,
        GOOD_STEP,
        SLOW_STEP,
        SLOW_STEP,
        GOOD_STEP,
    ):
        limiter.record_work(100, step, 40)
    assert limiter.state is TargetState.warm


def test_a_refusal_drops_the_limit_and_pauses() -> None:
    limiter = build_warm()
    limiter.record_refusal(10)
    assert limiter.state is TargetState.suspect
    assert limiter.is_paused(10.5)
    assert not limiter.is_paused(12)


def test_a_raised_limit_is_reached_by_work() -> None:
    limiter = build_warm()
    limiter.set_declared_limit(Limit(128, 120_000))
    assert limiter.limit.slots == 64
    limiter.set_declared_limit(Limit(8, 8000))
    assert limiter.limit == Limit(8, 8000)


def test_a_drop_never_raises_the_limit() -> None:
    limiter = WarmupLimiter(DECLARED, STEP_GOAL)
    first = limiter.limit.slots
    limiter.set_declared_limit(Limit(1000, 60_000))
    limiter.record_unreachable()
    assert limiter.limit.slots == first


def test_a_target_declared_again_starts_small() -> None:
    limiter = build_warm()
    limiter.set_declared_limit(Limit(0, 0))
    assert limiter.limit.slots == 0
    limiter.set_declared_limit(DECLARED)
    assert 0 < limiter.limit.slots < 5


class WarmupMachine(RuleBasedStateMachine):
    """The limit grows only with work and never exceeds the declared one."""

    def __init__(self) -> None:
        super().__init__()
        self.declared = DECLARED
        self.limiter = WarmupLimiter(DECLARED, STEP_GOAL)
        self.now: float = 0
        self.before = self.limiter.limit

    @rule(
        tokens=st.integers(0, 5000),
        step=st.floats(0.001, 0.5),
        running=st.integers(0, 70),
    )
    def work(self, tokens: int, step: float, running: int) -> None:
        limit = self.limiter.limit
        self.limiter.record_work(tokens, Seconds(step), running)
        grown = self.limiter.limit.slots > limit.slots
        if grown:
            assert tokens
            assert step <= STEP_GOAL * 2.5
            assert running >= limit.slots / 2
            assert self.limiter.limit.slots <= 2 * limit.slots + 1
        self.before = self.limiter.limit

    @rule(start=st.integers(1, 3))
    def start(self, start: int) -> None:
        self.limiter.record_start(start)

    @rule()
    def lose(self) -> None:
        self.limiter.record_unreachable()
        assert self.limiter.state is TargetState.starting

    @rule()
    def refuse(self) -> None:
        self.now += 1
        self.limiter.record_refusal(self.now)

    @rule(slots=st.integers(0, 128), memory=st.integers(0, 100_000))
    def declare(self, slots: int, memory: int) -> None:
        self.declared = Limit(slots, memory)
        limit = self.limiter.limit
        self.limiter.set_declared_limit(self.declared)
        first = max(1, slots * 6 // 100)
        assert self.limiter.limit.slots <= (limit.slots or first)
        self.before = self.limiter.limit

    @invariant()
    def never_above_what_is_declared(self) -> None:
        limit = self.limiter.limit
        assert limit.slots <= self.declared.slots
        assert limit.memory_tokens <= self.declared.memory_tokens

    @invariant()
    def only_work_raises(self) -> None:
        assert self.limiter.limit.slots <= self.before.slots
        self.before = self.limiter.limit


WarmupMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
)
TestWarmup = WarmupMachine.TestCase
