"""Tests of connections that are aborted when a node stops serving."""

import asyncio
import socket

import pytest

from chicoryshunt.connection.bounds import ServerBounds
from chicoryshunt.connection.loop_transport import open_server
from chicoryshunt.connection.relayed_exchange import RelayedExchange
from chicoryshunt.connection.web import BoundedSite, abort_connections
from lab.standins.loopback import take_host
from tests.reactor import run_on_reactor

_LONG_SECONDS = 10
_BOUNDS = ServerBounds(10, 5, 1048576, 5, 16777216)


async def _stream_for_ever(exchange: RelayedExchange) -> None:
    exchange.begin(200, [(b'content-type', b'text/event-stream')])
    exchange.write(b'id: 1\n\n')
    await asyncio.sleep(_LONG_SECONDS)


def test_an_aborted_old_stream_is_reset() -> None:
    """Guards against a part that an old caller takes for complete."""

    async def run() -> None:
        site = BoundedSite(_stream_for_ever, _BOUNDS)
        listener = await open_server(site, take_host(), 0)
        reader, writer = await asyncio.open_connection(
            *listener.sockets[0].getsockname()
        )
        writer.write(b'GET / HTTP/1.0\r\nHost: a\r\n\r\n')
        assert await reader.readuntil(b'id: 1\n\n')
        listener.close()
        await abort_connections(site)
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()

    run_on_reactor(run())


@pytest.mark.parametrize('turns', range(6))
def test_no_accepted_connection_outlives_a_site(turns: int) -> None:
    """Guards against a connection that is made after all were aborted."""

    async def run() -> None:
        site = BoundedSite(_stream_for_ever, _BOUNDS)
        listener = await open_server(site, take_host(), 0)
        caller = socket.create_connection(listener.sockets[0].getsockname())
        for _ in range(turns):
            await asyncio.sleep(0)
        listener.close()
        await abort_connections(site)
        await asyncio.sleep(0.05)
        assert not any(one.is_open for one in site.channels)
        caller.close()

    run_on_reactor(run())
