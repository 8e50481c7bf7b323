"""Connections to targets that answer in every way."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from chicoryshunt.connection.upstream import (
    BodyEnd,
    ConnectionLostError,
    NotSentError,
    OutgoingRequest,
    UpstreamPool,
)
from tests.platform_builders import take_host
from tests.reactor import run_on_reactor

ASK = OutgoingRequest(b'GET', b'/x', [(b'Host', b'a')])
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody'
SHORT = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody'
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\nbody'
UNENDED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n'
ENDED = b'%s0\r\n\r\n' % UNENDED
TWICE = b'%s%s' % (WHOLE, WHOLE)
MOST = 1 << 16


class RawTarget:
    """Writes fixed bytes for each request that it reads."""

    def __init__(self, *answers: bytes, resets: bool = False) -> None:
        self.answers = list(answers)
        self.connections = 0
        self._resets = resets

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer until there is nothing left to say."""
        self.connections += 1
        while self.answers:
            try:
                await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                return
            writer.write(self.answers.pop(0))
            await writer.drain()
        if self._resets:
            connection = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()


@asynccontextmanager
async def _listen(target: RawTarget) -> AsyncIterator[str]:
    host = take_host()
    server = await asyncio.start_server(target.serve, host, 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f'{host}:{port}'
    finally:
        server.close()


def _play(
    target: RawTarget,
    trial: Callable[[UpstreamPool, str], Awaitable[None]],
) -> None:
    async def run() -> None:
        async with _listen(target) as address:
            await trial(UpstreamPool(1), address)

    run_on_reactor(run())


async def _ask(pool: UpstreamPool, address: str) -> bytes | BodyEnd:
    upstream = await pool.acquire(address, 10)
    answer = await upstream.send(ASK, 5)
    return await answer.body.read_all(MOST)


def test_a_connection_is_kept() -> None:
    target = RawTarget(WHOLE, WHOLE, WHOLE)

    async def trial(pool: UpstreamPool, address: str) -> None:
        assert await _ask(pool, address) == b'body'
        assert await _ask(pool, address) == b'body'
        assert target.connections == 1

    _play(target, trial)


def test_bytes_after_an_answer_end_the_connection() -> None:
    target = RawTarget(TWICE, WHOLE, WHOLE)

    async def trial(pool: UpstreamPool, address: str) -> None:
        assert await _ask(pool, address) == b'body'
        assert await _ask(pool, address) == b'body'
        assert target.connections == 2

    _play(target, trial)


@pytest.mark.parametrize(
    ('answer', 'resets', 'expected'),
    [
        (WHOLE, False, b'body'),
        (SHORT, False, BodyEnd.cut),
        (UNFRAMED, False, b'body'),
        (UNFRAMED, True, BodyEnd.cut),
        (UNENDED, False, BodyEnd.cut),
        (ENDED, False, b'body'),
    ],
)
def test_only_a_whole_body_counts_as_whole(
    answer: bytes,
    resets: bool,
    expected: bytes | BodyEnd,
) -> None:
    async def trial(pool: UpstreamPool, address: str) -> None:
        assert await _ask(pool, address) == expected

    _play(RawTarget(answer, resets=resets), trial)


@pytest.mark.parametrize('garbage', [b'not an answer\r\n\r\n', b''])
def test_garbage_leaves_the_outcome_open(garbage: bytes) -> None:
    async def trial(pool: UpstreamPool, address: str) -> None:
        with pytest.raises(ConnectionLostError):
            await _ask(pool, address)

    _play(RawTarget(garbage), trial)


def test_a_body_beyond_the_bound_is_cut() -> None:
    async def trial(pool: UpstreamPool, address: str) -> None:
        upstream = await pool.open(address)
        answer = await upstream.send(ASK, 5)
        assert await answer.body.read_all(3) is BodyEnd.cut

    _play(RawTarget(WHOLE), trial)


def test_an_absent_target_was_sent_nothing() -> None:
    async def trial() -> None:
        with pytest.raises(NotSentError):
            await UpstreamPool(1).open(f'{take_host()}:9')

    run_on_reactor(trial())


def test_a_closed_connection_is_forgotten() -> None:
    target = RawTarget(WHOLE)

    async def trial(pool: UpstreamPool, address: str) -> None:
        await _ask(pool, address)
        upstream = await pool.acquire(address, 10)
        while upstream.is_usable:
            await asyncio.sleep(0)
        assert await pool.acquire(address, 10) is not upstream

    _play(target, trial)


def test_an_old_connection_is_not_used() -> None:
    target = RawTarget(WHOLE, WHOLE, WHOLE)

    async def trial(pool: UpstreamPool, address: str) -> None:
        await _ask(pool, address)
        upstream = await pool.acquire(address, -1)
        await upstream.send(ASK, 5)
        assert target.connections == 2

    _play(target, trial)
