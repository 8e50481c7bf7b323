"""Passes rules from node to node, where they are too large for datagrams."""

import asyncio
from http import HTTPStatus

import msgspec

from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.upstream import (
    LostError,
    NotSentError,
    Sending,
    UpstreamPool,
)
from chicoryshunt.events import log_problem
from chicoryshunt.fleet.catalog import Catalog
from chicoryshunt.rules.model import Rules
from chicoryshunt.types import ConfigVersion, VmId

RULES_PATH = '/rules'
_CONTENT_TYPE = 'application/msgpack'
_FETCH_SECONDS = 1.0
_IDLE_SECONDS = 1.0
_MOST_RULES_BYTES = 8388608


class RulesExchange:
    """Serves the rules in force to other nodes, and fetches newer ones."""

    def __init__(self, catalog: Catalog, pool: UpstreamPool) -> None:
        """Put what is fetched in force in the catalog."""
        self._catalog = catalog
        self._pool = pool
        self._encoded: tuple[ConfigVersion, bytes] = (ConfigVersion(0), b'')
        self._fetching: set[asyncio.Task[None]] = set()

    async def handle(self, exchange: Exchange) -> None:
        """Answer a node that asks for the rules."""
        if exchange.path != RULES_PATH or self._catalog.rules is None:
            exchange.respond(b'', _CONTENT_TYPE, HTTPStatus.NOT_FOUND)
            return
        exchange.respond(self._encode(), _CONTENT_TYPE)

    def fetch(self, vm: VmId, address: str, version: ConfigVersion) -> None:
        """Start to fetch rules unless that is under way."""
        if self._fetching:
            return
        task = asyncio.ensure_future(self._fetch(vm, address, version))
        self._fetching.add(task)
        task.add_done_callback(self._fetching.discard)

    async def _fetch(
        self,
        vm: VmId,
        address: str,
        version: ConfigVersion,
    ) -> None:
        try:
            rules = await self._read(address)
        except (NotSentError, LostError, msgspec.DecodeError) as error:
            log_problem(
                'rules_not_fetched',
                vm=vm,
                version=version,
                error=repr(error),
            )
        else:
            self._catalog.take_rules(rules, vm)

    async def _read(self, address: str) -> Rules:
        headers = [(b'Host', address.encode())]
        sending = Sending(b'GET', RULES_PATH.encode(), headers)
        upstream = await self._pool.acquire(address, _IDLE_SECONDS)
        answer = await upstream.send(sending, _FETCH_SECONDS)
        body = await answer.body.read_all(_MOST_RULES_BYTES, _FETCH_SECONDS)
        if not isinstance(body, bytes):
            upstream.abort()
            raise LostError(f'{address}: the rules are cut')
        return msgspec.msgpack.decode(body, type=Rules)

    def _encode(self) -> bytes:
        index = self._catalog.rules
        if index is not None and self._encoded[0] != index.rules.version:
            encoded = msgspec.msgpack.encode(index.rules)
            self._encoded = (index.rules.version, encoded)
        return self._encoded[1]
