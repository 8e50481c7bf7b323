"""Cache of the node addresses that a caller may use."""

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
    """Cached addresses of nodes in order of preference, and a grant."""

    def __init__(self, client: HttpClient, seeds: list[str]) -> None:
        """Discover the nodes from some of their addresses, host:port."""
        self._client = client
        self._seeds = tuple(seeds)
        self._addresses: tuple[str, ...] = ()
        self._expires: float = 0
        self._grant: GrantOffer | None = None

    async def list_addresses(self) -> tuple[str, ...]:
        """Return the addresses; raise ``CallError`` if no node answers."""
        if asyncio.get_running_loop().time() >= self._expires:
            await self._refresh()
        return self._addresses

    async def get_grant(self) -> GrantOffer | None:
        """Return the grant that came with the addresses, if any.

        Raises ``CallError`` if no node answers.
        """
        await self.list_addresses()
        return self._grant

    def expire(self) -> None:
        """Refresh the addresses before the next use."""
        self._expires = 0

    async def _refresh(self) -> None:
        candidates = dict.fromkeys((*self._addresses, *self._seeds))
        errors: list[str] = []
        for address in candidates:
            try:
                entries = await self._fetch(address)
            except (
                BrokenError,
                NotConnectedError,
                msgspec.DecodeError,
            ) as error:
                errors.append(f'{address}: {error}')
                continue
            self._store(entries, address)
            return
        raise CallError(f'no node answers: {"; ".join(errors)}')

    async def _fetch(self, address: str) -> Entries:
        _, body = await self._client.read(
            'GET',
            f'http://{address}/v1/entries',
            answer_seconds=_ANSWER_SECONDS,
        )
        return msgspec.json.decode(body, type=Entries)

    def _store(self, entries: Entries, source: str) -> None:
        addresses = tuple(entry.address for entry in entries.entries)
        self._addresses = addresses or (source,)
        self._grant = entries.grant
        now = asyncio.get_running_loop().time()
        self._expires = now + entries.keep_seconds
