"""Tests of second attempts at calls by a whole node, against stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from lab.standins.platform_targets import StandInService
from tests.platform_builders import SmallPlatform, run_platform
from tests.reactor import run_on_reactor

# Longest time from the end of a call to that of its attempts.
_ABORT_SECONDS = 0.5


def _run_trial(trial: Callable[[SmallPlatform], Awaitable[None]]) -> None:
    async def run() -> None:
        async with run_platform() as platform:
            await trial(platform)

    run_on_reactor(run())


async def _wait_aborted(services: Iterable[StandInService]) -> None:
    async with asyncio.timeout(_ABORT_SECONDS):
        while any(one.site.usage.connections for one in services):
            await asyncio.sleep(0.01)


def test_a_hanging_target_is_overtaken() -> None:
    """Guards against waiting for a target that hangs while another answers."""

    async def trial(platform: SmallPlatform) -> None:
        platform.services[0].mode = 'hang'
        answer, body = await platform.ask('/reads/1')

        assert (answer.status, body) == (200, b'GET /reads/1')
        assert [one.runs['r1'] for one in platform.services] == [1, 1]
        await _wait_aborted(platform.services[:1])

    _run_trial(trial)


def test_both_attempts_end_when_the_caller_leaves() -> None:
    """Guards against targets that work for a caller who has left."""

    async def trial(platform: SmallPlatform) -> None:
        for service in platform.services:
            service.mode = 'hang'
        asking = asyncio.ensure_future(platform.ask('/reads/1'))
        while not all(one.runs for one in platform.services):
            await asyncio.sleep(0.01)
        asking.cancel()

        await _wait_aborted(platform.services)

    _run_trial(trial)
