"""Tests of Twisted protocols on asyncio transports, over loopback."""

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
    """Protocol that records the events of its connection."""

    transport: Any

    def __init__(self) -> None:
        self.received = b''
        self.opened = asyncio.Event()
        self.data_arrived = asyncio.Event()
        self.lost = asyncio.Event()
        self.reason: Any = None

    def connectionMade(self) -> None:
        self.opened.set()

    def dataReceived(self, data: bytes) -> None:
        self.received += data
        self.data_arrived.set()

    def connectionLost(self, reason: Any = None) -> None:
        self.reason = reason
        self.lost.set()


class Producer:
    """Producer that records its calls."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def pauseProducing(self) -> None:
        self.calls.append('pause')

    def resumeProducing(self) -> None:
        self.calls.append('resume')

    def stopProducing(self) -> None:
        self.calls.append('stop')


class PeerFactory(Factory):
    """Factory that returns a given peer."""

    def __init__(self, peer: Peer) -> None:
        self._peer = peer

    def buildProtocol(self, addr: object) -> Peer:
        return self._peer


class ConnectedPeers:
    """Server and client that are connected."""

    def __init__(self) -> None:
        self.server = Peer()
        self.client = Peer()
        self.host = ''

    async def run(self, test: Any) -> None:
        async with listen(PeerFactory(self.server)) as address:
            host, _, port = address.rpartition(':')
            self.host = host
            endpoint = LoopClientEndpoint(host, int(port), 5)
            await await_deferred(endpoint.connect(PeerFactory(self.client)))
            await self.server.opened.wait()
            await test(self)
            self.client.transport.abortConnection()
            await self.server.lost.wait()


def run_connected(test: Any) -> None:
    async def check() -> None:
        await ConnectedPeers().run(test)

    run_on_reactor(check())


def test_bytes_arrive_and_close_flushes() -> None:
    async def test(peers: ConnectedPeers) -> None:
        peers.client.transport.writeSequence([b'a', b'b'])
        peers.client.transport.loseConnection()
        peers.client.transport.write(b'late')
        await peers.server.lost.wait()
        assert peers.server.received == b'ab'
        assert peers.server.reason.check(ConnectionDone)

    run_connected(test)


def test_half_close_still_reads() -> None:
    async def test(peers: ConnectedPeers) -> None:
        peers.server.transport.write(b'bye')
        peers.server.transport.loseWriteConnection()
        await peers.client.lost.wait()
        assert peers.client.received == b'bye'

    run_connected(test)


def test_paused_reader_pauses_the_producer() -> None:
    async def test(peers: ConnectedPeers) -> None:
        producer = Producer()
        peers.server.transport.registerProducer(producer, True)
        peers.client.transport.pauseProducing()
        peers.server.transport.write(_LARGE)
        assert producer.calls == ['pause']
        peers.client.transport.resumeProducing()
        while len(peers.client.received) < len(_LARGE):
            peers.client.data_arrived.clear()
            await peers.client.data_arrived.wait()
        assert producer.calls == ['pause', 'resume']
        peers.client.transport.abortConnection()
        await peers.server.lost.wait()
        assert producer.calls == ['pause', 'resume', 'stop']

    run_connected(test)


def test_eof_of_a_paused_peer_ends_the_connection() -> None:
    async def test(peers: ConnectedPeers) -> None:
        peers.client.transport.pauseProducing()
        peers.server.transport.write(_LARGE)
        peers.client.transport.loseWriteConnection()
        await peers.server.lost.wait()
        assert peers.server.reason.check(ConnectionDone)

    run_connected(test)


def test_producer_of_a_lost_connection_is_stopped() -> None:
    async def test(peers: ConnectedPeers) -> None:
        peers.client.transport.loseConnection()
        await peers.client.lost.wait()
        producer = Producer()
        peers.client.transport.registerProducer(producer, True)
        assert producer.calls == ['stop']
        peers.client.transport.pauseProducing()
        peers.client.transport.resumeProducing()

    run_connected(test)


def test_second_producer_is_an_error() -> None:
    async def test(peers: ConnectedPeers) -> None:
        peers.client.transport.registerProducer(Producer(), True)
        with pytest.raises(RuntimeError):
            peers.client.transport.registerProducer(Producer(), True)
        peers.client.transport.unregisterProducer()
        peers.client.transport.registerProducer(Producer(), True)

    run_connected(test)


def test_refused_connection_is_an_error() -> None:
    async def check() -> None:
        async with listen(PeerFactory(Peer())) as address:
            host, _, port = address.rpartition(':')
        with pytest.raises(ConnectError):
            await await_deferred(
                LoopClientEndpoint(host, int(port), 5).connect(
                    PeerFactory(Peer()),
                ),
            )

    run_on_reactor(check())


def test_addresses_are_known() -> None:
    async def test(peers: ConnectedPeers) -> None:
        assert peers.client.transport.getPeer().host == peers.host
        client_port = peers.client.transport.getHost().port
        assert peers.server.transport.getPeer().port == client_port

    run_connected(test)
