"""Builds and runs a node on the users' platform."""

import asyncio
import os
import signal
import time
from collections.abc import Iterable
from pathlib import Path
from random import Random

from chicoryshunt.address import Address
from chicoryshunt.clock import SystemClock
from chicoryshunt.connection.loop import get_reactor
from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.connection.upstream import UpstreamPool
from chicoryshunt.connection.web import close_connections
from chicoryshunt.dispatch.retry_budget import FleetRetryBudget
from chicoryshunt.events import log_event, log_problem
from chicoryshunt.exceptions import SettingsError
from chicoryshunt.fleet.agent import FleetAgent
from chicoryshunt.fleet.rules_exchange import RulesExchange
from chicoryshunt.metrics import Metrics
from chicoryshunt.platform.callers import PlatformCallerCodec
from chicoryshunt.platform.servers import NodeServers, SiteServer
from chicoryshunt.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    load_settings,
)
from chicoryshunt.platform.store import StoreClient, StoreReader
from chicoryshunt.platform.targets import PlatformTargetCodec
from chicoryshunt.relay.context import RelayContext
from chicoryshunt.relay.engine_poller import EnginePoller
from chicoryshunt.relay.gateway import Gateway
from chicoryshunt.types import ConfigVersion, DataCentreId, Incarnation, VmId

_MILLISECONDS = 1000
_CONNECT_SECONDS = 0.4
# A leaving node keeps serving until most cached lists with it have expired.
_LINGER_SECONDS = 3.0
_POLL_SECONDS = 0.05


class Node:
    """Node on the platform; ``run`` returns once the platform stops it."""

    def __init__(
        self,
        settings: PlatformSettings,
        connect_seconds: float = _CONNECT_SECONDS,
    ) -> None:
        """Build the parts of the node without listening yet."""
        self._settings = settings
        self._clock = SystemClock()
        self._metrics = Metrics()
        self._pool = UpstreamPool(connect_seconds)
        self._fleet_agent = FleetAgent(
            _describe(settings, settings.vm, settings.data_centre),
            _list_seeds(settings),
            Incarnation(round(time.time() * _MILLISECONDS)),
            self._clock,
            self._metrics,
            Random(),
        )
        self._rules_exchange = RulesExchange(
            self._fleet_agent.catalog,
            self._pool,
        )
        self._fleet_agent.catalog_sync.on_rules_behind(self._fetch_rules)
        self._fleet_agent.rules_offers.on_offer(self._fetch_rules)
        self._context = self._build_context()
        self._gateway = Gateway(
            self._context,
            PlatformCallerCodec(self._clock),
            settings.bounds.config_apply,
            self._fleet_agent.catalog_sync.measure_age,
        )
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM, then shut down within the grace period."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        settings = self._settings
        self._fleet_agent.listen(
            get_reactor(),
            Address(settings.callers.host, settings.first_internal_port),
        )
        servers = NodeServers(
            settings,
            self._gateway,
            self._fleet_agent,
            self._rules_exchange,
            self._metrics,
        )
        async with servers.open() as callers:
            log_event(
                'node_started',
                vm=settings.vm,
                data_centre=settings.data_centre,
                incarnation=self._fleet_agent.membership.incarnation,
                seeds=','.join(map(str, settings.seeds)),
            )
            await self._wait_stop(
                [
                    asyncio.ensure_future(self._fleet_agent.run()),
                    asyncio.ensure_future(self._build_reader().run()),
                    asyncio.ensure_future(self._build_poller().run()),
                ],
            )
            await self._leave(callers)

    async def _wait_stop(
        self, background: Iterable[asyncio.Task[None]]
    ) -> None:
        """Wait for the signal; raise the error of a failed background task."""
        stopping = asyncio.ensure_future(self._stopping.wait())
        done, _ = await asyncio.wait(
            (stopping, *background),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for one in done:
            one.result()

    async def _leave(self, callers: SiteServer) -> None:
        started = self._clock.now()
        log_event('node_leaving', active=self._gateway.active)
        self._fleet_agent.leave(started)
        deadline = self._gateway.leave(
            started, _LINGER_SECONDS, self._settings.bounds.stop_grace
        )
        while self._clock.now() < deadline:
            lingered = self._clock.now() - started >= _LINGER_SECONDS
            if lingered and not self._gateway.active:
                break
            await asyncio.sleep(_POLL_SECONDS)
        # A connection that is accepted now could not be served to its end.
        callers.listener.close()
        site = callers.site
        remaining = max(deadline - self._clock.now(), _POLL_SECONDS)
        try:
            await asyncio.wait_for(close_connections(site), remaining)
        except TimeoutError:
            log_event('connections_left', count=site.usage.connections)
            self._gateway.log_open()
        self._pool.close_idle()
        log_event('node_stopped', active=self._gateway.active)

    def _reload(self) -> None:
        """Check the settings file again and log whether it has changed.

        The running node keeps its settings.
        """
        try:
            changed = load_settings(get_settings_path())
        except SettingsError as error:
            log_problem('settings_not_reloaded', error=str(error))
            return
        log_event('settings_reloaded', changed=changed != self._settings)

    def _fetch_rules(self, vm: VmId, version: ConfigVersion) -> None:
        known = self._fleet_agent.discovery.find(vm)
        if known is not None:
            self._rules_exchange.fetch(vm, known.peer, version)

    def _build_context(self) -> RelayContext:
        fleet_agent = self._fleet_agent
        return RelayContext(
            data_centre=self._settings.data_centre,
            clock=self._clock,
            catalog=fleet_agent.catalog,
            membership=fleet_agent.membership,
            workload=fleet_agent.workload,
            pool=self._pool,
            codec=PlatformTargetCodec(),
            retry_budget=FleetRetryBudget(self._settings.bounds.retries),
            exchanges=fleet_agent.exchanges,
            metrics=self._metrics,
            send=fleet_agent.send,
            publish=fleet_agent.publish,
        )

    def _build_poller(self) -> EnginePoller:
        return EnginePoller(
            self._context,
            self._fleet_agent.catalog_sync.sees_outage,
        )

    def _build_reader(self) -> StoreReader:
        return StoreReader(
            StoreClient(self._settings.store, self._pool, self._metrics),
            self._fleet_agent,
            self._clock,
        )


def get_settings_path() -> Path:
    """Return the path of the settings file that the platform sets."""
    return Path(os.environ.get(SETTINGS_VARIABLE, 'settings.conf'))


def run_node() -> None:
    """Run a node on the installed reactor's loop until it stops."""
    settings = load_settings(get_settings_path())
    reactor = get_reactor()
    failures: list[Exception] = []

    async def run() -> None:
        try:
            await Node(settings).run()
        except Exception as error:
            failures.append(error)
        reactor.stop()

    running: list[asyncio.Future[None]] = []
    reactor.callWhenRunning(
        lambda: running.append(asyncio.ensure_future(run())),
    )
    reactor.run(installSignalHandlers=False)
    if failures:
        raise failures[0]


def _describe(
    settings: PlatformSettings,
    vm: VmId,
    data_centre: DataCentreId,
) -> PublishedVm:
    """Return the addresses of a VM; the ports are the same on all VMs."""
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
