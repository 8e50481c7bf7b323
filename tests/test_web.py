"""Tests of the limits of the HTTP server, over loopback."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import msgspec
import pytest

from chicoryshunt.connection.bounds import ServerBounds
from chicoryshunt.connection.caller_api import VerdictBody
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.web import BoundedSite, close_connections
from tests.reactor import listen, run_on_reactor

_BOUNDS = ServerBounds(
    connections=3,
    header_seconds=0.05,
    body_bytes=1000,
    body_seconds=0.05,
    open_bodies_bytes=1500,
)
_HEAD = b'POST /v1/x HTTP/1.1\r\nHost: a\r\n'
_WAIT_SECONDS = 3
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'


class Echo:
    """Server that answers with the body size once ``may_answer`` is set."""

    def __init__(self) -> None:
        self.site = BoundedSite(self.handle, _BOUNDS)
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def handle(self, exchange: Exchange) -> None:
        await self.may_answer.wait()
        exchange.respond_json(len(exchange.body))


@asynccontextmanager
async def open_echo() -> AsyncIterator[tuple[Echo, str]]:
    echo = Echo()
    async with listen(echo.site) as address:
        yield echo, address


async def send(address: str, *parts: bytes) -> bytes:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    for part in parts:
        writer.write(part)
        await asyncio.sleep(0)
    answer = await reader.read()
    writer.close()
    return answer


def parse_refusal(answer: bytes) -> VerdictBody:
    head, _, body = answer.partition(b'\r\n\r\n')
    assert b'x-verdict: not_run' in head
    assert b'Content-Length: %d' % len(body) in head
    return msgspec.json.decode(body, type=VerdictBody)


@pytest.mark.parametrize(
    ('parts', 'reason'),
    [
        ((_HEAD,), 'request_timeout'),
        ((b'POST',), 'request_timeout'),
        ((b'hello\r\n\r\n',), 'bad_request'),
        ((_HEAD, b'X: %s\r\n\r\n' % (b'x' * 20000)), 'bad_request'),
        ((_HEAD, b'Content-Length: 1001\r\n\r\n'), 'body_too_large'),
        ((_HEAD, b'Content-Length: x\r\n\r\n'), 'bad_request'),
        ((_HEAD, b'Content-Length: 10\r\n\r\nhalf'), 'body_truncated'),
        ((_HEAD, _CHUNKED, b'3e9\r\n', b'x' * 1001), 'body_too_large'),
        ((_HEAD, _CHUNKED, b'3\r\nab'), 'body_truncated'),
    ],
)
def test_bad_request_is_refused(parts: tuple[bytes, ...], reason: str) -> None:
    async def check() -> None:
        async with open_echo() as (echo, address):
            answer = await send(address, *parts)
            assert parse_refusal(answer).reason == reason
            await asyncio.sleep(0)
            assert echo.site.usage.bodies_bytes == 0

    run_on_reactor(check())


def test_connection_above_the_limit_is_refused() -> None:
    async def check() -> None:
        async with open_echo() as (echo, address):
            echo.may_answer.clear()
            call = b'%sConnection: close\r\nContent-Length: 0\r\n\r\n' % _HEAD
            pending = [
                asyncio.ensure_future(send(address, call)) for _ in 'abc'
            ]
            while echo.site.usage.connections < 3:
                await asyncio.sleep(0)
            refusal = parse_refusal(await send(address, call))
            assert refusal.reason == 'too_many_connections'
            assert refusal.retry_after == 1
            echo.may_answer.set()
            for answer in await asyncio.gather(*pending):
                assert answer.startswith(b'HTTP/1.1 200')

    run_on_reactor(check())


def test_open_bodies_share_one_limit() -> None:
    async def check() -> None:
        async with open_echo() as (echo, address):
            echo.may_answer.clear()
            call = b'%sConnection: close\r\nContent-Length: 900\r\n\r\n%s' % (
                _HEAD,
                b'x' * 900,
            )
            pending = asyncio.ensure_future(send(address, call))
            while echo.site.usage.bodies_bytes < 900:
                await asyncio.sleep(0)
            refusal = parse_refusal(await send(address, call))
            assert refusal.reason == 'overloaded'
            echo.may_answer.set()
            assert (await pending).endswith(b'900')
            assert echo.site.usage.bodies_bytes == 0
            assert (await send(address, call)).endswith(b'900')

    run_on_reactor(check())


def test_new_connection_does_not_block_closing() -> None:
    """Test closing while a connection has no transport yet.

    The loop creates the protocol first and connects it in a later iteration,
    so that ``close_connections`` may find it in between.
    """

    async def run() -> None:
        async with open_echo() as (echo, address):
            host, _, port = address.rpartition(':')
            _, writer = await asyncio.open_connection(host, int(port))
            while not echo.site.usage.connections:
                await asyncio.sleep(0)
            accepted = echo.site.buildProtocol(None)
            closing = asyncio.ensure_future(close_connections(echo.site))
            await asyncio.wait_for(closing, 5)
            assert accepted.transport is None
            writer.close()

    run_on_reactor(run())


async def _accept(echo: Echo, address: str) -> socket.socket:
    """Connect, until the loop has accepted but not made the connection."""
    host, _, port = address.rpartition(':')
    caller = socket.create_connection((host, int(port)))
    caller.setblocking(False)
    while not echo.site.channels:
        await asyncio.sleep(0)
    assert not echo.site.usage.connections
    return caller


def test_a_site_that_closes_accepts_nothing() -> None:
    """Guards against a request that is read after the last connections."""

    async def run() -> None:
        async with open_echo() as (echo, address):
            caller = await _accept(echo, address)
            await close_connections(echo.site)
            caller.send(b'%sContent-Length: 0\r\n\r\n' % _HEAD)
            received = b''
            with caller, suppress(ConnectionResetError):
                loop = asyncio.get_running_loop()
                received = await loop.sock_recv(caller, 100)

            assert not received

    run_on_reactor(run())


def test_a_site_that_closes_reads_no_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that follows the last answer of a node."""
    monkeypatch.setattr(
        'chicoryshunt.connection.web._CLOSE_POLL_SECONDS', 2 * _WAIT_SECONDS
    )

    async def run() -> None:
        async with open_echo() as (echo, address):
            echo.may_answer.clear()
            call = b'%sContent-Length: 0\r\n\r\n' % _HEAD
            pending = asyncio.ensure_future(send(address, call))
            while not any(one.requests for one in echo.site.channels):
                await asyncio.sleep(0)
            closing = asyncio.ensure_future(close_connections(echo.site))
            await asyncio.sleep(0)
            echo.may_answer.set()

            # The connection ends with the answer, not in a later round.
            answer = await asyncio.wait_for(pending, _WAIT_SECONDS)

            assert answer.startswith(b'HTTP/1.1 200')
            closing.cancel()

    run_on_reactor(run())
