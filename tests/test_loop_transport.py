"""Tests of Twisted protocols on the loop's transports, over loopback."""

import asyncio
from typing import Any

import pytest
from twisted.internet.error import ConnectError, ConnectionDone
from twisted.internet.protocol import Factory, Protocol

from chicoryshunt.connection.loop import await_deferred
from chicoryshunt.connection.loop_transport import LoopClientEndpoint
from tests.reactor import listen, run_on_reactor

_LARGE = b'x' * (32 << 20)


class Peer(Protocol):
    """One side that remembers what it saw."""

    transport: Any

    def __init__(self) -> None:
        self.received = b''
        self.made = asyncio.Event()
        self.heard = asyncio.Event()
        self.lost = asyncio.Event()
        self.reason: Any = None

    def connectionMade(self) -> None:
        self.made.set()

    def dataReceived(self, data: bytes) -> None:
        self.received += data
        self.heard.set()

    def connectionLost(self, reason: Any = None) -> None:
        self.reason = reason
        self.lost.set()


class Producer:
    """Producer that remembers what it was told."""

    def __init__(self) -> None:
        self.told: list[str] = []

    def pauseProducing(self) -> None:
        self.told.append('pause')

    def resumeProducing(self) -> None:
        self.told.append('resume')

    def stopProducing(self) -> None:
        self.told.append('stop')


class PeerFactory(Factory):
    """Builds one given peer."""

    def __init__(self, peer: Peer) -> None:
        self._peer = peer

    def buildProtocol(self, addr: object) -> Peer:
        return self._peer


class ConnectedPeers:
    """Two peers that are connected."""

    def __init__(self) -> None:
        self.server = Peer()
        self.client = Peer()

    async def run(self, test: Any) -> None:
        async with listen(PeerFactory(self.server)) as address:
            host, _, port = address.rpartition(':')
            endpoint = LoopClientEndpoint(host, int(port), 5)
            await await_deferred(endpoint.connect(PeerFactory(self.client)))
            await self.server.made.wait()
            await test(self)
            self.client.transport.abortConnection()
            await self.server.lost.wait()


def run_connected(test: Any) -> None:
    async def check() -> None:
        await ConnectedPeers().run(test)

    run_on_reactor(check())


def test_bytes_arrive_and_close_flushes() -> None:
    async def test(link: ConnectedPeers) -> None:
        link.client.transport.writeSequence([b'a', b'b'])
        link.client.transport.loseConnection()
        link.client.transport.write(b'late')
        await link.server.lost.wait()
        assert link.server.received == b'ab'
        assert link.server.reason.check(ConnectionDone)

    run_connected(test)


def test_half_close_still_reads() -> None:
    async def test(link: ConnectedPeers) -> None:
        link.server.transport.write(b'bye')
        link.server.transport.loseWriteConnection()
        await link.client.lost.wait()
        assert link.client.received == b'bye'

    run_connected(test)


def test_paused_reader_holds_back_the_producer() -> None:
    async def test(link: ConnectedPeers) -> None:
        producer = Producer()
        link.server.transport.registerProducer(producer, True)
        link.client.transport.pauseProducing()
        link.server.transport.write(_LARGE)
        assert producer.told == ['pause']
        link.client.transport.resumeProducing()
        while len(link.client.received) < len(_LARGE):
            link.client.heard.clear()
            await link.client.heard.wait()
        assert producer.told == ['pause', 'resume']
        link.client.transport.abortConnection()
        await link.server.lost.wait()
        assert producer.told == ['pause', 'resume', 'stop']

    run_connected(test)


def test_peer_that_hangs_up_unread_is_lost() -> None:
    async def test(link: ConnectedPeers) -> None:
        link.client.transport.pauseProducing()
        link.server.transport.write(_LARGE)
        link.client.transport.loseWriteConnection()
        await link.server.lost.wait()
        assert link.server.reason.check(ConnectionDone)

    run_connected(test)


def test_producer_of_a_lost_connection_is_stopped() -> None:
    async def test(link: ConnectedPeers) -> None:
        link.client.transport.loseConnection()
        await link.client.lost.wait()
        producer = Producer()
        link.client.transport.registerProducer(producer, True)
        assert producer.told == ['stop']
        link.client.transport.pauseProducing()
        link.client.transport.resumeProducing()

    run_connected(test)


def test_second_producer_is_an_error() -> None:
    async def test(link: ConnectedPeers) -> None:
        link.client.transport.registerProducer(Producer(), True)
        with pytest.raises(RuntimeError):
            link.client.transport.registerProducer(Producer(), True)
        link.client.transport.unregisterProducer()
        link.client.transport.registerProducer(Producer(), True)

    run_connected(test)


def test_refused_connection_is_an_error() -> None:
    async def check() -> None:
        async with listen(PeerFactory(Peer())) as address:
            port = int(address.rpartition(':')[2])
        with pytest.raises(ConnectError):
            await await_deferred(
                LoopClientEndpoint('127.0.0.1', port, 5).connect(
                    PeerFactory(Peer()),
                ),
            )

    run_on_reactor(check())


def test_addresses_are_known() -> None:
    async def test(link: ConnectedPeers) -> None:
        assert link.client.transport.getPeer().host == '127.0.0.1'
        client_port = link.client.transport.getHost().port
        assert link.server.transport.getPeer().port == client_port

    run_connected(test)
