"""The daemon: opens the ports, drives every part, runs until told."""

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
    ConfigParts,
    build_configuration,
    keep_configuration,
    register_pull,
)
from chicoryshunt.process.mesh import Mesh
from chicoryshunt.process.order_runner import OrderRunner, build_order_link
from chicoryshunt.process.peers import PeerServer
from chicoryshunt.process.state import NodeState
from chicoryshunt.settings import Settings


def run_node(settings: Settings) -> None:
    """Run a node until SIGTERM."""
    reactor = get_reactor()
    state = NodeState(settings)
    parts = build_configuration(
        state.configuration,
        settings.vm,
        settings.data_centre,
        state.fleet.membership.roster,
        state.fleet.rng,
        state.metrics,
    )
    state.fleet.cores.extend((parts.spread, state.orders))
    with serve_callers(state), state.fleet.serve() as mesh:
        reactor.callWhenRunning(
            lambda: asyncio.ensure_future(run_tasks(state, mesh, parts)),
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


@asynccontextmanager
async def serve_peers(
    state: NodeState,
    parts: ConfigParts,
) -> AsyncIterator[None]:
    """Listen for the calls of other nodes."""
    listen = state.settings.listen
    server = PeerServer(state.fleet.call_seal, state.fleet.links)
    register_pull(server, parts.spread)
    listening = await server.start(f'{listen.host}:{listen.peer}')
    try:
        yield
    finally:
        await listening.stop(None)


async def run_tasks(state: NodeState, mesh: Mesh, parts: ConfigParts) -> None:
    """Read the platform and talk to the other nodes."""
    client = HttpClient()
    check_pulse = state.fleet.pulse.check
    async with serve_peers(state, parts):
        await asyncio.gather(
            state.fleet.run(mesh, client),
            state.scheduler.run(),
            OrderRunner(state.orders, build_order_link(), check_pulse).run(),
            keep_configuration(
                parts,
                HttpConfigService(state.settings.platform.config, client),
                state.fleet.peer_client,
                state.metrics,
                check_pulse,
            ),
        )
