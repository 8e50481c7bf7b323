"""Tests of connections to targets that answer in various ways."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest

from chicoryshunt.connection.upstream import (
    BodyEnd,
    ConnectionLostError,
    NotSentError,
    OutgoingRequest,
    UpstreamPool,
)
from lab.standins.loopback import take_host
from tests.raw_targets import RawTarget, serve_raw
from tests.reactor import run_on_reactor

REQUEST = OutgoingRequest(b'GET', b'/x', [(b'Host', b'a')])
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody'
SHORT = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody'
NO_LENGTH = b'HTTP/1.1 200 OK\r\n\r\nbody'
UNFINISHED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n'
)
FINISHED = b'%s0\r\n\r\n' % UNFINISHED
EXTRA_BYTES = b'%s%s' % (WHOLE, WHOLE)
MAX_BYTES = 1 << 16
# More than is received at once.
MANY_BYTES = 1 << 20
BUSY_SECONDS = 0.1


def _run_trial(
    target: RawTarget,
    trial: Callable[[UpstreamPool, str], Awaitable[None]],
) -> None:
    async def run() -> None:
        async with serve_raw(target) as address:
            await trial(UpstreamPool(1), address)

    run_on_reactor(run())


async def _call(pool: UpstreamPool, address: str) -> bytes | BodyEnd:
    upstream = await pool.acquire(address, 10)
    answer = await upstream.send(REQUEST, 5)
    return await answer.body.read_all(MAX_BYTES)


def test_connection_is_reused() -> None:
    target = RawTarget(WHOLE, WHOLE, WHOLE)

    async def trial(pool: UpstreamPool, address: str) -> None:
        assert await _call(pool, address) == b'body'
        assert await _call(pool, address) == b'body'
        assert target.connections == 1

    _run_trial(target, trial)


def test_extra_bytes_prevent_reuse() -> None:
    target = RawTarget(EXTRA_BYTES, WHOLE, WHOLE)

    async def trial(pool: UpstreamPool, address: str) -> None:
        assert await _call(pool, address) == b'body'
        assert await _call(pool, address) == b'body'
        assert target.connections == 2

    _run_trial(target, trial)


@pytest.mark.parametrize(
    'timeout', [b'9' * 400, b'9' * 5000, b'x', b'', b'-1', b'\xb2']
)
def test_an_odd_idle_timeout_is_ignored(timeout: bytes) -> None:
    """Guards against an answer that is cut for a number out of range."""
    body = bytes(MANY_BYTES)
    head = b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=%s\r\n' % timeout
    odd = b'%sContent-Length: %d\r\n\r\n%s' % (head, len(body), body)
    target = RawTarget(odd, WHOLE)

    async def trial(pool: UpstreamPool, address: str) -> None:
        upstream = await pool.acquire(address, 10)
        answer = await upstream.send(REQUEST, 5)
        assert await answer.body.read_all(MANY_BYTES) == body
        assert await _call(pool, address) == b'body'
        assert target.connections == 1

    _run_trial(target, trial)


@pytest.mark.parametrize(
    ('line', 'connections'),
    [
        (b'Connection: close', 2),
        (b'Connection: Close', 2),
        (b'Connection: keep-alive, close', 2),
        (b'Connection: x\r\nConnection: CLOSE', 2),
        (b'Connection: keep-alive', 1),
        (b'Connection: close-later', 1),
        (b'X-A: close', 1),
    ],
)
def test_an_announced_close_prevents_reuse(
    line: bytes, connections: int
) -> None:
    """Guards against a request lost on a connection that is to close."""
    closing = WHOLE.replace(b'OK\r\n', b'OK\r\n%s\r\n' % line)
    target = RawTarget(closing, WHOLE)

    async def trial(pool: UpstreamPool, address: str) -> None:
        assert await _call(pool, address) == b'body'
        assert await _call(pool, address) == b'body'
        assert target.connections == connections

    _run_trial(target, trial)


@pytest.mark.parametrize(
    ('line', 'connections'), [(b'X-A: a', 2), (b'Connection: Keep-Alive', 1)]
)
def test_the_first_version_closes_connections(
    line: bytes, connections: int
) -> None:
    """Guards against a request lost on a connection of HTTP/1.0."""
    old = WHOLE.replace(b'1.1 200 OK\r\n', b'1.0 200 OK\r\n%s\r\n' % line)
    target = RawTarget(old, WHOLE)

    async def trial(pool: UpstreamPool, address: str) -> None:
        assert await _call(pool, address) == b'body'
        assert await _call(pool, address) == b'body'
        assert target.connections == connections

    _run_trial(target, trial)


@pytest.mark.parametrize(
    ('answer', 'resets', 'expected'),
    [
        (WHOLE, False, b'body'),
        (SHORT, False, BodyEnd.cut),
        (NO_LENGTH, False, b'body'),
        (NO_LENGTH, True, BodyEnd.cut),
        (UNFINISHED, False, BodyEnd.cut),
        (FINISHED, False, b'body'),
    ],
)
def test_incomplete_body_is_cut(
    answer: bytes,
    resets: bool,
    expected: bytes | BodyEnd,
) -> None:
    async def trial(pool: UpstreamPool, address: str) -> None:
        assert await _call(pool, address) == expected

    _run_trial(RawTarget(answer, resets=resets), trial)


@pytest.mark.parametrize('garbage', [b'not an answer\r\n\r\n', b''])
def test_invalid_answer_is_a_lost_connection(garbage: bytes) -> None:
    async def trial(pool: UpstreamPool, address: str) -> None:
        with pytest.raises(ConnectionLostError):
            await _call(pool, address)

    _run_trial(RawTarget(garbage), trial)


def test_body_above_the_limit_is_cut() -> None:
    async def trial(pool: UpstreamPool, address: str) -> None:
        upstream = await pool.open(address)
        answer = await upstream.send(REQUEST, 5)
        assert await answer.body.read_all(3) is BodyEnd.cut

    _run_trial(RawTarget(WHOLE), trial)


def test_unreachable_target_was_sent_nothing() -> None:
    async def trial() -> None:
        with pytest.raises(NotSentError):
            await UpstreamPool(1).open(f'{take_host()}:9')

    run_on_reactor(trial())


def test_a_connection_closed_at_once_sent_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against nodes that end when the store turns them away."""

    async def close(_: object, writer: asyncio.StreamWriter) -> None:
        writer.close()

    async def run() -> None:
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def connect_slowly(*args: Any) -> Any:
            # A busy process handles the end before it uses the connection.
            connected = await connect(*args)
            await asyncio.sleep(BUSY_SECONDS)
            return connected

        server = await asyncio.start_server(close, take_host(), 0)
        host, port = server.sockets[0].getsockname()
        monkeypatch.setattr(loop, 'create_connection', connect_slowly)
        async with server:
            with pytest.raises(NotSentError):
                await UpstreamPool(1).open(f'{host}:{port}')

    run_on_reactor(run())


