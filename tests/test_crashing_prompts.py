"""Tests of prompts that crash the engines that run them."""

import asyncio
import logging

import pytest

from tests.platform_builders import (
    SmallPlatform,
    build_generation,
    run_platform,
)
from tests.reactor import run_on_reactor

CRASHING_PART = 'bad'
# The users' rule counts the requests that come after the fifth crash and a
# window; three of those may reach an engine.
MAX_CRASHES = 8
REQUEST_COUNT = 14
# An engine is back before the next request.
PAUSE_SECONDS = 0.4


async def _restart_engines(platform: SmallPlatform) -> None:
    for engine in platform.engines:
        await engine.server.start()


async def _ask_crashing(platform: SmallPlatform, request: str) -> int:
    """Send a request that crashes its engine; return the status."""
    answer, _ = await platform.ask(
        '/drafts/1',
        request,
        'POST',
        **build_generation('first', CRASHING_PART, request),
    )
    await asyncio.sleep(PAUSE_SECONDS)
    await _restart_engines(platform)
    return answer.status


def test_a_crashing_prompt_is_not_sent_for_ever() -> None:
    """Guards against one prompt that crashes engine after engine."""

    async def run() -> None:
        async with run_platform() as platform:
            for engine in platform.engines:
                engine.crashing_part = CRASHING_PART
            statuses = [
                await _ask_crashing(platform, f'r{number}')
                for number in range(REQUEST_COUNT)
            ]
            answer, _ = await platform.ask(
                '/drafts/1',
                'sound',
                'POST',
                **build_generation('first', 'other', 'last'),
            )

            crashes = sum(one.server.crash_count for one in platform.engines)
            assert crashes <= MAX_CRASHES
            assert statuses[-1] == 503
            assert answer.status == 200

    run_on_reactor(run())


@pytest.mark.parametrize('is_crash', [True, False])
def test_broken_runs_are_told_apart(
    caplog: pytest.LogCaptureFixture,
    is_crash: bool,
) -> None:
    """Guards against logs that do not show which prompt an engine ran."""
    caplog.set_level(logging.INFO)

    async def run() -> None:
        async with run_platform() as platform:
            for engine in platform.engines:
                engine.crashing_part = CRASHING_PART
                engine.breaks_off = not is_crash
            part = CRASHING_PART if is_crash else 'other'
            await platform.ask(
                '/drafts/1',
                'r1',
                'POST',
                **build_generation('first', part, 'last'),
            )

    run_on_reactor(run())

    broken = [
        one.__dict__
        for one in caplog.records
        if one.getMessage() == 'run_broken_off'
    ]
    assert len(broken) == 1
    assert broken[0]['stage'] == 'opened'
    assert broken[0]['team'] == 'club'
    assert broken[0]['engine_runs'] == 1
    expected = CRASHING_PART if is_crash else 'other'
    assert broken[0]['parts'] == f'first,{expected},last'
