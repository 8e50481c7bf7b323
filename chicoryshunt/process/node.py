"""The daemon: opens the ports, reads the platform, runs until told."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

from chicoryshunt.connection.bounds import ServerBounds
from chicoryshunt.connection.client import HttpClient
from chicoryshunt.connection.loop import get_reactor
from chicoryshunt.connection.platform import HttpConfigService
from chicoryshunt.connection.web import BoundedSite
from chicoryshunt.events import log_event
from chicoryshunt.process.callers import CallerApi
from chicoryshunt.process.config_assembly import (
    keep_configuration,
    register_pull,
)
from chicoryshunt.process.mesh import Mesh
from chicoryshunt.process.peers import PeerClient, PeerServer
from chicoryshunt.process.seal import Purpose, Seal
from chicoryshunt.process.state import NodeState
from chicoryshunt.settings import Settings


def run_node(settings: Settings) -> None:
    """Run a node until SIGTERM."""
    reactor = get_reactor()
    state = NodeState(settings)
    with serve_callers(state), state.fleet.serve() as mesh:
        reactor.callWhenRunning(
            lambda: asyncio.ensure_future(run_tasks(state, mesh)),
        )
        log_event('node_started', vm=settings.vm)
        reactor.run()


@contextmanager
def serve_callers(state: NodeState) -> Iterator[None]:
    """Listen for callers."""
    listen = state.settings.listen
    limits = state.settings.limits
    site = BoundedSite(
        CallerApi(state).handle,
        ServerBounds(
            limits.connections,
            limits.header_seconds,
            limits.body_bytes,
            limits.body_seconds,
            limits.open_bodies_bytes,
        ),
    )
    listener = get_reactor().listenTCP(
        listen.caller,
        site,
        interface=listen.host,
    )
    try:
        yield
    finally:
        listener.stopListening()


async def run_tasks(state: NodeState, mesh: Mesh) -> None:
    """Read the platform and talk to the other nodes."""
    settings = state.settings
    client = HttpClient()
    seal = state.fleet.build_seal(Purpose.call)
    async with serve_peers(state, seal):
        await asyncio.gather(
            state.fleet.run(mesh, client),
            state.scheduler.run(),
            keep_configuration(
                state.config_parts,
                HttpConfigService(settings.platform.config, client),
                PeerClient(seal, state.fleet.links),
                state.metrics,
                state.fleet.pulse.check,
            ),
        )


@asynccontextmanager
async def serve_peers(state: NodeState, seal: Seal) -> AsyncIterator[None]:
    """Listen for the calls of other nodes."""
    listen = state.settings.listen
    server = PeerServer(seal, state.fleet.links)
    register_pull(server, state.config_parts.spread)
    listening = await server.start(f'{listen.host}:{listen.peer}')
    try:
        yield
    finally:
        await listening.stop(None)