def test_closed_connection_is_not_reused() -> None:
    target = RawTarget(WHOLE)

    async def trial(pool: UpstreamPool, address: str) -> None:
        await _call(pool, address)
        upstream = await pool.acquire(address, 10)
        while upstream.is_usable:
            await asyncio.sleep(0)
        assert await pool.acquire(address, 10) is not upstream

    _run_trial(target, trial)


def test_old_connection_is_not_reused() -> None:
    target = RawTarget(WHOLE, WHOLE, WHOLE)

    async def trial(pool: UpstreamPool, address: str) -> None:
        await _call(pool, address)
        upstream = await pool.acquire(address, -1)
        await upstream.send(REQUEST, 5)
        assert target.connections == 2

    _run_trial(target, trial)


@pytest.mark.parametrize(
    ('line', 'seconds'),
    [
        (b'', 4.0),
        (b'Keep-Alive: timeout=1, max=9\r\n', 0.7),
        (b'Keep-Alive: timeout=20\r\n', 14.0),
        (b'Keep-Alive: max=9\r\n', 4.0),
    ],
)
def test_an_announced_idle_timeout_is_kept(line: bytes, seconds: float) -> None:
    """Guards against requests lost on a connection that its target closes."""
    answer = b'HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody' % line
    target = RawTarget(answer, answer)

    async def trial(pool: UpstreamPool, address: str) -> None:
        await _call(pool, address)
        upstream = await pool.acquire(address, 10)

        assert upstream.idle_seconds == pytest.approx(seconds)

    _run_trial(target, trial)


def test_bytes_on_an_idle_connection_end_it() -> None:
    """Guards against a late second answer that the next caller would get.

    The bytes arrive in the turn of the loop in which the request is sent.
    """

    async def trial(pool: UpstreamPool, address: str) -> None:
        await _call(pool, address)
        upstream = await pool.acquire(address, 10)
        upstream.dataReceived(WHOLE)

        with pytest.raises(NotSentError):
            await upstream.send(REQUEST, 5)

    _run_trial(RawTarget(WHOLE, WHOLE), trial)


def test_an_ended_connection_sends_no_request() -> None:
    """Guards against a lost request on a connection that has just ended."""

    async def trial(pool: UpstreamPool, address: str) -> None:
        await _call(pool, address)
        upstream = await pool.acquire(address, 10)
        cast(Any, upstream.transport).eof_received()

        with pytest.raises(NotSentError):
            await upstream.send(REQUEST, 5)

    _run_trial(RawTarget(WHOLE, WHOLE), trial)


def test_a_cancelled_attempt_to_connect_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that is sent although its caller has left.

    The connection is established in the turn of the loop that cancels it.
    """

    async def run() -> None:
        loop = asyncio.get_running_loop()
        opening = asyncio.ensure_future(UpstreamPool(1).open('host:1'))

        async def connect(*_: Any) -> tuple[Any, None]:
            loop.call_soon(opening.cancel)
            await asyncio.sleep(0)
            return cast(Any, asyncio.Transport()), None

        monkeypatch.setattr(loop, 'create_connection', connect)
        await asyncio.wait([opening])

        assert opening.cancelled()

    run_on_reactor(run())
