"""A node on the users' platform: everything put together and run."""

import asyncio
import os
import signal
import time
from collections.abc import AsyncIterator, Iterable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any, Final

from chicoryshunt.address import Address
from chicoryshunt.clock import SystemClock
from chicoryshunt.connection.bounds import ServerBounds
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.loop import get_reactor
from chicoryshunt.connection.loop_transport import open_server
from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.connection.upstream import UpstreamPool
from chicoryshunt.connection.web import (
    BoundedSite,
    Handler,
    close_connections,
)
from chicoryshunt.dispatch.extras import ExtraBudget
from chicoryshunt.events import log_event
from chicoryshunt.fleet.catalog import Catalog
from chicoryshunt.fleet.discovery import Discovery
from chicoryshunt.fleet.entrances import list_entrances
from chicoryshunt.fleet.facts import Fact
from chicoryshunt.fleet.feed import Feed
from chicoryshunt.fleet.rules_exchange import RulesExchange
from chicoryshunt.fleet.workload import Workload
from chicoryshunt.platform import wire
from chicoryshunt.platform.callers import CallerWire
from chicoryshunt.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    load_settings,
)
from chicoryshunt.platform.store import StoreClient, StoreReader
from chicoryshunt.platform.targets import TargetWire
from chicoryshunt.process.core import Core
from chicoryshunt.process.driver import drive_cores
from chicoryshunt.process.links import Links
from chicoryshunt.process.membership import Membership
from chicoryshunt.process.mesh import Mesh
from chicoryshunt.process.metrics import Metrics
from chicoryshunt.process.pause import Pulse
from chicoryshunt.process.seal import Purpose, Seal
from chicoryshunt.relay.gateway import Gateway
from chicoryshunt.relay.reports import ReportWatch
from chicoryshunt.relay.surroundings import Surroundings
from chicoryshunt.types import ConfigVersion, DataCentreId, Incarnation, VmId

_MILLISECONDS = 1000
_CONNECT_SECONDS = 0.4
# Callers keep a list of nodes for this long.
_KEEP_SECONDS = 1.0
# A leaving node serves on until kept lists that name it have expired.
_LINGER_SECONDS = 3.0
_GRACE_MARGIN_SECONDS = 0.5
_POLL_SECONDS = 0.05
_BOUNDS = ServerBounds(
    connections=3000,
    header_seconds=10,
    body_bytes=4 << 20,
    body_seconds=30,
    open_bodies_bytes=32 << 20,
)
_READY: Final = 200
_NOT_READY: Final = 503
_JSON: Final = 'application/json'


