"""Tests of limits by the evidence that a target is warm."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chicoryshunt.policy.admission import Limit
from chicoryshunt.policy.warming import StateCause, WarmupLimiter
from chicoryshunt.types import Seconds, TargetState

DECLARED = Limit(64, 60_000)
GOAL = Seconds(0.028)
GOOD = Seconds(0.03)
SLOW = Seconds(0.25)


def build_warm() -> WarmupLimiter:
    warmth = WarmupLimiter(DECLARED, GOAL)
    warmth.record_start(1)
    while warmth.state is not TargetState.warm:
        warmth.record_work(10_000, GOOD, 64)
    return warmth


def test_starts_small_and_grows_by_work() -> None:
    warmth = WarmupLimiter(DECLARED, GOAL)
    warmth.record_start(1)
    first = warmth.limit
    assert first.slots <= 4
    warmth.record_work(64, GOOD, first.slots)
    assert first.slots < warmth.limit.slots <= 2 * first.slots
    assert warmth.state is TargetState.warming
    assert build_warm().limit == DECLARED


def test_does_not_grow_while_idle_or_slow() -> None:
    warmth = WarmupLimiter(DECLARED, GOAL)
    first = warmth.limit
    warmth.record_work(0, GOOD, 64)
    warmth.record_work(10_000, GOOD, 0)
    warmth.record_work(10_000, SLOW, 64)
    assert warmth.limit == first


def test_a_new_start_drops_the_limit_at_once() -> None:
    warmth = build_warm()
    assert warmth.record_start(1) is None
    change = warmth.record_start(2)
    assert change is not None
    assert change.cause is StateCause.new_start
    assert warmth.state is TargetState.starting
    assert warmth.limit.slots < 5


def test_finds_an_unannounced_cold_start() -> None:
    warmth = build_warm()
    changes = [warmth.record_work(100, SLOW, 40) for _ in range(5)]
    found = [change for change in changes if change is not None]
    assert [change.cause for change in found] == [StateCause.latency]
    assert warmth.state is TargetState.suspect
    assert warmth.limit.slots < 5


def test_one_slow_step_is_no_cold_start() -> None:
    warmth = build_warm()
    for step in (SLOW, SLOW, GOOD, SLOW, SLOW, GOOD):
        warmth.record_work(100, step, 40)
    assert warmth.state is TargetState.warm


def test_a_refusal_drops_the_limit_and_rests() -> None:
    warmth = build_warm()
    warmth.record_refusal(10)
    assert warmth.state is TargetState.suspect
    assert warmth.is_paused(10.5)
    assert not warmth.is_paused(12)


def test_a_raised_limit_is_reached_by_evidence() -> None:
    warmth = build_warm()
    warmth.set_declared_limit(Limit(128, 120_000))
    assert warmth.limit.slots == 64
    warmth.set_declared_limit(Limit(8, 8000))
    assert warmth.limit == Limit(8, 8000)


def test_a_drop_never_raises_the_limit() -> None:
    warmth = WarmupLimiter(DECLARED, GOAL)
    first = warmth.limit.slots
    warmth.set_declared_limit(Limit(1000, 60_000))
    warmth.record_disconnect()
    assert warmth.limit.slots == first


def test_a_target_declared_again_starts_small() -> None:
    warmth = build_warm()
    warmth.set_declared_limit(Limit(0, 0))
    assert warmth.limit.slots == 0
    warmth.set_declared_limit(DECLARED)
    assert 0 < warmth.limit.slots < 5


class WarmthMachine(RuleBasedStateMachine):
    """The limit never grows without evidence or past what is declared."""

    def __init__(self) -> None:
        super().__init__()
        self.declared = DECLARED
        self.warmth = WarmupLimiter(DECLARED, GOAL)
        self.now: float = 0
        self.before = self.warmth.limit

    @rule(
        tokens=st.integers(0, 5000),
        step=st.floats(0.001, 0.5),
        running=st.integers(0, 70),
    )
    def work(self, tokens: int, step: float, running: int) -> None:
        limit = self.warmth.limit
        self.warmth.record_work(tokens, Seconds(step), running)
        grown = self.warmth.limit.slots > limit.slots
        if grown:
            assert tokens
            assert step <= GOAL * 2.5
            assert running >= limit.slots / 2
            assert self.warmth.limit.slots <= 2 * limit.slots + 1
        self.before = self.warmth.limit

    @rule(start=st.integers(1, 3))
    def start(self, start: int) -> None:
        self.warmth.record_start(start)

    @rule()
    def lose(self) -> None:
        self.warmth.record_disconnect()
        assert self.warmth.state is TargetState.starting

    @rule()
    def refuse(self) -> None:
        self.now += 1
        self.warmth.record_refusal(self.now)

    @rule(slots=st.integers(0, 128), memory=st.integers(0, 100_000))
    def declare(self, slots: int, memory: int) -> None:
        self.declared = Limit(slots, memory)
        limit = self.warmth.limit
        self.warmth.set_declared_limit(self.declared)
        first = max(1, slots * 6 // 100)
        assert self.warmth.limit.slots <= (limit.slots or first)
        self.before = self.warmth.limit

    @invariant()
    def never_above_what_is_declared(self) -> None:
        limit = self.warmth.limit
        assert limit.slots <= self.declared.slots
        assert limit.memory_tokens <= self.declared.memory_tokens

    @invariant()
    def only_work_raises(self) -> None:
        assert self.warmth.limit.slots <= self.before.slots
        self.before = self.warmth.limit


WarmthMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
)
TestWarmth = WarmthMachine.TestCase
