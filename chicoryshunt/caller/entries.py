"""The addresses a caller keeps, and for how long."""

import asyncio

import msgspec

from chicoryshunt.connection.caller_api import Entries, GrantOffer
from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
)
from chicoryshunt.exceptions import CallError

_ANSWER_SECONDS = 5.0


class EntryCache:
    """Addresses of nodes in order of preference."""

    def __init__(self, client: HttpClient, seeds: list[str]) -> None:
        """Start from any addresses of nodes, host:port each."""
        self._client = client
        self._seeds = tuple(seeds)
        self._addresses: tuple[str, ...] = ()
        self._expires: float = 0
        self._grant: GrantOffer | None = None

    async def list_addresses(self) -> tuple[str, ...]:
        """Return the addresses to use; raise ``CallError`` without any."""
        if asyncio.get_running_loop().time() >= self._expires:
            await self._refresh()
        return self._addresses

    async def get_grant(self) -> GrantOffer | None:
        """Return the grant that came with the addresses."""
        await self.list_addresses()
        return self._grant

    def expire(self) -> None:
        """Ask again before the next use."""
        self._expires = 0

    async def _refresh(self) -> None:
        known = dict.fromkeys((*self._addresses, *self._seeds))
        problems: list[str] = []
        for address in known:
            try:
                entries = await self._ask(address)
            except (
                BrokenError,
                NotConnectedError,
                msgspec.DecodeError,
            ) as error:
                problems.append(f'{address}: {error}')
                continue
            self._keep(entries, address)
            return
        raise CallError(f'no node answers: {"; ".join(problems)}')

    async def _ask(self, address: str) -> Entries:
        _, body = await self._client.read(
            'GET',
            f'http://{address}/v1/entries',
            answer_seconds=_ANSWER_SECONDS,
        )
        return msgspec.json.decode(body, type=Entries)

    def _keep(self, entries: Entries, asked: str) -> None:
        listed = tuple(entry.address for entry in entries.entries)
        self._addresses = listed or (asked,)
        self._grant = entries.grant
        now = asyncio.get_running_loop().time()
        self._expires = now + entries.keep_seconds
