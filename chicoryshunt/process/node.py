"""The daemon: opens the ports, reads the platform, runs until told."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from chicoryshunt.connection.bounds import ServerBounds
from chicoryshunt.connection.client import HttpClient
from chicoryshunt.connection.loop import get_reactor
from chicoryshunt.connection.loop_transport import open_server
from chicoryshunt.connection.platform_api import PublishedValue
from chicoryshunt.connection.web import BoundedSite
from chicoryshunt.events import log_event, log_problem
from chicoryshunt.exceptions import ChicoryshuntError
from chicoryshunt.process.callers import CallerApi
from chicoryshunt.process.mesh import Mesh
from chicoryshunt.process.state import NodeState
from chicoryshunt.settings import Settings
from chicoryshunt.version.config import Config

_POLL_SECONDS = 1.0


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
    server = asyncio.get_event_loop().run_until_complete(
        open_server(site, listen.host, listen.caller),
    )
    try:
        yield
    finally:
        server.close()


async def run_tasks(state: NodeState, mesh: Mesh) -> None:
    """Read the platform and talk to the other nodes."""
    client = HttpClient()
    await asyncio.gather(
        state.fleet.run(mesh, client),
        read_platform(state, client),
    )


async def read_platform(state: NodeState, client: HttpClient) -> None:
    """Keep the configuration up to date."""
    while True:
        try:
            await _read_once(state, client)
        except (ChicoryshuntError, msgspec.DecodeError) as error:
            log_problem('platform_unreadable', error=str(error))
        await asyncio.sleep(_POLL_SECONDS)


async def _read_once(state: NodeState, client: HttpClient) -> None:
    platform = state.settings.platform
    _, body = await client.read('GET', f'{platform.config}/v1/values/base')
    published = msgspec.json.decode(body, type=PublishedValue)
    config = msgspec.json.decode(published.value, type=Config)
    if state.config is None or config.version > state.config.version:
        state.config = config
        log_event('version_in_force', version=config.version)
