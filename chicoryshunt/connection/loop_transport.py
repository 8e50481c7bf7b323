"""Twisted protocols on the event loop's own TCP transports."""

import asyncio
from collections.abc import Iterable
from typing import Any, cast

from twisted.internet.address import IPv4Address, IPv6Address
from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectError,
    ConnectionDone,
    ConnectionLost,
)
from twisted.internet.error import (
    TimeoutError as ConnectTimeoutError,
)
from twisted.internet.interfaces import (
    IConsumer,
    IPushProducer,
    IStreamClientEndpoint,
    ITCPTransport,
)
from twisted.python.failure import Failure
from zope.interface import implementer

_HIGH_WATER_BYTES = 65536


@implementer(ITCPTransport, IConsumer, IPushProducer)
class LoopTransport(asyncio.Protocol):
    """One connection: a protocol of Twisted over a transport of the loop.

    The loop's transport sends at the end of a turn without asking the
    kernel first whether it may.
    """

    disconnecting = False

    def __init__(self, protocol: Any) -> None:
        """Bind the protocol that the connection is for."""
        self._protocol = protocol
        self._transport = cast(asyncio.Transport, None)
        self._producer: Any = None
        self._is_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hand the connection to the protocol."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(_HIGH_WATER_BYTES)
        self._protocol.makeConnection(self)

    def data_received(self, data: bytes) -> None:
        """Hand what arrived to the protocol."""
        self._protocol.dataReceived(data)

    def eof_received(self) -> None:
        """Drop what the peer did not read; it has hung up."""
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the protocol and its producer that the connection ended."""
        self._is_lost = True
        if self._producer is not None:
            self._producer.stopProducing()
            self._producer = None
        reason: Exception = ConnectionDone()
        if exc is not None:
            reason = ConnectionLost(str(exc))
        self._protocol.connectionLost(Failure(reason))

    def pause_writing(self) -> None:
        """Hold back the producer, for the write buffer is full."""
        if self._producer is not None:
            self._producer.pauseProducing()

    def resume_writing(self) -> None:
        """Let the producer go on, for the write buffer is low."""
        if self._producer is not None:
            self._producer.resumeProducing()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if not self._transport.is_closing():
            self._transport.write(data)

    def writeSequence(self, data: Iterable[bytes]) -> None:
        """Send several pieces at once."""
        self.write(b''.join(data))

    def loseConnection(self) -> None:
        """Close after what was written is sent."""
        self.disconnecting = True
        self._transport.close()

    def abortConnection(self) -> None:
        """Close at once and drop what was not sent."""
        self.disconnecting = True
        self._transport.abort()

    def loseWriteConnection(self) -> None:
        """Close for writing alone."""
        if not self._transport.is_closing():
            self._transport.write_eof()

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Hold back this producer while the write buffer is full."""
        if self._producer is not None:
            raise RuntimeError('a producer is already registered')
        if not streaming:
            raise RuntimeError('only streaming producers are supported')
        if self._is_lost:
            producer.stopProducing()
        else:
            self._producer = producer

    def unregisterProducer(self) -> None:
        """Hold back no producer."""
        self._producer = None

    def pauseProducing(self) -> None:
        """Stop reading."""
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resumeProducing(self) -> None:
        """Read on."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def stopProducing(self) -> None:
        """Close the connection."""
        self.loseConnection()

    def getHost(self) -> IPv4Address | IPv6Address:
        """Return the address on this side."""
        return _build_address(self._transport.get_extra_info('sockname'))

    def getPeer(self) -> IPv4Address | IPv6Address:
        """Return the address on the other side."""
        return _build_address(self._transport.get_extra_info('peername'))

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing; the loop's transports never delay."""


@implementer(IStreamClientEndpoint)
class LoopClientEndpoint:
    """Connects to an IP number and port through the loop."""

    def __init__(self, host: str, port: int, seconds: float) -> None:
        """Give up after this many seconds."""
        self._host = host
        self._port = port
        self._seconds = seconds

    def connect(self, protocolFactory: Any) -> 'Deferred[Any]':
        """Return a deferred of the connected protocol."""
        return Deferred.fromFuture(
            asyncio.ensure_future(self._connect(protocolFactory)),
        )

    async def _connect(self, factory: Any) -> Any:
        protocol = factory.buildProtocol(None)
        connecting = asyncio.get_running_loop().create_connection(
            lambda: LoopTransport(protocol),
            self._host,
            self._port,
        )
        try:
            await asyncio.wait_for(connecting, self._seconds)
        except TimeoutError as error:
            raise ConnectTimeoutError(string='no connection') from error
        except OSError as error:
            raise ConnectError(string=str(error)) from error
        return protocol


async def open_server(factory: Any, host: str, port: int) -> asyncio.Server:
    """Listen with a factory of Twisted; port 0 takes a free one."""
    factory.doStart()
    return await asyncio.get_running_loop().create_server(
        lambda: LoopTransport(factory.buildProtocol(None)),
        host,
        port,
    )


def _build_address(address: tuple[Any, ...]) -> IPv4Address | IPv6Address:
    kind = IPv6Address if ':' in address[0] else IPv4Address
    return kind('TCP', address[0], address[1])
