"""Tests of which prompts are suspected, cleared and tried, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from chicoryshunt.fleet.facts import TargetPhase
from tests.fleet_builders import build_fact
from tests.guard_builders import GuardTrial
from tests.virtual_loop import run_virtual

# Longer than an engine takes to be missed after it wrote a short answer.
SURVIVAL_SECONDS = 6
BLOCK_SECONDS = 121


def _run(trial: Callable[[GuardTrial], Awaitable[None]]) -> None:
    async def run() -> None:
        await trial(GuardTrial())

    run_virtual(run())


async def _crash_twice(trial: GuardTrial, *parts: str) -> None:
    for number in range(2):
        await trial.break_off(f'r{number}', f'e{number}', *parts, f'o{number}')
        await asyncio.sleep(5)


def test_a_prompt_is_refused_after_two_crashes() -> None:
    async def trial(guard: GuardTrial) -> None:
        await _crash_twice(guard, 'first', 'bad')

        assert guard.is_refused('r8', 'first', 'bad', 'o8')
        assert not guard.is_refused('r9', 'first', 'other', 'o9')
        assert not guard.is_refused('r9', 'first', 'bad', 'o9', model='m2')

    _run(trial)


def test_an_engine_that_listens_did_not_crash() -> None:
    """Guards against answers that are cut for other reasons."""

    async def trial(guard: GuardTrial) -> None:
        guard.is_reachable = True
        await _crash_twice(guard, 'first', 'bad')

        assert not guard.is_refused('r8', 'first', 'bad', 'o8')

    _run(trial)


@pytest.mark.parametrize(
    ('failure', 'phase'),
    [
        (TimeoutError(), TargetPhase.ready),
        (ConnectionRefusedError(), TargetPhase.leaving),
    ],
)
def test_an_engine_that_is_away_did_not_crash(
    failure: OSError, phase: TargetPhase
) -> None:
    """Guards against prompts that are blocked for a cut or planned work."""

    async def trial(guard: GuardTrial) -> None:
        guard.failure = failure
        guard.phase = phase
        await _crash_twice(guard, 'first', 'bad')

        assert not guard.is_refused('r8', 'first', 'bad', 'o8')

    _run(trial)


def test_one_request_crashes_no_fourth_engine() -> None:
    """Guards against a restarted run that crashes engine after engine."""

    async def trial(guard: GuardTrial) -> None:
        for target in ('e1', 'e2'):
            await guard.break_off('r1', target, 'o1')
        assert not guard.is_refused('r1', 'o1')
        await guard.break_off('r1', 'e3', 'o1')

        assert guard.is_refused('r1', 'o1')
        guard.guard.release(guard.build('r1').request)
        assert not guard.is_refused('r1', 'o1')

    _run(trial)


def test_a_prompt_of_one_part_is_not_refused() -> None:
    async def trial(guard: GuardTrial) -> None:
        await _crash_twice(guard)

        assert not guard.is_refused('r8', 'o1')

    _run(trial)


def test_an_expired_block_is_tried_by_one_request() -> None:
    """Guards against parts that are refused, or sent, for ever."""

    async def trial(guard: GuardTrial) -> None:
        await _crash_twice(guard, 'bad')
        await asyncio.sleep(BLOCK_SECONDS)

        assert not guard.is_refused('r7', 'bad', 'o7')
        assert guard.is_refused('r8', 'bad', 'o8')
        assert not guard.is_refused('r7', 'bad', 'o7')

    _run(trial)


def test_a_failed_trial_blocks_for_longer() -> None:
    async def trial(guard: GuardTrial) -> None:
        await _crash_twice(guard, 'bad')
        await asyncio.sleep(BLOCK_SECONDS)
        assert not guard.is_refused('r7', 'bad', 'o7')

        await guard.break_off('r7', 'e7', 'bad', 'o7')
        guard.guard.release(guard.build('r7').request)
        await asyncio.sleep(BLOCK_SECONDS)
        assert guard.is_refused('r8', 'bad', 'o8')

        await asyncio.sleep(BLOCK_SECONDS)
        assert not guard.is_refused('r9', 'bad', 'o9')

    _run(trial)


def test_a_trial_that_survives_clears_its_parts() -> None:
    async def trial(guard: GuardTrial) -> None:
        await _crash_twice(guard, 'bad')
        await asyncio.sleep(BLOCK_SECONDS)
        assert not guard.is_refused('r7', 'bad', 'o7')

        guard.guard.clear(guard.build('r7', 'bad', 'o7'))

        assert not guard.is_refused('r8', 'bad', 'o8')

    _run(trial)


@pytest.mark.parametrize(
    ('phase', 'born', 'is_refused'),
    [
        (TargetPhase.ready, 1, False),
        (TargetPhase.ready, 2, True),
        (TargetPhase.gone, 1, True),
    ],
)
def test_a_short_answer_clears_after_a_while(
    phase: TargetPhase, born: int, is_refused: bool
) -> None:
    """Guards against a part that is cleared by an answer before the crash."""

    async def trial(guard: GuardTrial) -> None:
        await _crash_twice(guard, 'bad')
        target = build_fact('e9', born=1)
        guard.apply(target)
        guard.guard.clear_later(guard.build('r9', 'bad', 'o9'), target)
        guard.apply(build_fact('e9', 2, phase, born=born))
        assert guard.is_refused('r10', 'bad', 'o10')

        await asyncio.sleep(SURVIVAL_SECONDS)
        assert guard.is_refused('r10', 'bad', 'o10') is is_refused

    _run(trial)
