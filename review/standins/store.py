"""Stand-in for the platform's store; the system only reads from it."""

import asyncio
import base64
import json
from urllib.parse import parse_qs

from standins.http import build_answer, read_request, reset

_PAGE_ITEMS = 500


class Store:
    """Items with revisions, read by range and by watch."""

    def __init__(self):
        """Start without items."""
        self.revision = 10
        self.is_rejecting = False
        self.rejected = 0
        self.calls = 0
        self._items = {}
        self._history = []
        self._changed = asyncio.Event()

    def put(self, key, message):
        """Write an item, encoded as JSON."""
        self.revision += 1
        value = base64.b64encode(json.dumps(message).encode()).decode()
        item = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created': self.revision,
            'lease': 0,
        }
        self._items[key] = item
        self._record(item)

    def delete(self, key):
        """Remove an item."""
        self.revision += 1
        self._items.pop(key, None)
        self._record({'key': key, 'revision': self.revision, 'deleted': True})

    async def serve(self, reader, writer):
        """Serve one channel."""
        try:
            if self.is_rejecting:
                # The channel is closed at once; the kernel resets whatever
                # still arrives on it.
                self.rejected += 1
                return
            while (request := await read_request(reader)) is not None:
                if self.is_rejecting:
                    self.rejected += 1
                    reset(writer)
                    return
                self.calls += 1
                status, message = await self._answer(request)
                body = json.dumps(message).encode()
                writer.write(
                    build_answer(
                        status, body, [('Content-Type', 'application/json')]
                    )
                )
        except ConnectionError:
            return
        finally:
            writer.close()

    async def _answer(self, request):
        query = parse_qs(request.target.partition('?')[2])
        prefix = query.get('prefix', [''])[0]
        since = query.get('since_revision', [''])[0]
        if request.path == '/chicoryshunt/kv-range':
            return 200, self._read(prefix, since)
        if request.path == '/chicoryshunt/kv-watch':
            wait = int(query.get('wait_ms', ['0'])[0]) / 1000
            return 200, await self._watch(prefix, int(since), wait)
        item = self._items.get(query.get('key', [''])[0])
        return (404, {}) if item is None else (200, item)

    def _read(self, prefix, after):
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self._items[key] for key in keys[:_PAGE_ITEMS]],
            'more_pages': len(keys) > _PAGE_ITEMS,
            'current_rev': self.revision,
        }

    async def _watch(self, prefix, since, wait):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        while True:
            events = [
                one
                for one in self._history
                if one['revision'] > since and one['key'].startswith(prefix)
            ]
            remaining = deadline - loop.time()
            if events or remaining <= 0:
                return {'events': events, 'current_rev': self.revision}
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue

    def _record(self, change):
        self._history.append(change)
        self._changed.set()
