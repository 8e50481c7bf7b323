"""Twisted protocols on asyncio's TCP transports."""

import asyncio
import socket
import struct
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

_HIGH_WATER_MARK_BYTES = 65536
# Value of SO_LINGER: on, for zero seconds.
_NO_WAIT = struct.pack('ii', 1, 0)


@implementer(ITCPTransport, IConsumer, IPushProducer)
class LoopTransport(asyncio.Protocol):
    """Adapter that connects a Twisted protocol to an asyncio transport.

    It replaces the reactor's own transport because asyncio's writes to the
    socket directly, without waiting for the selector to report it writable.
    """

    disconnecting = False

    def __init__(self, protocol: Any) -> None:
        """Create the transport of a protocol."""
        self._protocol = protocol
        self._transport = cast(asyncio.Transport, None)
        self._producer: Any = None
        self._is_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect the protocol."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(_HIGH_WATER_MARK_BYTES)
        self._protocol.makeConnection(self)

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the protocol."""
        self._protocol.dataReceived(data)

    def eof_received(self) -> None:
        """Abort and drop unsent data, as a peer that sent EOF hung up."""
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the producer and notify the protocol."""
        self._is_lost = True
        if self._producer is not None:
            self._producer.stopProducing()
            self._producer = None
        reason: Exception = ConnectionDone()
        if exc is not None:
            reason = ConnectionLost(str(exc))
        self._protocol.connectionLost(Failure(reason))

    def pause_writing(self) -> None:
        """Pause the producer because the write buffer is full."""
        if self._producer is not None:
            self._producer.pauseProducing()

    def resume_writing(self) -> None:
        """Resume the producer because the write buffer has drained."""
        if self._producer is not None:
            self._producer.resumeProducing()

    @property
    def is_closing(self) -> bool:
        """Return whether the connection is closing or closed."""
        return self._transport.is_closing()

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is closing."""
        if not self._transport.is_closing():
            self._transport.write(data)

    def writeSequence(self, data: Iterable[bytes]) -> None:
        """Send several chunks in one write."""
        self.write(b''.join(data))

    def loseConnection(self) -> None:
        """Close once the write buffer is flushed."""
        self.disconnecting = True
        self._transport.close()

    def abortConnection(self) -> None:
        """Close at once and discard the write buffer."""
        self.disconnecting = True
        self._transport.abort()

    def resetConnection(self) -> None:
        """Close at once, and let the peer see that as an error."""
        connection = self._transport.get_extra_info('socket')
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_WAIT)
        self.abortConnection()

    def loseWriteConnection(self) -> None:
        """Close the write side only."""
        if not self._transport.is_closing():
            self._transport.write_eof()

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Register a push producer, paused while the write buffer is full."""
        if self._producer is not None:
            raise RuntimeError('another producer is already registered')
        if not streaming:
            raise RuntimeError('pull producers are not supported')
        if self._is_lost:
            producer.stopProducing()
        else:
            self._producer = producer

    def unregisterProducer(self) -> None:
        """Unregister the producer."""
        self._producer = None

    def pauseProducing(self) -> None:
        """Pause reading."""
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resumeProducing(self) -> None:
        """Resume reading."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def stopProducing(self) -> None:
        """Close the connection."""
        self.loseConnection()

    def getHost(self) -> IPv4Address | IPv6Address:
        """Return the local address."""
        return _build_address(self._transport.get_extra_info('sockname'))

    def getPeer(self) -> IPv4Address | IPv6Address:
        """Return the address of the peer."""
        return _build_address(self._transport.get_extra_info('peername'))

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing, as asyncio sets TCP_NODELAY on every connection."""


@implementer(IStreamClientEndpoint)
class LoopClientEndpoint:
    """Connects to an IP address and port through asyncio."""

    def __init__(self, host: str, port: int, connect_seconds: float) -> None:
        """Time out connecting after ``connect_seconds``."""
        self._host = host
        self._port = port
        self._connect_seconds = connect_seconds

    def connect(self, protocolFactory: Any) -> 'Deferred[Any]':
        """Return a deferred that fires with the connected protocol."""
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
            await asyncio.wait_for(connecting, self._connect_seconds)
        except TimeoutError as error:
            raise ConnectTimeoutError(string='no connection') from error
        except OSError as error:
            raise ConnectError(string=str(error)) from error
        return protocol


async def open_server(factory: Any, host: str, port: int) -> asyncio.Server:
    """Listen with a Twisted factory; port 0 selects a free port."""
    factory.doStart()
    return await asyncio.get_running_loop().create_server(
        lambda: LoopTransport(factory.buildProtocol(None)),
        host,
        port,
    )


def _build_address(address: tuple[Any, ...]) -> IPv4Address | IPv6Address:
    kind = IPv6Address if ':' in address[0] else IPv4Address
    return kind('TCP', address[0], address[1])
