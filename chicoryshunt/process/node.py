"""The daemon: opens the ports and runs until it is shut down."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

from chicoryshunt.configuration.config_assembly import (
    ConfigParts,
    build_configuration,
    keep_configuration,
    register_pull,
)
from chicoryshunt.connection.bounds import ServerBounds
from chicoryshunt.connection.client import HttpClient
from chicoryshunt.connection.loop import get_reactor
from chicoryshunt.connection.loop_transport import open_server
from chicoryshunt.connection.platform import HttpConfigService
from chicoryshunt.connection.web import BoundedSite, close_connections
from chicoryshunt.events import log_event, log_problem
from chicoryshunt.nodes.mesh import Mesh
from chicoryshunt.nodes.peers import PeerServer
from chicoryshunt.orders.order_runner import OrderRunner, build_order_client
from chicoryshunt.ownership.drain import GracefulShutdown
from chicoryshunt.serving.assembly import OwnerComponents, build_owner
from chicoryshunt.serving.callers import CallerApi
from chicoryshunt.serving.state import NodeState
from chicoryshunt.settings import Settings
from chicoryshunt.signals import STOP_SIGNALS, ignore_stop_signals
from chicoryshunt.types import VmId, VmState

_GRACE_SECONDS = 1.0


def run_node(settings: Settings) -> None:
    """Run a node until its shutdown is complete.

    Raises the exception of a part that failed.
    """
    reactor = get_reactor()
    state = NodeState(settings)
    failures: list[BaseException | None] = []

    def stop(running: 'asyncio.Task[None]') -> None:
        failures.append(running.exception())
        ignore_stop_signals()
        reactor.stop()

    def start() -> None:
        asyncio.ensure_future(_serve(state)).add_done_callback(stop)

    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    for failure in failures:
        if failure is not None:
            raise failure


async def _serve(state: NodeState) -> None:
    settings = state.settings
    config = build_configuration(
        state.configuration,
        settings.vm,
        settings.data_centre,
        state.fleet.membership.roster,
        state.fleet.rng,
        state.metrics,
    )
    state.fleet.cores.extend((config.gossip, state.orders))
    server = PeerServer(
        state.fleet.call_seal,
        state.fleet.links,
        state.fleet.pause_detector,
        state.metrics,
    )
    register_pull(server, config.gossip)
    with state.fleet.serve() as mesh:
        components = build_owner(
            state,
            server,
            partial(state.fleet.leave, mesh),
        )
        async with (
            serve_peers(settings, server),
            serve_callers(state, components),
        ):
            log_event('node_started', vm=settings.vm)
            await _run_until_shut_down(state, mesh, config, components)
    log_event('node_left', vm=settings.vm)


async def _run_until_shut_down(
    state: NodeState,
    mesh: Mesh,
    config: ConfigParts,
    components: OwnerComponents,
) -> None:
    running = asyncio.ensure_future(run_tasks(state, mesh, config))
    running.add_done_callback(
        partial(_shut_down_on_failure, components.shutdown)
    )
    start_shutdown_on_signal(components.shutdown)
    state.fleet.membership.subscribe(
        partial(
            _shut_down_when_leaving, state.settings.vm, components.shutdown
        ),
    )
    await components.shutdown.wait()
    if running.done():
        await running
    running.cancel()


def start_shutdown_on_signal(shutdown: GracefulShutdown) -> None:
    """Start the graceful shutdown on SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    for stop_signal in STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, shutdown.start, stop_signal.name)


def _shut_down_when_leaving(
    own_vm: VmId,
    shutdown: GracefulShutdown,
    vm: VmId,
    state: VmState,
) -> None:
    if vm == own_vm and state is VmState.leaving and not shutdown.is_started:
        shutdown.start('vm_list')


def _shut_down_on_failure(
    shutdown: GracefulShutdown,
    running: 'asyncio.Future[None]',
) -> None:
    if not running.cancelled() and running.exception() is not None:
        log_problem('task_failed', error=repr(running.exception()))
        shutdown.start('task_failed')


@asynccontextmanager
async def serve_callers(
    state: NodeState,
    components: OwnerComponents,
) -> AsyncIterator[None]:
    """Listen for callers; send all pending answers before closing."""
    listen = state.settings.listen
    limits = state.settings.limits
    site = BoundedSite(
        CallerApi(state, components).handle,
        ServerBounds(
            limits.connections,
            limits.header_seconds,
            limits.body_bytes,
            limits.body_seconds,
            limits.open_bodies_bytes,
        ),
    )
    server = await open_server(site, listen.host, listen.caller)
    try:
        yield
    finally:
        server.close()
        await close_connections(site)


@asynccontextmanager
async def serve_peers(
    settings: Settings,
    server: PeerServer,
) -> AsyncIterator[None]:
    """Listen for calls of other nodes."""
    listen = settings.listen
    peer_server = await server.start(f'{listen.host}:{listen.peer}')
    try:
        yield
    finally:
        await peer_server.stop(_GRACE_SECONDS)


async def run_tasks(state: NodeState, mesh: Mesh, parts: ConfigParts) -> None:
    """Run the background tasks of the node until one of them fails."""
    client = HttpClient()
    check_pause = state.fleet.pause_detector.check
    await asyncio.gather(
        state.fleet.run(mesh, client),
        state.scheduler.run(),
        OrderRunner(state.orders, build_order_client(), check_pause).run(),
        keep_configuration(
            parts,
            HttpConfigService(state.settings.platform.config, client),
            state.fleet.peer_client,
            state.metrics,
            check_pause,
        ),
    )
