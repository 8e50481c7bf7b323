"""Tests of streams whose run was stopped to be moved."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import pytest

from chicoryshunt.connection.upstream import BodyEnd
from chicoryshunt.relay.frames import parse_event_number
from lab.standins.loopback import take_host
from tests.platform_builders import (
    SmallPlatform,
    build_generation,
    read_until_end,
    run_platform,
)
from tests.reactor import run_on_reactor
from tests.stoppable_engine import Fleet, StopAnswer, StoppableEngine

LENGTH = 200
NOT_STOPPED = frozenset((StopAnswer.goes_on, StopAnswer.ended))


def _run(
    fleet: Fleet,
    trial: Callable[[SmallPlatform, list[StoppableEngine]], Awaitable[None]],
) -> None:
    """Run a node whose two engines belong to ``fleet``."""

    async def run() -> None:
        engines = [StoppableEngine(f'e{one}', fleet) for one in range(2)]
        addresses = {}
        async with AsyncExitStack() as stack:
            for engine in engines:
                server = await asyncio.start_server(
                    engine.serve, take_host(), 0
                )
                stack.callback(server.close)
                host, port = server.sockets[0].getsockname()
                addresses[engine.name] = f'{host}:{port}'
            platform = await stack.enter_async_context(
                run_platform(replaced=addresses)
            )
            await trial(platform, engines)

    run_on_reactor(run())


async def _move_stream(
    platform: SmallPlatform, engines: list[StoppableEngine]
) -> tuple[list[int | None], BodyEnd]:
    """Stream while the engine leaves; return the events and the end."""
    answer = await platform.open(
        '/drafts/1', 'r1', 'POST', **build_generation('a')
    )
    first = await answer.body.read()
    assert isinstance(first, bytes)
    source = next(one for one in engines if one.started)
    platform.leave(source.name)
    rest, end = await read_until_end(answer)
    assert True in source.orders, 'the run was never ordered to stop'
    frames = (first + rest).split(b'\n\n')[:-1]
    return [parse_event_number(frame) for frame in frames], end


@pytest.mark.parametrize('is_framed', [False, True])
@pytest.mark.parametrize('stop_answer', StopAnswer)
def test_a_stopped_run_never_looks_complete(
    stop_answer: StopAnswer, is_framed: bool
) -> None:
    """Guards against the part of a stopped run as a complete answer."""
    fleet = Fleet(LENGTH, stop_answer, is_framed=is_framed)

    async def trial(
        platform: SmallPlatform, engines: list[StoppableEngine]
    ) -> None:
        numbers, end = await _move_stream(platform, engines)

        assert numbers == list(range(1, LENGTH + 1))
        # That a run was not stopped does not show without framing.
        if is_framed or stop_answer not in NOT_STOPPED:
            assert end is BodyEnd.whole

    _run(fleet, trial)
