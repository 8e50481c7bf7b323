"""Tests of the order in which requests are served."""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chicoryshunt.policy.queue import (
    FairQueue,
    QueuedRequest,
    compute_engine_priority,
)
from chicoryshunt.types import TeamId
from tests.builders import build_queued, build_spec

TEAMS = st.sampled_from(('team-1', 'team-2', 'team-3'))


def drain(queue: FairQueue, count: int) -> list[QueuedRequest]:
    taken = [queue.pop() for _ in range(count)]
    return [one for one in taken if one is not None]


def test_a_burst_waits_behind_other_teams() -> None:
    queue = FairQueue()
    for number in range(100):
        queue.push(build_queued(f'burst-{number}', 'team-1'))
    drain(queue, 10)
    queue.push(build_queued('calm', 'team-2'))
    names = [one.spec.request for one in drain(queue, 2)]
    assert 'calm' in names


def test_teams_share_by_weight() -> None:
    queue = FairQueue()
    for number in range(100):
        for team, weight in (('team-1', 1), ('team-2', 3)):
            request = f'{team}-{number}'
            queue.push(build_queued(request, team, weight=weight))
    served = Counter(one.team for one in drain(queue, 80))
    assert abs(served[TeamId('team-2')] - 60) <= 2


def test_less_work_goes_first_within_a_team() -> None:
    queue = FairQueue()
    queue.push(build_queued('long', work=2000))
    queue.push(build_queued('short', work=10))
    assert drain(queue, 1)[0].spec.request == 'short'


def test_waiting_makes_up_for_work() -> None:
    """Without ageing a stream of short requests would starve a long one."""
    queue = FairQueue()
    queue.push(build_queued('long', arrived=0, work=100_000))
    served: list[str] = []
    for second in range(20):
        queue.push(build_queued(f'short-{second}', arrived=second, work=10))
        served.extend(one.spec.request for one in drain(queue, 1))
    assert 'long' in served


def test_priority_goes_first_but_cannot_starve() -> None:
    queue = FairQueue()
    queue.push(build_queued('old', arrived=0))
    queue.push(build_queued('urgent', arrived=1, priority=9))
    queue.push(build_queued('late', arrived=10, priority=9))
    names = [one.spec.request for one in drain(queue, 3)]
    assert names == ['urgent', 'old', 'late']


def test_idle_teams_save_nothing_up() -> None:
    queue = FairQueue()
    for number in range(50):
        queue.push(build_queued(f'a-{number}', 'team-1'))
    drain(queue, 40)
    for number in range(50):
        queue.push(build_queued(f'b-{number}', 'team-2'))
    served = Counter(one.team for one in drain(queue, 20))
    assert served[TeamId('team-1')] >= 9


def test_work_ahead_leaves_out_bursts_of_others() -> None:
    queue = FairQueue()
    for number in range(100):
        queue.push(build_queued(f'burst-{number}', 'team-1'))
    same = queue.compute_work_ahead(build_queued('x', 'team-1', arrived=1))
    other = queue.compute_work_ahead(build_queued('x', 'team-2', arrived=1))
    assert same == 100 * 100
    assert other <= 200


def test_expires_what_is_late() -> None:
    queue = FairQueue()
    queue.push(build_queued('old', arrived=0))
    queue.push(build_queued('new', arrived=5))
    assert [one.spec.request for one in queue.expire(3)] == ['old']
    assert len(queue) == 1


def test_engines_preempt_large_prompts_first() -> None:
    large = compute_engine_priority(build_spec(prompt_tokens=4000))
    small = compute_engine_priority(build_spec(prompt_tokens=50))
    short = compute_engine_priority(
        build_spec(prompt_tokens=4000, max_tokens=16)
    )
    urgent = compute_engine_priority(build_spec(prompt_tokens=4000, priority=1))
    assert sorted((urgent, short, small, large)) == [
        large,
        small,
        short,
        urgent,
    ]


class QueueMachine(RuleBasedStateMachine):
    """Every request leaves the queue once, and none is passed for ever."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = FairQueue()
        self.waiting: dict[str, QueuedRequest] = {}
        self.passed: Counter[str] = Counter()
        self.now = 0
        self.pushed = 0

    @rule(
        team=TEAMS,
        work=st.floats(1, 100_000),
        priority=st.integers(-9, 9),
        weight=st.integers(1, 9),
    )
    def push(self, team: str, work: float, priority: int, weight: int) -> None:
        self.pushed += 1
        self.now += 1
        request = f'r{self.pushed}'
        waiting = build_queued(
            request,
            team,
            self.now,
            work,
            priority=priority,
            weight=weight,
        )
        self.queue.push(waiting)
        self.waiting[request] = waiting

    @rule()
    def pop(self) -> None:
        head = self.queue.peek()
        taken = self.queue.pop()
        assert taken is head
        if taken is None:
            assert not self.waiting
            return
        self.waiting.pop(taken.spec.request)
        for waiting in self.waiting.values():
            if taken.team == waiting.team:
                assert taken.rank <= waiting.rank

    @rule()
    def restore(self) -> None:
        taken = self.queue.pop()
        if taken is not None:
            self.queue.restore(taken)

    @rule(age=st.integers(0, 30))
    def expire(self, age: int) -> None:
        for late in self.queue.expire(self.now - age):
            assert late.arrived < self.now - age
            self.waiting.pop(late.spec.request)

    @invariant()
    def holds_what_was_pushed(self) -> None:
        held = {one.spec.request for one in self.queue}
        assert held == set(self.waiting)
        assert len(self.queue) == len(self.waiting)

    @invariant()
    def rank_is_bounded_by_age(self) -> None:
        for waiting in self.waiting.values():
            assert abs(waiting.rank - waiting.arrived) <= 10


QueueMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=40,
)
TestQueue = QueueMachine.TestCase
