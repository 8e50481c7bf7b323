"""Stand-in for the platform's store, after the platform's documentation."""

import asyncio
import base64
import json
from http import HTTPStatus
from typing import Any

from chicoryshunt.connection.bounds import ServerBounds
from chicoryshunt.connection.relayed_exchange import RelayedExchange
from chicoryshunt.connection.web import BoundedSite

BOUNDS = ServerBounds(200, 10, 1 << 20, 10, 1 << 24)
_PAGE_ITEMS = 3


class StandInStore:
    """Items with revisions, read by range and by watch."""

    def __init__(self) -> None:
        """Start without items."""
        self.site = BoundedSite(self._handle, BOUNDS)
        self.revision = 10
        self.is_down = False
        self.calls = 0
        self.stale_calls = 0
        self._snapshot: tuple[int, dict[str, dict[str, Any]]] | None = None
        self._oldest = 0
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    def put(self, key: str, message: object) -> None:
        """Write an item, encoded as JSON."""
        self.put_raw(key, json.dumps(message).encode())

    def put_raw(self, key: str, content: bytes) -> None:
        """Write an item from raw bytes."""
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
        }
        self._items[key] = item
        self._record_change(item)

    def delete(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self._items.pop(key, None)
        self._record_change(
            {'key': key, 'revision': self.revision, 'deleted': True}
        )

    def keep_snapshot(self) -> None:
        """Answer stale reads with the present items from now on."""
        self._snapshot = self.revision, self._items.copy()

    def compact(self) -> None:
        """Delete the history, and abort watches that need it."""
        self._oldest = self.revision
        self._history.clear()
        self._changed.set()

    def _record_change(self, change: dict[str, Any]) -> None:
        self._history.append(change)
        self._changed.set()

    async def _handle(self, exchange: RelayedExchange) -> None:
        self.calls += 1
        prefix = exchange.get_query('prefix', '')
        since = exchange.get_query('since_revision', '')
        if self.is_down:
            exchange.respond(b'', status=HTTPStatus.SERVICE_UNAVAILABLE)
        elif exchange.path.endswith('/kv-range'):
            is_stale = exchange.get_query('allow_stale', '') == '1'
            self.stale_calls += is_stale
            exchange.respond_json(self._read(prefix, since, is_stale=is_stale))
        else:
            await self._watch(exchange, prefix, int(since))

    def _read(
        self, prefix: str, after: str, *, is_stale: bool
    ) -> dict[str, Any]:
        revision, items = self.revision, self._items
        if is_stale and self._snapshot is not None:
            revision, items = self._snapshot
        keys = sorted(
            key for key in items if key.startswith(prefix) and key > after
        )
        return {
            'items': [items[key] for key in keys[:_PAGE_ITEMS]],
            'more_pages': len(keys) > _PAGE_ITEMS,
            'current_rev': revision,
        }

    async def _watch(
        self,
        exchange: RelayedExchange,
        prefix: str,
        since: int,
    ) -> None:
        if since < self._oldest:
            exchange.respond(b'', status=HTTPStatus.GONE)
            return
        wait = int(exchange.get_query('wait_ms', '0')) / 1000
        deadline = asyncio.get_running_loop().time() + wait
        events = self._list_changes(prefix, since)
        while not events and asyncio.get_running_loop().time() < deadline:
            self._changed.clear()
            remaining = deadline - asyncio.get_running_loop().time()
            await _wait_until_set(self._changed, remaining)
            if since < self._oldest:
                exchange.abort()
                return
            events = self._list_changes(prefix, since)
        exchange.respond_json(
            {'events': events, 'current_rev': self.revision},
        )

    def _list_changes(self, prefix: str, since: int) -> list[dict[str, Any]]:
        return [
            change
            for change in self._history
            if change['revision'] > since and change['key'].startswith(prefix)
        ]


async def _wait_until_set(event: asyncio.Event, seconds: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), max(seconds, 0))
    except TimeoutError:
        return
