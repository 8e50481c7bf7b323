"""TCP relay without logic on the same reactor, the benchmark's baseline."""

import asyncio
from itertools import cycle
from typing import Any, cast

from absl import flags
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from chicoryshunt.connection import loop
from chicoryshunt.connection.loop_transport import (
    LoopClientEndpoint,
    open_server,
)
from lab.standins.daemon import parse_flags

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('port', 0, 'port on loopback', flag_values=_FLAGS)
flags.DEFINE_boolean(
    'loop_transports',
    False,
    "use the loop's transports instead of the reactor's",
    flag_values=_FLAGS,
)
flags.DEFINE_list('targets', [], 'ports to relay to', flag_values=_FLAGS)


_HOST = '127.0.0.1'
_CONNECT_SECONDS = 5.0


class Downstream(Protocol):
    """Connection of a caller; buffers data until the engine is connected."""

    def __init__(self, port: int) -> None:
        """Relay to a port on loopback."""
        self.upstream: Any = None
        self._port = port
        self._pending_data = b''

    def connectionMade(self) -> None:
        """Connect to the engine."""
        _set_nodelay(self)
        factory = UpstreamFactory(self)
        if _FLAGS.loop_transports:
            endpoint = LoopClientEndpoint(_HOST, self._port, _CONNECT_SECONDS)
            endpoint.connect(factory)
        else:
            loop.get_reactor().connectTCP(_HOST, self._port, factory)

    def dataReceived(self, data: bytes) -> None:
        """Forward to the engine, or buffer until it is connected."""
        if self.upstream is None:
            self._pending_data += data
        else:
            self.upstream.write(data)

    def connectionLost(self, reason: Any = None) -> None:
        """Close the engine's connection."""
        if self.upstream is not None:
            self.upstream.loseConnection()

    def open(self, upstream: Any) -> None:
        """Start forwarding in both directions, with flow control."""
        self.upstream = upstream
        upstream.registerProducer(self.transport, True)
        cast(Any, self.transport).registerProducer(upstream, True)
        upstream.write(self._pending_data)


class Upstream(Protocol):
    """Connection to an engine."""

    def __init__(self, downstream: Downstream) -> None:
        """Relay to a caller."""
        self._downstream = downstream

    def connectionMade(self) -> None:
        """Start the relay."""
        _set_nodelay(self)
        self._caller = cast(Any, self._downstream.transport)
        self._downstream.open(self.transport)

    def dataReceived(self, data: bytes) -> None:
        """Forward to the caller."""
        self._caller.write(data)

    def connectionLost(self, reason: Any = None) -> None:
        """Close the caller's connection."""
        self._caller.loseConnection()


class UpstreamFactory(ClientFactory):
    """Builds the connection to the engine for one caller."""

    noisy = False

    def __init__(self, downstream: Downstream) -> None:
        """Serve one caller."""
        self._downstream = downstream

    def buildProtocol(self, addr: object) -> Protocol:
        """Return the protocol of the connection to the engine."""
        return Upstream(self._downstream)


class RelayFactory(Factory):
    """Assigns callers to the targets round-robin."""

    def __init__(self, ports: list[int]) -> None:
        """Relay to these ports."""
        self._ports = cycle(ports)

    def buildProtocol(self, addr: object) -> Protocol:
        """Return the protocol of a caller's connection."""
        return Downstream(next(self._ports))


def _set_nodelay(protocol: Protocol) -> None:
    cast(Any, protocol.transport).setTcpNoDelay(True)


def main() -> None:
    """Run the relay."""
    parse_flags(_FLAGS)
    loop.install_reactor()
    reactor = loop.get_reactor()
    factory = RelayFactory([int(port) for port in _FLAGS.targets])
    if _FLAGS.loop_transports:
        asyncio.get_event_loop().run_until_complete(
            open_server(factory, _HOST, _FLAGS.port),
        )
    else:
        reactor.listenTCP(_FLAGS.port, factory, interface=_HOST)
    reactor.run()


if __name__ == '__main__':
    main()
