"""Parts that all stand-in processes share: flags, server, faults."""

import sys
from collections.abc import Callable

import msgspec
from absl import flags

from chicoryshunt.connection import loop
from chicoryshunt.connection.bounds import ServerBounds
from chicoryshunt.connection.relayed_exchange import RelayedExchange
from chicoryshunt.connection.web import BoundedSite, Handler
from lab.standins.faults import Fault, FaultKind, Faults

_BOUNDS = ServerBounds(
    connections=4096,
    header_seconds=20,
    body_bytes=16 << 20,
    body_seconds=20,
    open_bodies_bytes=64 << 20,
)


def parse_flags(values: flags.FlagValues) -> None:
    """Parse the command line of a stand-in; exit with 2 on an error."""
    try:
        values(sys.argv)
    except flags.Error as error:
        print(error, file=sys.stderr)
        sys.exit(2)


def serve_stand_in(
    name: str,
    port: int,
    build: Callable[[Faults], Handler],
) -> None:
    """Listen on loopback and serve until SIGTERM."""
    loop.install_reactor()
    reactor = loop.get_reactor()
    site = _build_site(build)
    listener = reactor.listenTCP(port, site, interface='127.0.0.1')
    print(f'{name} listening on {listener.getHost().port}', flush=True)
    reactor.run()


def _build_site(build: Callable[[Faults], Handler]) -> BoundedSite:
    faults = Faults()
    handler = build(faults)

    async def handle(exchange: RelayedExchange) -> None:
        if exchange.segments == ('faults',):
            fault = msgspec.json.decode(exchange.body, type=Fault)
            faults.apply(fault)
            exchange.respond_json({'applied': fault.kind.value})
        elif faults.is_on(FaultKind.down):
            exchange.abort()
        else:
            await handler(exchange)

    return BoundedSite(handle, _BOUNDS)