class Node:
    """One node; ``run`` returns when the platform has stopped it."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Build every part; nothing listens yet."""
        self.settings = settings
        self.clock = SystemClock()
        self.rng = Random()
        self.metrics = Metrics()
        self.pulse = Pulse(self.clock)
        self.catalog = Catalog()
        self.pool = UpstreamPool(_CONNECT_SECONDS)
        now = self.clock.now()
        own = _describe(settings, settings.vm, settings.data_centre)
        incarnation = Incarnation(round(time.time() * _MILLISECONDS))
        self.membership = Membership(own, incarnation, self.rng, now)
        self.links = Links()
        seal = Seal(b'', settings.vm, incarnation, Purpose.datagram)
        self.membership.on_raise(seal.raise_incarnation)
        self.discovery = Discovery(
            own,
            _list_seeds(settings),
            self.membership,
            self.links,
            self.rng,
        )
        self.feed = Feed(
            self.catalog,
            self.membership,
            settings.data_centre,
            now,
        )
        self.workload = Workload(self.membership, now)
        self.cores: tuple[Core, ...] = (
            self.membership,
            self.discovery,
            self.feed,
            self.workload,
        )
        self.mesh = Mesh(
            seal,
            self.links,
            self.pulse,
            self.metrics,
            self.cores,
        )
        self.rules_exchange = RulesExchange(self.catalog, self.pool)
        self.feed.on_rules_behind(self._fetch_rules)
        self.gateway = self._build_gateway()
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM, then leave within the grace period."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        settings = self.settings
        get_reactor().listenUDP(
            settings.first_internal_port,
            self.mesh,
            interface=settings.callers.host,
        )
        async with self._listen() as fronts:
            log_event(
                'node_started',
                vm=settings.vm,
                data_centre=settings.data_centre,
                incarnation=self.membership.incarnation,
                seeds=','.join(map(str, settings.seeds)),
            )
            background = [
                asyncio.ensure_future(
                    drive_cores(self.cores, self.mesh, self.pulse),
                ),
                asyncio.ensure_future(self._build_reader().run()),
                asyncio.ensure_future(self._build_reports().run()),
                asyncio.ensure_future(self._watch_age()),
            ]
            await self._wait_stop(background)
            await self._leave(fronts)

    async def _wait_stop(
        self, background: Iterable[asyncio.Task[None]]
    ) -> None:
        """Wait for the signal; a background task never ends by itself."""
        stopping = asyncio.ensure_future(self._stopping.wait())
        done, _ = await asyncio.wait(
            (stopping, *background),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for one in done:
            one.result()

    @asynccontextmanager
    async def _listen(self) -> AsyncIterator[BoundedSite]:
        settings = self.settings
        fronts = BoundedSite(self.gateway.handle, _BOUNDS)
        servers = [
            await self._open(fronts, settings.callers),
            await self._serve(self._handle_ready, settings.readiness),
            await self._serve(self._handle_directory, settings.directory),
            await self._serve(self.rules_exchange.handle, settings.peers),
        ]
        try:
            yield fronts
        finally:
            for server in servers:
                server.close()

    async def _serve(
        self,
        handler: Handler,
        address: Address,
    ) -> asyncio.Server:
        return await self._open(BoundedSite(handler, _BOUNDS), address)

    async def _open(
        self, site: BoundedSite, address: Address
    ) -> asyncio.Server:
        return await open_server(site, address.host, address.port)

    async def _leave(self, fronts: BoundedSite) -> None:
        started = self.clock.now()
        log_event('node_leaving', active=self.gateway.active)
        self.gateway.is_leaving = True
        self.mesh.send_all(self.membership.leave(started))
        last = (
            started + self.settings.bounds.stop_grace - (_GRACE_MARGIN_SECONDS)
        )
        while self.clock.now() < last:
            lingered = self.clock.now() - started >= _LINGER_SECONDS
            if lingered and not self.gateway.active:
                break
            await asyncio.sleep(_POLL_SECONDS)
        remaining = max(last - self.clock.now(), _POLL_SECONDS)
        try:
            await asyncio.wait_for(close_connections(fronts), remaining)
        except TimeoutError:
            log_event('connections_left', count=fronts.usage.connections)
        log_event('node_stopped', active=self.gateway.active)

    async def _handle_ready(self, exchange: Exchange) -> None:
        knows_rules = self.catalog.rules is not None
        is_ready = knows_rules and not self.gateway.is_leaving
        exchange.respond(b'', _JSON, _READY if is_ready else _NOT_READY)

    async def _handle_directory(self, exchange: Exchange) -> None:
        if exchange.path != wire.RESOLVE_PATH:
            exchange.respond(b'', _JSON, 404)
            return
        entrances = list_entrances(
            self.membership.roster,
            DataCentreId(exchange.get_query('zone', '')),
            self.rng,
        )
        keep = min(_KEEP_SECONDS, self.settings.bounds.entry_keep_most)
        exchange.respond_json({'addresses': entrances, 'ttl_s': keep})

    async def _watch_age(self) -> None:
        """Tell the gateway how old the rules may be."""
        while True:
            self.gateway.set_rules_age(
                self.feed.measure_age(self.clock.now()),
            )
            await asyncio.sleep(_POLL_SECONDS)

    def _reload(self) -> None:
        """Read the settings file again and say what changed."""
        changed = load_settings(get_settings_path())
        log_event('settings_reloaded', changed=changed != self.settings)

    def _fetch_rules(self, vm: VmId, version: ConfigVersion) -> None:
        known = self.discovery.find(vm)
        if known is not None:
            self.rules_exchange.fetch(vm, known.peer, version)

    def _build_gateway(self) -> Gateway:
        self.around = Surroundings(
            data_centre=self.settings.data_centre,
            clock=self.clock,
            catalog=self.catalog,
            membership=self.membership,
            workload=self.workload,
            pool=self.pool,
            port=TargetWire(),
            extras=ExtraBudget(self.settings.bounds.extra),
            metrics=self.metrics,
            send=self.mesh.send_all,
            publish=self._publish,
        )
        return Gateway(
            self.around,
            CallerWire(self.clock),
            self.settings.bounds.config_apply,
        )

    def _publish(self, facts: Sequence[Fact]) -> None:
        self.mesh.send_all(self.feed.publish(facts))

    def _build_reports(self) -> ReportWatch:
        return ReportWatch(
            self.around,
            self.gateway.generations.list_engines,
            self.feed.measure_age,
        )

    def _build_reader(self) -> StoreReader:
        client = StoreClient(self.settings.store, self.pool, self.metrics)
        return StoreReader(
            client,
            self.catalog,
            self.feed,
            self.mesh,
            self.clock,
        )


def get_settings_path() -> Path:
    """Return where the platform says that the settings file is."""
    return Path(os.environ.get(SETTINGS_VARIABLE, 'settings.conf'))


def run_node() -> None:
    """Run a node on the installed reactor's loop until it has stopped."""
    settings = load_settings(get_settings_path())
    reactor = get_reactor()
    outcome: list[Any] = []

    async def run() -> None:
        try:
            await Node(settings).run()
        except Exception as error:
            outcome.append(error)
        reactor.stop()

    reactor.callWhenRunning(
        lambda: outcome.append(asyncio.ensure_future(run()))
    )
    reactor.run(installSignalHandlers=False)
    for failure in outcome:
        if isinstance(failure, Exception):
            raise failure


def _describe(
    settings: PlatformSettings,
    vm: VmId,
    data_centre: DataCentreId,
) -> PublishedVm:
    """Return the addresses of a VM; ports are the same on all of them."""
    return PublishedVm(
        vm,
        data_centre,
        caller=f'{vm}:{settings.callers.port}',
        peer=f'{vm}:{settings.peers.port}',
        gossip=f'{vm}:{settings.first_internal_port}',
    )


def _list_seeds(settings: PlatformSettings) -> list[PublishedVm]:
    return [
        _describe(settings, VmId(seed.host), DataCentreId(''))
        for seed in settings.seeds
    ]
