"""Tests of engines whose bodies go on without end, a byte at a time."""

import asyncio
from collections.abc import Awaitable, Callable

from tests.platform_builders import (
    SmallPlatform,
    build_generation,
    run_platform,
)
from tests.reactor import run_on_reactor

GENERATION = build_generation('first', 'last')
# Half of them meet the target that refuses.
FILINGS = 8
# Longer than an answer to a failure or to an order is waited for.
PATIENCE_SECONDS = 6


def _run(trial: Callable[[SmallPlatform], Awaitable[None]]) -> None:
    async def run() -> None:
        async with run_platform() as platform:
            async with asyncio.timeout(PATIENCE_SECONDS):
                await trial(platform)

    run_on_reactor(run())


def test_a_failure_without_end_is_answered() -> None:
    """Guards against callers who get no answer after a failure."""

    async def trial(platform: SmallPlatform) -> None:
        for engine in platform.engines:
            engine.error_status = 500
            engine.drips = True
        answer, _ = await platform.ask('/drafts/1', 'r1', 'POST', **GENERATION)
        assert answer.status == 502

    _run(trial)


def test_a_copy_without_end_is_ordered_again() -> None:
    """Guards against runs that stay on an engine that is leaving."""

    async def trial(platform: SmallPlatform) -> None:
        for engine in platform.engines:
            engine.length = 1000
        answer = await platform.open('/drafts/1', 'r1', 'POST', **GENERATION)
        await answer.body.read()
        source = next(one for one in platform.engines if one.started)
        source.drips = True
        platform.leave(source.name)
        while len(source.copies) < 2:
            await asyncio.sleep(0.05)

    _run(trial)


def test_a_refusal_without_end_costs_no_time() -> None:
    """Guards against filings whose time is used up by one full target."""

    async def trial(platform: SmallPlatform) -> None:
        platform.services[0].mode = 'full'
        platform.services[0].drips = True
        for number in range(FILINGS):
            answer, _ = await platform.ask('/filings/1', f'f{number}', 'POST')
            assert answer.status == 200

    _run(trial)
