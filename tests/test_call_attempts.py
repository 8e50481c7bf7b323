"""Tests of further attempts at calls, in virtual time."""

import asyncio
from collections.abc import Iterable, Iterator
from random import Random

import pytest

from chicoryshunt.dispatch.retry_budget import FleetRetryBudget, RetryBound
from chicoryshunt.relay.results import Delivered
from chicoryshunt.types import Reason, RunState
from chicoryshunt.verdict import Verdict
from tests.call_builders import (
    CUT,
    NEVER,
    NOT_RUN,
    SERVICE,
    UNREACHABLE,
    CallTrial,
    Reply,
)
from tests.virtual_loop import run_virtual

LATENCY = 0.2
HEDGE = 0.12
TIMEOUT = 0.8
NO_BUDGET = RetryBound(0, 0, 10)
SLOW_SHARE = 0.25
# Share of one node of 80, and its time from one call to the next.
SMALL_BUDGET = RetryBound(0.2, 58 / 80, 10)
PAUSE = 240 / 820
HANG = Reply(NEVER)
REFUSAL = Reply(0.3, NOT_RUN)
UNCONNECTED = Reply(0, connecting=NEVER)


def _relay(trial: CallTrial) -> tuple[Delivered | Verdict, float]:
    """Return the result and its time; check that nothing is left open."""

    async def run() -> tuple[Delivered | Verdict, float]:
        result = await trial.relay()
        assert asyncio.all_tasks() == {asyncio.current_task()}
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(0)
        assert not trial.context.open_calls
        return result, now

    return run_virtual(run())


@pytest.mark.parametrize(
    ('first', 'second', 'seconds', 'responder', 'silent'),
    [
        (0.3, 0.03, 0.15, 'second', 0),
        (0.3, 0.13, 0.25, 'second', 1),
        (0.19, 0.5, 0.19, 'first', 0),
        (NEVER, 0.6, 0.72, 'second', 1),
    ],
)
def test_the_faster_attempt_answers(
    first: float,
    second: float,
    seconds: float,
    responder: str,
    silent: int,
) -> None:
    """Guards against calls that end although a target would answer.

    An attempt that is overtaken within the target latency is not a failure of
    its target.
    """
    trial = CallTrial([Reply(first), Reply(second)])
    result, ended = _relay(trial)

    assert ended == pytest.approx(seconds)
    lost, won = trial.connections
    if responder == 'first':
        lost, won = won, lost
    assert isinstance(result, Delivered) and result.target == won.address
    assert (lost.is_aborted, won.is_aborted) == (True, False)
    metrics = trial.context.metrics
    assert metrics.get('second_attempts', answered=responder) == 1
    assert metrics.get('exchanges', outcome='silent') == silent


def test_a_target_that_hangs_is_avoided() -> None:
    """Guards against a target that gets every call but answers none."""
    answer = Reply(0.03)
    trial = CallTrial([HANG, answer, HANG, answer, answer])
    metrics = trial.context.metrics
    silent = []
    for _ in range(3):
        _relay(trial)
        silent.append(metrics.get('exchanges', outcome='silent'))

    assert silent == [0, 1, 1]
    assert trial.list_sent() == ['t0', 't1', 't0', 't1', 't1']


@pytest.mark.parametrize(
    'trial',
    [
        CallTrial([Reply(0.11)]),
        CallTrial([Reply(0.7)], bound=NO_BUDGET),
        CallTrial([Reply(0.7)], targets=1),
        CallTrial([Reply(0.7)], changes={'max_attempts': 1}),
        CallTrial([Reply(0.7)], changes={'is_repeatable': False}),
    ],
)
def test_a_single_attempt_keeps_its_time(trial: CallTrial) -> None:
    """Guards against giving up a single attempt, and against a forbidden one.

    No retry is spent if no second attempt starts.
    """
    result, ended = _relay(trial)

    assert isinstance(result, Delivered)
    assert ended == pytest.approx(trial.replies[0].seconds)
    assert trial.list_sent() == ['t0']
    assert not trial.budget.spent


@pytest.mark.parametrize('changes', [{}, {'max_attempts': 3}])
def test_a_hanging_call_runs_at_two_targets(
    changes: dict[str, object],
) -> None:
    """Guards against copies of a call at further targets when all hang."""
    trial = CallTrial([HANG, HANG], changes=changes)
    result, ended = _relay(trial)

    assert isinstance(result, Verdict)
    assert result.reason is Reason.target_timeout
    assert ended == pytest.approx(TIMEOUT)
    assert trial.list_sent() == ['t0', 't1']
    assert all(one.is_aborted for one in trial.connections)


@pytest.mark.parametrize('status', [500, NOT_RUN, CUT, UNREACHABLE], ids=str)
def test_a_failure_starts_the_next_attempt(status: int) -> None:
    """Guards against waiting for a target that has already failed."""
    trial = CallTrial([Reply(0.01, status), Reply(0.02)])
    result, ended = _relay(trial)

    assert isinstance(result, Delivered)
    assert (result.target, result.status) == ('t1', 200)
    assert ended <= 0.03 + 1e-9
    assert trial.context.metrics.get('second_attempts', answered='second') == 0


