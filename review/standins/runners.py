"""Stand-ins for the runners of both services."""

import asyncio
import time
from collections import Counter

from standins.http import (
    build_answer,
    build_chunk,
    build_head,
    read_request,
)


class Runner:
    """Plain runner that answers each call whole after its work."""

    service = 'arbiter-api'
    slots = 6
    work_seconds = 0.02

    def __init__(self, runner_id, zone, record):
        """Start sound; ``runs`` counts the runs of each request."""
        self.id = runner_id
        self.zone = zone
        self.record = record
        self.address = ''
        self.born = int(time.time() * 1000)
        self.runs = Counter()

    async def serve(self, reader, writer):
        """Serve one channel."""
        try:
            while (request := await read_request(reader)) is not None:
                await self._handle(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    def get_echo(self, request):
        """Return the headers that every answer to a request bears."""
        name = 'X-Chicoryshunt-Request-Id'
        return [
            (name, request.get(name)),
            ('X-Chicoryshunt-Response-Seal', f'seal-{self.id}'),
        ]

    async def _handle(self, request, writer):
        name = request.get('X-Chicoryshunt-Request-Id')
        if request.path == '/health':
            writer.write(
                build_answer(
                    200, b'', [('X-Chicoryshunt-Instance-Id', self.id)]
                )
            )
            return
        if request.path == '/chicoryshunt/report':
            body = b'{"stage":"both","running":0,"queued":0,"kv_used":0}'
            writer.write(build_answer(200, body))
            return
        if not name or self._is_other(request):
            status = 421 if name else 400
            headers = [
                ('X-Chicoryshunt-Request-Id', name),
                ('X-Chicoryshunt-Not-Executed', '1'),
            ]
            writer.write(build_answer(status, b'', headers))
            return
        self.runs[name] += 1
        await self.run(request, name, writer)

    def _is_other(self, request):
        expected = request.get('X-Chicoryshunt-Expect-Instance')
        return bool(expected) and expected != self.id

    async def run(self, request, name, writer):
        """Run one request."""
        self.record.write(f'{self.id} runs {name}')
        await asyncio.sleep(self.work_seconds)
        body = f'{request.method} {request.target}'.encode()
        writer.write(build_answer(200, body, self.get_echo(request)))


class Engine(Runner):
    """Model runner that streams numbered events, also from one on."""

    service = 'kibitzer-llm'
    slots = 24
    events = 40
    first_seconds = 0.1
    gap_seconds = 0.05

    async def run(self, request, name, writer):
        """Stream the events after ``Last-Event-Id``."""
        last = int(request.get('Last-Event-Id') or 0)
        self.record.write(f'{self.id} runs {name} after event {last}')
        writer.write(
            build_head(
                200,
                [
                    *self.get_echo(request),
                    ('Content-Type', 'text/event-stream'),
                    ('Transfer-Encoding', 'chunked'),
                ],
            )
        )
        await asyncio.sleep(self.first_seconds)
        for number in range(last + 1, self.events + 1):
            event = b'id: %d\ndata: %s piece %d\n\n' % (
                number, name.encode(), number
            )
            writer.write(build_chunk(event))
            await writer.drain()
            await asyncio.sleep(self.gap_seconds)
        writer.write(b'0\r\n\r\n')
