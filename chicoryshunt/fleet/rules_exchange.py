"""Transfers rules between nodes over HTTP; datagrams are too small."""

import asyncio
import zlib
from collections import deque
from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.upstream import (
    CallBounds,
    ConnectionLostError,
    NotSentError,
    OutgoingRequest,
    UpstreamPool,
)
from chicoryshunt.events import log_problem
from chicoryshunt.exceptions import ChicoryshuntError
from chicoryshunt.fleet.catalog import Catalog
from chicoryshunt.rules.model import Rules
from chicoryshunt.types import ConfigVersion, VmId

RULES_PATH = '/rules'
_CONTENT_TYPE = 'application/msgpack'
_MAX_RULES_BYTES = 8388608
# Rules of some thousand routes take half a second on a link of 5 Mbit/s.
_BOUNDS = CallBounds(
    idle_seconds=1,
    answer_seconds=1,
    max_bytes=_MAX_RULES_BYTES,
)
# Routes are similar, so even the fastest level halves the size.
_COMPRESSION_LEVEL = 1
# Older offers than these are redundant.
_MAX_OFFERS = 8


class RulesError(ChicoryshuntError):
    """Raised when the response of another node holds no valid rules."""


@dataclass(frozen=True, slots=True)
class _Offer:
    """A node with newer rules than this one has."""

    vm: VmId
    address: str
    version: ConfigVersion


class RulesExchange:
    """Serves the rules in force to other nodes and fetches newer ones."""

    def __init__(self, catalog: Catalog, pool: UpstreamPool) -> None:
        """Store fetched rules in the catalog."""
        self._catalog = catalog
        self._pool = pool
        self._encoded: tuple[ConfigVersion, bytes] = (ConfigVersion(0), b'')
        self._offers: deque[_Offer] = deque(maxlen=_MAX_OFFERS)
        self._fetching: asyncio.Task[None] | None = None

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request for the rules with msgpack, compressed by zlib."""
        if exchange.path != RULES_PATH or self._catalog.rules is None:
            exchange.respond(b'', _CONTENT_TYPE, HTTPStatus.NOT_FOUND)
            return
        exchange.respond(self._encode(), _CONTENT_TYPE)

    def fetch(self, vm: VmId, address: str, version: ConfigVersion) -> None:
        """Fetch offered rules, after the fetches that are in progress."""
        self._offers.append(_Offer(vm, address, version))
        if self._fetching is None:
            self._fetching = asyncio.ensure_future(self._process_offers())

    async def _process_offers(self) -> None:
        try:
            while self._offers:
                offer = self._offers.popleft()
                if offer.version > self._catalog.rules_version:
                    await self._fetch(offer)
        finally:
            self._fetching = None

    async def _fetch(self, offer: _Offer) -> None:
        try:
            encoded, rules = await self._read(offer.address)
        except (NotSentError, ConnectionLostError, RulesError) as error:
            log_problem(
                'rules_not_fetched',
                vm=offer.vm,
                version=offer.version,
                error=repr(error),
            )
            return
        if self._catalog.apply_rules(rules, offer.vm):
            self._encoded = (rules.version, encoded)

    async def _read(self, address: str) -> tuple[bytes, Rules]:
        headers = [(b'Host', address.encode())]
        request = OutgoingRequest(b'GET', RULES_PATH.encode(), headers)
        _, body = await self._pool.call(address, request, _BOUNDS)
        return body, decode_rules(body)

    def _encode(self) -> bytes:
        index = self._catalog.rules
        if index is not None and self._encoded[0] != index.rules.version:
            self._encoded = (index.rules.version, encode_rules(index.rules))
        return self._encoded[1]


def encode_rules(rules: Rules) -> bytes:
    """Return rules encoded with msgpack and compressed with zlib."""
    return zlib.compress(msgspec.msgpack.encode(rules), _COMPRESSION_LEVEL)


def decode_rules(encoded: bytes) -> Rules:
    """Decode the rules of another node; raise ``RulesError``."""
    unpacker = zlib.decompressobj()
    try:
        packed = unpacker.decompress(encoded, _MAX_RULES_BYTES)
    except zlib.error as error:
        raise RulesError(str(error)) from error
    if not unpacker.eof:
        raise RulesError('rules are truncated or too large')
    try:
        return msgspec.msgpack.decode(packed, type=Rules)
    except msgspec.DecodeError as error:
        raise RulesError(str(error)) from error