def test_an_error_waits_for_the_other_attempt() -> None:
    """Guards against a failure that ends a call which still runs."""
    trial = CallTrial([Reply(0.5), Reply(0.01, 500)])
    result, ended = _relay(trial)

    assert isinstance(result, Delivered)
    assert (result.target, result.status) == ('t0', 200)
    assert ended == pytest.approx(0.5)


def test_the_first_error_is_returned_if_all_fail() -> None:
    """Guards against losing the answer of a target to a later failure."""
    trial = CallTrial([Reply(0.3, 502), Reply(0.01, 500)])
    result, ended = _relay(trial)

    assert isinstance(result, Delivered)
    assert (result.target, result.status) == ('t1', 500)
    assert ended == pytest.approx(0.3)
    count = trial.context.metrics.get('second_attempts', answered='neither')
    assert count == 1


@pytest.mark.parametrize(
    ('replies', 'run'),
    [
        ([HANG, Reply(0.01, NOT_RUN), Reply(0.01, NOT_RUN)], True),
        ([REFUSAL, HANG, HANG], True),
        ([REFUSAL, Reply(0.3, CUT), Reply(0.01, NOT_RUN)], True),
        ([REFUSAL, REFUSAL, REFUSAL], False),
        ([UNCONNECTED, REFUSAL, UNCONNECTED], False),
    ],
)
def test_the_verdict_covers_all_attempts(
    replies: list[Reply], run: bool
) -> None:
    """Guards against a caller that repeats what one attempt may have run."""
    result, ended = _relay(CallTrial(replies))

    assert isinstance(result, Verdict)
    assert (result.run is RunState.may_have_run) is run
    assert ended <= TIMEOUT + 1e-9


@pytest.mark.parametrize('connecting', [0, NEVER])
def test_attempts_end_when_the_caller_leaves(connecting: float) -> None:
    """Guards against attempts that go on without a caller."""
    trial = CallTrial([HANG, Reply(NEVER, connecting=connecting)])

    async def leave() -> None:
        relaying = asyncio.ensure_future(trial.relay())
        await asyncio.sleep(HEDGE + 0.01)
        relaying.cancel()
        await asyncio.wait([relaying])

        assert relaying.cancelled()
        assert asyncio.all_tasks() == {asyncio.current_task()}
        assert len(trial.connections) == 2
        sent = [one for one in trial.connections if one.is_sent]
        assert all(one.is_aborted for one in sent)
        await asyncio.sleep(0)
        assert not trial.context.open_calls

    run_virtual(leave())


def test_slow_answers_no_longer_end_calls() -> None:
    """Guards against 504 well before the deadline of a repeatable call.

    Load pattern: a quarter of the answers take longer than 0.6 of the target
    latency, and one node of 80 relays 820 calls within four minutes.
    """
    rng = Random(4)
    calls = [(_draw_seconds(rng), _draw_seconds(rng)) for _ in range(820)]

    before = _count_missed(_replay_cancelling(calls))
    trial = CallTrial([], bound=SMALL_BUDGET)
    after = _count_missed(run_virtual(_replay(trial, calls)))

    assert before == (78, 51)
    assert after == (0, 103)


def _draw_seconds(rng: Random) -> float:
    is_slow = rng.random() < SLOW_SHARE
    return rng.uniform(0.13, 0.5) if is_slow else rng.uniform(0.02, 0.1)


def _replay_cancelling(
    calls: list[tuple[float, float]],
) -> Iterator[float | None]:
    """Yield the seconds of calls whose first attempt is cancelled."""
    budget = FleetRetryBudget(SMALL_BUDGET)
    for number, (first, second) in enumerate(calls):
        now = number * PAUSE
        budget.record_first(SERVICE, now)
        if first < HEDGE:
            yield first
        elif budget.spend(SERVICE, 1, now + HEDGE):
            yield HEDGE + second
        else:
            yield None


async def _replay(
    trial: CallTrial, calls: list[tuple[float, float]]
) -> list[float | None]:
    loop = asyncio.get_running_loop()
    found: list[float | None] = []
    for number, seconds in enumerate(calls):
        await asyncio.sleep(max(number * PAUSE - loop.time(), 0))
        started = loop.time()
        trial.replies = [Reply(one) for one in seconds]
        trial.connections.clear()
        result = await trial.relay()
        is_answered = isinstance(result, Delivered)
        found.append(loop.time() - started if is_answered else None)
    return found


def _count_missed(found: Iterable[float | None]) -> tuple[int, int]:
    """Return how many calls were lost, and how many answers were late."""
    seconds = list(found)
    late = sum(one is not None and one > LATENCY for one in seconds)
    return seconds.count(None), late
