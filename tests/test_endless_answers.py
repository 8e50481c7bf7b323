"""Tests of answers that never end; each has to be given up by its size."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from chicoryshunt.connection.upstream import (
    CallBounds,
    ConnectionLostError,
    OutgoingRequest,
    UpstreamPool,
)
from tests.endless_target import EndlessTarget, listen_endlessly
from tests.reactor import run_on_reactor

REQUEST = OutgoingRequest(b'GET', b'/x', [(b'Host', b'a')])
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'%sTransfer-Encoding: chunked\r\n\r\n' % HEAD
# Longer than a test may take: only sizes may end an answer.
LONG_SECONDS = 600.0
BOUNDS = CallBounds(
    idle_seconds=0, answer_seconds=LONG_SECONDS, max_bytes=1 << 16
)


def _run_trial(
    target: EndlessTarget,
    trial: Callable[[UpstreamPool, str], Awaitable[None]],
) -> None:
    async def run() -> None:
        async with listen_endlessly(target) as address:
            await trial(UpstreamPool(1), address)

    run_on_reactor(run())


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'', b'x'),
        (HEAD, b'X-Name: text\r\n'),
        (HEAD, b'X-Name: text'),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        (b'', b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'),
        (b'%s\r\n' % HEAD, b'x'),
        (CHUNKED, b'4\r\nbody\r\n'),
        (CHUNKED, b'4;name=text'),
        (b'%s0\r\n' % CHUNKED, b'X-Name: text\r\n'),
    ],
)
def test_an_endless_answer_is_given_up(start: bytes, repeated: bytes) -> None:
    target = EndlessTarget(start, repeated)

    async def trial(pool: UpstreamPool, address: str) -> None:
        with pytest.raises(ConnectionLostError):
            await pool.call(address, REQUEST, BOUNDS)
        await asyncio.wait_for(target.is_closed.wait(), LONG_SECONDS)

    _run_trial(target, trial)
