"""The daemon: opens the ports, reads the platform, runs until told."""

import asyncio
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager

import msgspec

from chicoryshunt.connection.client import HttpClient
from chicoryshunt.connection.loop import get_reactor
from chicoryshunt.connection.platform import HttpConfigService
from chicoryshunt.connection.platform_api import PublishedVms
from chicoryshunt.connection.web import BoundedSite
from chicoryshunt.events import log_event, log_problem
from chicoryshunt.exceptions import ChicoryshuntError
from chicoryshunt.process.callers import CallerApi
from chicoryshunt.process.config_assembly import (
    ConfigParts,
    build_configuration,
    keep_configuration,
    register_pull,
)
from chicoryshunt.process.driver import drive_cores
from chicoryshunt.process.mesh import Mesh
from chicoryshunt.process.peers import PeerClient, PeerServer
from chicoryshunt.process.seal import Purpose, Seal
from chicoryshunt.process.state import NodeState
from chicoryshunt.settings import Settings
from chicoryshunt.types import DataCentreId, VmId

_POLL_SECONDS = 1.0


class ListedMembers:
    """Takes every listed VM that does not leave for a live one."""

    def __init__(self, state: NodeState) -> None:
        """Read the list that the state holds."""
        self._state = state

    def list_live(
        self,
        data_centre: DataCentreId | None = None,
    ) -> Sequence[VmId]:
        """Return live VMs of one data centre or all."""
        return [
            vm.vm
            for vm in self._state.vms
            if not vm.leaving and data_centre in {None, vm.data_centre}
        ]

    def list_published(self) -> Sequence[VmId]:
        """Return the VMs of the platform's list."""
        return [vm.vm for vm in self._state.vms]


def run_node(settings: Settings) -> None:
    """Run a node until SIGTERM."""
    reactor = get_reactor()
    state = NodeState(settings)
    parts = build_configuration(
        state.configuration,
        settings.vm,
        settings.data_centre,
        ListedMembers(state),
        state.rng,
        state.metrics,
    )
    mesh = build_mesh(state, parts)
    with serve_callers(state), serve_mesh(settings, mesh):
        reactor.callWhenRunning(
            lambda: asyncio.ensure_future(run_tasks(state, mesh, parts)),
        )
        log_event('node_started', vm=settings.vm)
        reactor.run()


async def run_tasks(state: NodeState, mesh: Mesh, parts: ConfigParts) -> None:
    """Read the platform and drive the cores until the node stops."""
    settings = state.settings
    client = HttpClient()
    seal = _build_seal(state, Purpose.call)
    async with serve_peers(state, seal, parts):
        await asyncio.gather(
            read_platform(state, client),
            drive_cores((parts.spread,), mesh, state.pulse),
            keep_configuration(
                parts,
                HttpConfigService(settings.platform.config, client),
                PeerClient(seal, state.links),
                state.metrics,
                state.pulse.check,
            ),
        )


def build_mesh(state: NodeState, parts: ConfigParts) -> Mesh:
    """Return the mesh that carries the messages of the cores."""
    return Mesh(
        _build_seal(state, Purpose.datagram),
        state.links,
        state.pulse,
        state.metrics,
        (parts.spread,),
    )


@contextmanager
def serve_mesh(settings: Settings, mesh: Mesh) -> Iterator[None]:
    """Listen for datagrams of other nodes."""
    listen = settings.listen
    port = get_reactor().listenUDP(listen.gossip, mesh, interface=listen.host)
    try:
        yield
    finally:
        port.stopListening()


@asynccontextmanager
async def serve_peers(
    state: NodeState,
    seal: Seal,
    parts: ConfigParts,
) -> AsyncIterator[None]:
    """Listen for the calls of other nodes."""
    listen = state.settings.listen
    server = PeerServer(seal, state.links)
    register_pull(server, parts.spread)
    listening = await server.start(f'{listen.host}:{listen.peer}')
    try:
        yield
    finally:
        await listening.stop(None)


@contextmanager
def serve_callers(state: NodeState) -> Iterator[None]:
    """Listen for callers."""
    listen = state.settings.listen
    limits = state.settings.limits
    site = BoundedSite(
        CallerApi(state).handle,
        limits.body_bytes,
        limits.body_seconds,
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


async def read_platform(state: NodeState, client: HttpClient) -> None:
    """Keep the VM list up to date."""
    while True:
        try:
            await _read_once(state, client)
        except (ChicoryshuntError, msgspec.DecodeError) as error:
            log_problem('platform_unreadable', error=str(error))
        await asyncio.sleep(_POLL_SECONDS)


async def _read_once(state: NodeState, client: HttpClient) -> None:
    platform = state.settings.platform
    _, body = await client.read('GET', f'{platform.vms}/v1/vms')
    state.vms = msgspec.json.decode(body, type=PublishedVms).vms
    state.links.learn(state.vms)


def _build_seal(state: NodeState, purpose: Purpose) -> Seal:
    settings = state.settings
    return Seal(settings.key, settings.vm, state.incarnation, purpose)
