"""Tests of streams that restart on another engine, against stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from chicoryshunt.connection.upstream import BodyEnd
from chicoryshunt.relay import generations
from lab.standins.platform_files import build_entry
from tests.platform_builders import (
    SmallPlatform,
    build_generation,
    build_patient_config,
    read_until_end,
    run_platform,
)
from tests.reactor import run_on_reactor

LENGTH = 40
# Callers leave after so long without an event.
PATIENCE_SECONDS = 4
WHOLE = b''.join(
    b'id: %d\ndata: token %d\n\n' % (number, number)
    for number in range(1, LENGTH + 1)
)


def _build_config() -> dict[str, Any]:
    config = build_patient_config()
    for route in config['routes']:
        if route['kind'] == 'streaming':
            route.update(stream_resume=True, max_attempts=2)
    return config


def _run(trial: Callable[[SmallPlatform], Awaitable[None]]) -> None:
    async def run() -> None:
        async with run_platform(
            config=_build_config(), leaving='e1'
        ) as platform:
            await trial(platform)

    run_on_reactor(run())


async def _begin(platform: SmallPlatform, **headers: str) -> asyncio.Task[Any]:
    """Begin a stream on e0, which is the only engine; e1 is leaving."""
    headers |= build_generation('first', 'last')
    answer = await platform.open('/drafts/1', 'r1', 'POST', **headers)
    assert answer.status == 200
    return asyncio.ensure_future(read_until_end(answer))


def _return(platform: SmallPlatform) -> None:
    entry = build_entry('engines', platform.addresses['e1'])
    platform.store.put('servers/e1', entry)


def test_a_restart_waits_for_an_engine() -> None:
    """Guards against a restart that uses up all retries within milliseconds.

    No engine is free at the moment the first one breaks off.
    """

    async def trial(platform: SmallPlatform) -> None:
        platform.engines[0].breaks_after = 3
        reading = await _begin(platform)
        await asyncio.sleep(0.3)
        _return(platform)

        async with asyncio.timeout(PATIENCE_SECONDS):
            assert await reading == (WHOLE, BodyEnd.whole)

    _run(trial)


def test_a_resumed_stream_repeats_no_event() -> None:
    """Guards against events that the caller had before it resumed.

    The engine breaks off within the first event that the caller has not.
    """
    resumed_after = 12

    async def trial(platform: SmallPlatform) -> None:
        platform.engines[0].breaks_off = True
        beginning = asyncio.ensure_future(
            _begin(platform, Last_Event_Id=str(resumed_after))
        )
        await asyncio.sleep(0.3)
        _return(platform)

        reading = await beginning
        missing = WHOLE[WHOLE.index(b'id: %d' % (resumed_after + 1)) :]
        assert await reading == (missing, BodyEnd.whole)

    _run(trial)


def test_the_error_of_a_restart_is_not_streamed() -> None:
    """Guards against the text of an error in the middle of a stream."""

    async def trial(platform: SmallPlatform) -> None:
        platform.engines[0].breaks_after = 3
        platform.engines[1].error_status = 500
        reading = await _begin(platform)
        _return(platform)

        received, end = await reading
        assert end is BodyEnd.cut
        assert WHOLE.startswith(received)
        assert received.count(b'id:') == 3
        assert len(platform.engines[1].started) == 1

    _run(trial)


def test_a_leg_that_fails_ends_its_stream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stream that hangs after an unexpected error."""

    async def trial(platform: SmallPlatform) -> None:
        platform.engines[0].breaks_after = 3
        reading = await _begin(platform)
        monkeypatch.setattr(generations, 'open_leg', _fail)
        _return(platform)

        async with asyncio.timeout(2 * PATIENCE_SECONDS):
            received, end = await reading
        assert end is BodyEnd.cut
        assert WHOLE.startswith(received)

    _run(trial)


async def _fail(*_: Any) -> Any:
    raise KeyError('unexpected')
