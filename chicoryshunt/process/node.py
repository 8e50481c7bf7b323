"""The daemon: opens the ports, reads the platform, runs until told."""

import asyncio
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any

import msgspec

from chicoryshunt.clock import SystemClock
from chicoryshunt.connection.channels import close_channels
from chicoryshunt.connection.client import HttpClient
from chicoryshunt.connection.loop import await_deferred, get_reactor
from chicoryshunt.connection.platform_api import PublishedValue, PublishedVms
from chicoryshunt.connection.web import BoundedSite
from chicoryshunt.events import log_event, log_problem
from chicoryshunt.exceptions import ChicoryshuntError
from chicoryshunt.process.assembly import OwnerParts, build_owner, build_peers
from chicoryshunt.process.callers import CallerApi
from chicoryshunt.process.driver import TICK_SECONDS
from chicoryshunt.process.links import Links
from chicoryshunt.process.pause import Pulse
from chicoryshunt.process.peers import PeerServer
from chicoryshunt.process.state import NodeState
from chicoryshunt.settings import Settings
from chicoryshunt.types import Incarnation
from chicoryshunt.version.config import Config

_POLL_SECONDS = 1.0
_GRACE_SECONDS = 1.0
_NS_PER_MS = 1_000_000


def run_node(settings: Settings) -> None:
    """Run a node until it has left after a SIGTERM."""
    reactor = get_reactor()
    state = NodeState(settings)
    failures: list[BaseException | None] = []

    def stop(running: 'asyncio.Task[None]') -> None:
        failures.append(running.exception())
        reactor.stop()

    def start() -> None:
        asyncio.ensure_future(_run(state)).add_done_callback(stop)

    reactor.callWhenRunning(start)
    reactor.run()
    for failure in failures:
        if failure is not None:
            raise failure


async def _run(state: NodeState) -> None:
    incarnation = Incarnation(time.time_ns() // _NS_PER_MS)
    links = Links()
    peers = build_peers(state, incarnation, links, SystemClock())
    parts = build_owner(state, incarnation, peers, state.leave)
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM,
        parts.departure.start,
        'SIGTERM',
    )
    async with serve_peers(state, peers.server), serve_callers(state, parts):
        reading = asyncio.gather(
            read_platform(state, links, parts),
            _keep_pulse(peers.pulse),
        )
        log_event('node_started', vm=state.settings.vm)
        await parts.departure.wait()
        await _cancel(reading)
    log_event('node_left', vm=state.settings.vm)


@asynccontextmanager
async def serve_peers(
    state: NodeState,
    server: PeerServer,
) -> AsyncIterator[None]:
    """Listen for other nodes."""
    listen = state.settings.listen
    listening = await server.start(f'{listen.host}:{listen.peer}')
    try:
        yield
    finally:
        await listening.stop(_GRACE_SECONDS)


@asynccontextmanager
async def serve_callers(
    state: NodeState,
    parts: OwnerParts,
) -> AsyncIterator[None]:
    """Listen for callers; let every answer leave before the end."""
    listen = state.settings.listen
    limits = state.settings.limits
    site = BoundedSite(
        CallerApi(state, parts.calls, parts.drain).handle,
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
        await await_deferred(listener.stopListening())
        await close_channels(site.channels)


async def read_platform(
    state: NodeState,
    links: Links,
    parts: OwnerParts,
) -> None:
    """Keep the configuration and the VM list up to date."""
    client = HttpClient()
    while True:
        try:
            await _read_once(state, links, parts, client)
        except (ChicoryshuntError, msgspec.DecodeError) as error:
            log_problem('platform_unreadable', error=str(error))
        await asyncio.sleep(_POLL_SECONDS)


async def _read_once(
    state: NodeState,
    links: Links,
    parts: OwnerParts,
    client: HttpClient,
) -> None:
    await _read_vms(state, links, parts, client)
    await _read_config(state, client)


async def _read_vms(
    state: NodeState,
    links: Links,
    parts: OwnerParts,
    client: HttpClient,
) -> None:
    was_marked = _is_marked(state)
    platform = state.settings.platform
    _, body = await client.read('GET', f'{platform.vms}/v1/vms')
    state.vms = msgspec.json.decode(body, type=PublishedVms).vms
    links.learn(state.vms)
    if _is_marked(state) and was_marked is False:
        parts.departure.start('vm_list')


async def _cancel(running: 'asyncio.Future[Any]') -> None:
    running.cancel()
    with suppress(asyncio.CancelledError):
        await running


async def _keep_pulse(pulse: Pulse) -> None:
    while True:
        pulse.check()
        await asyncio.sleep(TICK_SECONDS)


def _is_marked(state: NodeState) -> bool | None:
    for vm in state.vms:
        if vm.vm == state.settings.vm:
            return vm.leaving
    return None


async def _read_config(state: NodeState, client: HttpClient) -> None:
    platform = state.settings.platform
    _, body = await client.read('GET', f'{platform.config}/v1/values/base')
    published = msgspec.json.decode(body, type=PublishedValue)
    config = msgspec.json.decode(published.value, type=Config)
    if state.config is None or config.version > state.config.version:
        state.config = config
        log_event('version_in_force', version=config.version)
