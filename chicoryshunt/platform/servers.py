"""Servers of a node, on the addresses that the platform assigns."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from http import HTTPStatus
from random import Random
from typing import Final

from chicoryshunt.address import Address
from chicoryshunt.connection.bounds import ServerBounds
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.loop_transport import open_server
from chicoryshunt.connection.web import (
    BoundedSite,
    Handler,
    abort_connections,
)
from chicoryshunt.fleet.agent import FleetAgent
from chicoryshunt.fleet.entry_addresses import list_entry_addresses
from chicoryshunt.fleet.rules_exchange import RulesExchange
from chicoryshunt.metrics import Metrics
from chicoryshunt.platform import wire
from chicoryshunt.platform.settings import PlatformSettings
from chicoryshunt.relay.gateway import Gateway
from chicoryshunt.types import DataCentreId

_JSON: Final = 'application/json'
_TEXT: Final = 'text/plain; version=0.0.4'
# Callers cache a list of nodes for this long, some of them three times as
# long, so a node that dies is no longer used after a few seconds.
_ENTRY_TTL_SECONDS: Final = 1.0
_CONNECTIONS: Final = 3000
_HEADER_SECONDS: Final = 10.0
_BODY_SECONDS: Final = 30.0
_BODY_BYTES: Final = 4194304
_OPEN_BODIES_BYTES: Final = 33554432
_BOUNDS: Final = ServerBounds(
    connections=_CONNECTIONS,
    header_seconds=_HEADER_SECONDS,
    body_bytes=_BODY_BYTES,
    body_seconds=_BODY_SECONDS,
    open_bodies_bytes=_OPEN_BODIES_BYTES,
)


@dataclass(frozen=True, slots=True)
class SiteServer:
    """Site and the server that accepts its connections."""

    site: BoundedSite
    listener: asyncio.Server


class NodeServers:
    """Servers for callers, readiness, directory, other nodes and metrics."""

    def __init__(
        self,
        settings: PlatformSettings,
        gateway: Gateway,
        fleet_agent: FleetAgent,
        rules_exchange: RulesExchange,
        metrics: Metrics,
    ) -> None:
        """Create the servers without listening yet."""
        self._settings = settings
        self._gateway = gateway
        self._fleet_agent = fleet_agent
        self._rules_exchange = rules_exchange
        self._metrics = metrics
        self._rng = Random()

    @asynccontextmanager
    async def open(self) -> AsyncIterator[SiteServer]:
        """Listen on all addresses; yield the server for callers.

        No connection is open afterwards.
        """
        settings = self._settings
        servers = [
            await _serve(self._gateway.handle, settings.callers),
            await _serve(self._answer_readiness, settings.readiness),
            await _serve(self._answer_directory, settings.directory),
            await _serve(self._rules_exchange.handle, settings.peers),
            await _serve(self._answer_metrics, settings.metrics),
        ]
        try:
            yield servers[0]
        finally:
            for server in servers:
                server.listener.close()
                await abort_connections(server.site)

    async def _answer_readiness(self, exchange: Exchange) -> None:
        knows_rules = self._fleet_agent.catalog.rules is not None
        if exchange.path != wire.READY_PATH:
            exchange.respond(b'', _JSON, HTTPStatus.NOT_FOUND)
            return
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if knows_rules and not self._gateway.is_leaving:
            status = HTTPStatus.OK
        exchange.respond(b'', _JSON, status)

    async def _answer_directory(self, exchange: Exchange) -> None:
        if exchange.path != wire.RESOLVE_PATH:
            exchange.respond(b'', _JSON, HTTPStatus.NOT_FOUND)
            return
        addresses = list_entry_addresses(
            self._fleet_agent.membership.roster,
            DataCentreId(exchange.get_query('zone', '')),
            self._rng,
        )
        ttl = min(_ENTRY_TTL_SECONDS, self._settings.bounds.max_entry_ttl)
        exchange.respond_json({'addresses': addresses, 'ttl_s': ttl})

    async def _answer_metrics(self, exchange: Exchange) -> None:
        exchange.respond(self._metrics.render(), _TEXT)


async def _serve(handler: Handler, address: Address) -> SiteServer:
    site = BoundedSite(handler, _BOUNDS)
    listener = await open_server(site, address.host, address.port)
    return SiteServer(site, listener)
