"""A small deployment on loopback: nodes, and stand-ins of what is around them.

The nodes are the project's own program, started as processes with the command
of the deploy file. The store, the servers and the clients are stand-ins that
follow the users' pages; they need the standard library only.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Ports that the nodes listen on, each node on an address of its own.
FRONT, READINESS, CONTROL, DIRECTORY, INTERNAL = 8740, 8749, 8748, 8746, 7200
ZONES = ('luzon-a', 'luzon-b', 'luzon-c')
HOST = 'ficu95.example'
KEY = 'xd9dnn2ctnfzs989anu6'
TENANT = 'huka270'
UNSAFE_PREFIX, SAFE_PREFIX = '/pule252/', '/puxa403/'
PLAIN, ENGINES = 'arbiter-api', 'kibitzer-llm'
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
STABLE_S = 3.0
GRACE_S = 8.0


class Unready(Exception):
    """The deployment did not start, so the case could not run."""


# --------------------------------------------------------------- HTTP servers


@dataclass
class Request:
    """A request that a stand-in has read as a whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter


@dataclass
class Reply:
    """The answer of a stand-in."""

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


Handler = Callable[[Request], Awaitable['Reply | None']]


class HttpServer:
    """Serves one request at a time on each channel, as the pages say."""

    def __init__(self, handler: Handler) -> None:
        self.address = ''
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int = 0) -> None:
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=512
        )
        found = self._server.sockets[0].getsockname()
        self.address = f'{found[0]}:{found[1]}'

    def stop(self) -> None:
        """End like a process: no listener, and every channel is closed."""
        if self._server is not None:
            self._server.close()
        self.abort_channels()

    def abort_channels(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader, writer)) is not None:
                reply = await self._handler(request)
                if reply is None:
                    return
                writer.write(_encode_reply(reply))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # Only the end of the case cancels what a channel waits for.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request | None:
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = _parse_fields(lines[1:])
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    split = urlsplit(target)
    query = {name: found[0] for name, found in parse_qs(split.query).items()}
    return Request(method, split.path, query, headers, body, writer)


def _parse_fields(lines: list[str]) -> dict[str, str]:
    fields = {}
    for line in lines:
        name, separator, text = line.partition(':')
        if separator:
            fields[name.strip().lower()] = text.strip()
    return fields


def _encode_reply(reply: Reply) -> bytes:
    headers = {**reply.headers, 'Content-Length': str(len(reply.body))}
    fields = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
    return f'HTTP/1.1 {reply.status} X\r\n{fields}\r\n'.encode() + reply.body


# ------------------------------------------------------------ platform's store


@dataclass(frozen=True)
class Copy:
    """What the store held at a moment."""

    at: float
    revision: int
    items: dict[str, dict[str, object]]


class Store:
    """The platform's store: one revision counter, ranges and watches.

    ``go_away`` and ``come_back`` are the drill of the news page: the store is
    away for a moment and comes back from a copy that is some seconds old.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.era = 1
        self.is_away = False
        self.server = HttpServer(self._handle)
        self._items: dict[str, dict[str, object]] = {}
        self._history: list[dict[str, object]] = []
        self._oldest = 100
        self._copies: list[Copy] = []
        self._written: dict[str, float] = {}
        self._changed = asyncio.Event()

    def write(self, key: str, content: dict[str, object]) -> bool:
        """Write an item; say whether the store acknowledged it.

        An entry of a server "changes when more than sequence changes".
        """
        if self.is_away:
            return False
        known = self._items.get(key)
        self._written[key] = time.monotonic()
        if known is not None and _is_same(known, content):
            return True
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(json.dumps(content).encode()).decode(),
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': 0,
        }
        self._items[key] = item
        self._record(item)
        return True

    async def write_late(
        self, key: str, content: dict[str, object], seconds: float
    ) -> None:
        """Do a write that is not answered some seconds after it was sent."""
        await asyncio.sleep(seconds)
        self.write(key, content)

    def delete(self, key: str) -> bool:
        if self.is_away or key not in self._items:
            return False
        self.revision += 1
        del self._items[key]
        self._written.pop(key, None)
        self._record(
            {'key': key, 'revision': self.revision, 'deleted': True}
        )
        return True

    async def keep_copies(self) -> None:
        while True:
            if not self.is_away:
                self._copies.append(
                    Copy(time.monotonic(), self.revision, dict(self._items))
                )
                del self._copies[:-400]
            await asyncio.sleep(0.1)

    def go_away(self) -> None:
        self.is_away = True
        self.server.abort_channels()
        self._changed.set()

    def come_back(self, seconds_old: float | None = None) -> None:
        """Be there again; from a copy, if its age at the end is given."""
        if seconds_old is not None:
            last = self._copies[-1].at
            copy = next(
                one
                for one in reversed(self._copies)
                if one.at <= last - seconds_old
            )
            self.revision, self._items = copy.revision, dict(copy.items)
            self._history = [
                one
                for one in self._history
                if int(str(one['revision'])) <= copy.revision
            ]
            self.era += 1
        self._written = dict.fromkeys(self._items, time.monotonic())
        self.is_away = False

    async def remove_silent(self) -> None:
        """Remove entries after three ping intervals of silence."""
        while True:
            await asyncio.sleep(0.1)
            before = time.monotonic() - 3 * HEARTBEAT_S
            for key, at in tuple(self._written.items()):
                if key.startswith('servers/') and at < before:
                    self.delete(key)

    def _record(self, change: dict[str, object]) -> None:
        self._history.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request) -> Reply | None:
        if self.is_away:
            request.writer.transport.abort()
            return None
        if request.path.endswith('/kv-range'):
            reply = self._read_range(request.query)
        elif request.path.endswith('/kv-watch'):
            reply = await self._watch(request.query)
        elif request.path.endswith('/kv-key'):
            reply = self._read_key(request.query)
        else:
            reply = Reply(404)
        if self.is_away:
            request.writer.transport.abort()
            return None
        reply.headers = {
            'Content-Type': 'application/json',
            'Store-Era': str(self.era),
        }
        return reply

    def _read_key(self, query: dict[str, str]) -> Reply:
        item = self._items.get(query.get('key', ''))
        if item is None:
            return Reply(404)
        return _json({**item, 'current_rev': self.revision})

    def _read_range(self, query: dict[str, str]) -> Reply:
        after = query.get('since_revision', '')
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query.get('prefix', '')) and key > after
        )
        return _json(
            {
                'items': [self._items[key] for key in keys[:500]],
                'more_pages': len(keys) > 500,
                'current_rev': self.revision,
            }
        )

    async def _watch(self, query: dict[str, str]) -> Reply:
        since = int(query.get('since_revision', '0'))
        until = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        while not self.is_away:
            if since > self.revision or since < self._oldest:
                return Reply(410)
            events = [
                one
                for one in self._history
                if int(str(one['revision'])) > since
                and str(one['key']).startswith(query.get('prefix', ''))
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return _json(
                    {'events': events, 'current_rev': self.revision}
                )
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        return Reply(503)


def _is_same(item: dict[str, object], content: dict[str, object]) -> bool:
    known = json.loads(base64.b64decode(str(item['value'])))
    return {**known, 'sequence': 0} == {**content, 'sequence': 0}


def _json(content: object) -> Reply:
    return Reply(200, {}, json.dumps(content).encode())


# --------------------------------------------------------------------- servers


@dataclass
class Run:
    """A request that reached a server."""

    at: float
    request: str
    server: str
    is_whole: bool = False


class Server:
    """A server of the plain service (``runner`` in the users' pages)."""

    slots = 6
    queue = 24

    def __init__(self, name: str, service: str, zone: str, world: 'World'):
        self.name = name
        self.service = service
        self.zone = zone
        self.is_leaving = False
        self.has_ended = False
        self._is_removed = False
        self.acknowledged_at: float | None = None
        self.server = HttpServer(self._handle)
        self._world = world
        self.written = 0
        self._sequence = 0
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Event()
        # How late the store does a write of now, None if it answers it.
        self.find_lateness: Callable[[], float | None] = lambda: None
        self._born = round(time.time() * 1000)

    def write_entry(self) -> bool:
        """Report to the store; say whether it acknowledged that."""
        self._sequence += 1
        self.written += 1
        entry = self._build_entry()
        key = f'servers/{self.name}'
        late_s = self.find_lateness()
        if late_s is not None:
            self._world.note(
                f'late write {self.name} {entry["state"]} '
                f'sequence {entry["sequence"]}: done {late_s:.1f} s later'
            )
            work = self._world.store.write_late(key, entry, late_s)
            self._world.spawn(work)
            return False
        is_done = self._world.store.write(key, entry)
        if is_done and self.is_leaving and self.acknowledged_at is None:
            self.acknowledged_at = time.monotonic()
            self._world.note(f'ack {self.name} draining')
        return is_done

    def _build_entry(self) -> dict[str, object]:
        return {
            'service': self.service,
            'address': self.server.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'draining' if self.is_leaving else 'ready',
            'cold_remaining_ms': 0,
            'sequence': self._sequence,
            'born': self._born,
        }

    async def beat(self) -> None:
        await asyncio.sleep(random.random() * HEARTBEAT_S)
        while not self.has_ended:
            if not self._is_removed:
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self, linger_s: float, *, reports: bool = True) -> None:
        """Serve for ``drain_ms`` and a little longer, and end.

        Some servers never report ``draining``: their entry is removed, and
        they go on serving for the same time.
        """
        self.is_leaving = True
        until = time.monotonic() + DRAIN_S + linger_s
        self._world.note(f'leaving {self.name}')
        report = self.write_entry if reports else self._remove_entry
        while time.monotonic() < until:
            if self.acknowledged_at is None:
                report()
            await asyncio.sleep(0.05)
        self.has_ended = True
        self.server.stop()
        self._world.note(f'ended {self.name}')
        self._world.store.delete(f'servers/{self.name}')

    def _remove_entry(self) -> bool:
        if not self._world.store.delete(f'servers/{self.name}'):
            return False
        self._is_removed = True
        self.acknowledged_at = time.monotonic()
        self._world.note(f'ack {self.name} entry removed')
        return True

    async def _handle(self, request: Request) -> Reply | None:
        if request.path == '/health':
            status = 503 if self.is_leaving else 200
            return Reply(status, {'X-Chicoryshunt-Instance-Id': self.name})
        if request.path == '/chicoryshunt/report':
            return _json({'running': self._running, 'queued': self._waiting})
        name = request.headers.get('x-chicoryshunt-request-id', '')
        headers = {
            'X-Chicoryshunt-Request-Id': name,
            'X-Chicoryshunt-Instance-Id': self.name,
        }
        if self.is_leaving:
            headers['Server-Leaving'] = '1'
        expected = request.headers.get('x-chicoryshunt-expect-instance')
        if expected not in {None, self.name}:
            return Reply(421, headers)
        run = Run(time.monotonic(), name, self.name)
        self._world.add_run(run)
        if self._waiting >= self.queue:
            return Reply(503, {**headers, 'X-Chicoryshunt-Not-Executed': '1'})
        await self._work()
        run.is_whole = True
        seal = {'X-Chicoryshunt-Response-Seal': f'{self.name}.{name}'}
        return Reply(200, {**headers, **seal}, name.encode() * 50)

    async def _work(self) -> None:
        self._waiting += 1
        while self._running >= self.slots:
            self._free.clear()
            await self._free.wait()
        self._waiting -= 1
        self._running += 1
        try:
            await asyncio.sleep(random.uniform(0.015, 0.05))
        finally:
            self._running -= 1
            self._free.set()


class Engine(Server):
    """A model server that streams numbered events.

    A part of a prompt may crash it when it begins to write an answer: it drops
    all its channels, refuses new ones and is back after some seconds, under
    its id and address and with a new time of start.
    """

    slots = 24
    back_after_s = 3.0
    prefill_s = 0.1
    event_s = 0.03

    def __init__(self, name: str, service: str, zone: str, world: 'World'):
        super().__init__(name, service, zone, world)
        self.deadly_part = ''
        self.is_down = False
        # Whether the bodies of its answers go on without end.
        self.is_endless = False
        self.crashes: list[float] = []

    def write_entry(self) -> bool:
        return not self.is_down and super().write_entry()

    async def _handle(self, request: Request) -> Reply | None:
        if not request.path.startswith('/lohu930/'):
            return await super()._handle(request)
        name = request.headers.get('x-chicoryshunt-request-id', '')
        if request.headers.get('x-chicoryshunt-expect-instance') != self.name:
            return Reply(421, {'X-Chicoryshunt-Request-Id': name})
        run = Run(time.monotonic(), name, self.name)
        self._world.add_run(run)
        self._running += 1
        try:
            await self._stream(request, run)
        finally:
            self._running -= 1
        return None

    async def _stream(self, request: Request, run: Run) -> None:
        writer = request.writer
        writer.write(
            'HTTP/1.1 200 OK\r\n'
            f'X-Chicoryshunt-Request-Id: {run.request}\r\n'
            f'X-Chicoryshunt-Response-Seal: {self.name}.{run.request}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Connection: close\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        await asyncio.sleep(self.prefill_s)
        parts = request.headers.get('x-chicoryshunt-prefix-hash', '')
        held = {part.partition(':')[0] for part in parts.split(',')}
        if self.deadly_part and self.deadly_part in held:
            self._crash(run)
            return
        limit = request.headers['x-chicoryshunt-token-count'].split(',')[1]
        for number in range(1, int(limit) // 4 + 1):
            if self.is_down or writer.transport.is_closing():
                return
            if self.is_endless:
                await self._send_endless(writer, run)
                return
            event = f'id: {number}\ndata: {run.request}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        run.is_whole = True

    async def _send_endless(
        self, writer: asyncio.StreamWriter, run: Run
    ) -> None:
        """Send a body of chunks of one byte until the caller closes.

        No faster than the caller reads it.
        """
        self._world.note(f'body without end from {self.name} {run.request}')
        sent = 0
        while not writer.transport.is_closing():
            writer.write(b'1\r\nx\r\n' * 1000)
            sent += 6000
            try:
                await writer.drain()
            except OSError:
                break
            await asyncio.sleep(0)
        self._world.note(
            f'closed after {sent} bytes by the caller: {run.request}'
        )

    def _crash(self, run: Run) -> None:
        if self.is_down:
            return
        self.is_down = True
        self.crashes.append(time.monotonic())
        self._world.note(f'crash {self.name} by {run.request}')
        self.server.stop()
        self._world.spawn(self._restart())

    async def _restart(self) -> None:
        await asyncio.sleep(self.back_after_s)
        host, port = self.server.address.split(':')
        await self.server.start(host, int(port))
        self.is_down = False
        self._sequence = 0
        self._born = round(time.time() * 1000)
        self.write_entry()


# --------------------------------------------------------------------- clients


@dataclass
class Attempt:
    """One request of a client, and what came back."""

    request: str
    is_safe: bool
    sent_at: float
    node: str
    status: int | None = None
    is_whole: bool = False
    is_leaving: bool = False
    answered_at: float = 0
    kind: str = ''

    def __post_init__(self) -> None:
        self.kind = self.kind or ('safe' if self.is_safe else 'unsafe')


class Client:
    """Asks the directory, keeps a channel and sends requests on it."""

    def __init__(
        self,
        world: 'World',
        zone: str,
        every_s: float,
        deadline_s: float = 0.6,
    ) -> None:
        self._world = world
        self.deadline_s = deadline_s
        self._zone = zone
        self._every_s = every_s
        self._addresses: list[str] = []
        self._listed_until = 0.0
        self._channel: (
            tuple[str, asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def send_all(self) -> None:
        await asyncio.sleep(random.random() * self._every_s)
        while not self._world.is_ending:
            started = time.monotonic()
            is_safe = random.random() < 0.25
            with suppress(OSError, asyncio.IncompleteReadError):
                await self._send_once(is_safe)
            left = started + self._every_s - time.monotonic()
            await asyncio.sleep(max(left, 0))
        self._close()

    async def _send_once(self, is_safe: bool) -> None:
        attempt = await self._try(is_safe)
        if attempt is not None and attempt.status == 503:
            # The promise "not run" lets a client come back once.
            await asyncio.sleep(0.1)
            await self._try(is_safe)

    async def _try(self, is_safe: bool) -> Attempt | None:
        await self._refresh()
        if not self._addresses:
            return None
        if self._channel and self._channel[0] not in self._addresses:
            self._close()
        if self._channel is None:
            address = random.choice(self._addresses)
            host, port = address.split(':')
            try:
                channel = await asyncio.wait_for(
                    asyncio.open_connection(host, int(port)), 1
                )
            except (OSError, TimeoutError):
                return None
            self._channel = (address, *channel)
        address, reader, writer = self._channel
        name = f'{random.getrandbits(64):016x}'
        attempt = Attempt(name, is_safe, time.monotonic(), address)
        self._world.attempts[name] = attempt
        method, prefix, body = 'POST', UNSAFE_PREFIX, b'b' * 600
        if is_safe:
            method, prefix, body = 'GET', SAFE_PREFIX, b''
        writer.write(
            f'{method} {prefix}2f HTTP/1.1\r\n'
            f'Host: {HOST}\r\n'
            f'X-Chicoryshunt-Request-Id: {name}\r\n'
            f'X-Chicoryshunt-Deadline-Ms: {round(self.deadline_s * 1000)}\r\n'
            f'Authorization: Bearer {KEY}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
        )
        try:
            closes = await asyncio.wait_for(
                read_answer(reader, attempt), self.deadline_s + 0.1
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self._close()
            return attempt
        finally:
            attempt.answered_at = time.monotonic()
        if closes or attempt.status != 200:
            self._close()
        return attempt

    async def _refresh(self) -> None:
        if time.monotonic() < self._listed_until:
            return
        nodes = [one for one in self._world.nodes if one.zone == self._zone]
        others = [one for one in self._world.nodes if one.zone != self._zone]
        random.shuffle(nodes)
        random.shuffle(others)
        for node in (nodes + others)[:3]:
            found = await ask_directory(node, self._zone)
            if found:
                self._addresses, ttl = found
                self._listed_until = time.monotonic() + min(ttl, 5)
                return

    def _close(self) -> None:
        if self._channel is not None:
            self._channel[2].close()
            self._channel = None


async def read_answer(reader: asyncio.StreamReader, attempt: Attempt) -> bool:
    """Read one answer with a length; say whether the channel ends."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = _parse_fields(lines[1:])
    attempt.status = int(lines[0].split(' ')[1])
    attempt.is_leaving = headers.get('server-leaving') == '1'
    await reader.readexactly(int(headers.get('content-length', 0)))
    attempt.is_whole = True
    return headers.get('connection', '').lower() == 'close'


async def send_stream(
    world: 'World', node: 'Node', parts: list[str], tokens_out: int
) -> Attempt:
    """Send a streaming request on a new channel and read its answer."""
    name = f'{random.getrandbits(64):016x}'
    address = f'{node.host}:{FRONT}'
    attempt = Attempt(name, False, time.monotonic(), address, kind='stream')
    world.attempts[name] = attempt
    prefix = ','.join(f'{part}:20' for part in parts)
    body = b'p' * 2000
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(node.host, FRONT), 1
        )
    except (OSError, TimeoutError):
        attempt.answered_at = time.monotonic()
        return attempt
    try:
        writer.write(
            'POST /lohu930/2f HTTP/1.1\r\n'
            f'Host: {HOST}\r\n'
            f'X-Chicoryshunt-Request-Id: {name}\r\n'
            'X-Chicoryshunt-Model: m\r\n'
            f'X-Chicoryshunt-Token-Count: {20 * len(parts)},{tokens_out}\r\n'
            f'X-Chicoryshunt-Prefix-Hash: {prefix}\r\n'
            'X-Chicoryshunt-Deadline-Ms: 39000\r\n'
            f'Authorization: Bearer {KEY}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
        )
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 39)
        attempt.status = int(head.split(b' ')[1])
        await asyncio.wait_for(_read_body(reader, head), 39)
        attempt.is_whole = True
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        attempt.answered_at = time.monotonic()
        writer.close()
    return attempt


async def _read_body(reader: asyncio.StreamReader, head: bytes) -> None:
    headers = _parse_fields(head.decode('latin-1').split('\r\n')[1:])
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        await reader.readexactly(int(headers.get('content-length', 0)))
        return
    while size := int(await reader.readuntil(b'\r\n'), 16):
        await reader.readexactly(size + 2)
    await reader.readexactly(2)


async def ask(host: str, port: int, target: str) -> tuple[int, bytes] | None:
    """Send a GET on a new channel; ``None`` without an answer in a second."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), 1
        )
    except (OSError, TimeoutError):
        return None
    try:
        writer.write(
            f'GET {target} HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n'
            .encode()
        )
        answer = await asyncio.wait_for(reader.read(-1), 1)
        head, _, body = answer.partition(b'\r\n\r\n')
        return int(head.split(b' ')[1]), body
    except (OSError, TimeoutError, IndexError, ValueError):
        return None
    finally:
        writer.close()


async def ask_directory(
    node: 'Node', zone: str
) -> tuple[list[str], float] | None:
    target = (
        f'/chicoryshunt/resolve?name={HOST}&region=ph-luzon&zone={zone}'
    )
    answer = await ask(node.host, DIRECTORY, target)
    if answer is None or answer[0] != 200:
        return None
    with suppress(ValueError):
        found = json.loads(answer[1])
        if found.get('addresses'):
            return found['addresses'], float(found['ttl_s'])
    return None


# ----------------------------------------------------------------------- nodes


class Node:
    """A process of the project, with the command of the deploy file."""

    def __init__(self, name: str, host: str, zone: str, folder: Path) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.log = folder / f'{name}.log'
        self.settings = folder / f'{name}.conf'
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['CHICORYSHUNT_BOOT'] = str(self.settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                ('python3', '-m', 'chicoryshunt.platform'),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    async def is_ready(self) -> bool:
        answer = await ask(self.host, READINESS, '/chicoryshunt/ready')
        return answer is not None and answer[0] == 200

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def build_settings(node: Node, seeds: list[str], store: str) -> str:
    zones = [f'zones.{zone}=ph-luzon' for zone in ZONES]
    return '\n'.join(
        (
            f'node_name=front-{node.name}',
            'role=entry',
            'machine_class=front',
            'serves=front,control,directory',
            f'ip={node.host}',
            f'zone={node.zone}',
            'region=ph-luzon',
            *zones,
            f'listen.front={node.host}:{FRONT}',
            f'listen.readiness={node.host}:{READINESS}',
            f'listen.control={node.host}:{CONTROL}',
            f'listen.directory={node.host}:{DIRECTORY}',
            f'internal_port_range={INTERNAL},{INTERNAL + 15}',
            f'seeds={",".join(f"{seed}:{CONTROL}" for seed in seeds)}',
            'bootstrap=true',
            'loss_counts=false',
            'limits.cpu_share=0.537',
            'limits.cores=2',
            'limits.memory_mb=150',
            'limits.max_fds=4100',
            'limits.link_mbps=1000.0',
            'limits.disk_mb=0',
            'discovery=platform',
            'entry=directory',
            'heartbeat_ms=1200',
            'contracts=base,drain,config,cost,retry,recover,engine,stream,'
            'tenants,places,platform',
            'fault_tolerance.machines=2',
            'fault_tolerance.zones=1',
            'fault_tolerance.regions=0',
            'bounds.seed_lag_s=3',
            'bounds.addr_reuse_s=2',
            'bounds.stable_window_ms=3000',
            'bounds.ack_ms=4000',
            'bounds.catch_up_s=4',
            'bounds.drain_ms=2000',
            'bounds.grace_s=8',
            'bounds.loss_slack_ms=200',
            'bounds.config_apply_ms=2000',
            'bounds.rollback_slack_ms=250',
            'bounds.max_skew_ms=5000',
            'bounds.strict_revoke=false',
            'bounds.revoke_ms=5000',
            'bounds.retry_ratio=0.2',
            'bounds.retry_window_s=10',
            'bounds.retry_slack=58',
            'bounds.cold_overshoot=1.5',
            'bounds.cold_slack=5',
            'bounds.evacuate_ms=5000',
            'bounds.recover_s=12',
            'bounds.pass_ms=120',
            'bounds.reuse_window_s=4.7',
            'bounds.ttl_max_s=5',
            f'platform.address={store}',
            'platform.form=read',
            'platform.writes_per_s=400',
            'platform.reads_per_s=2000',
            'platform.history_s=20',
            'platform.value_bytes=1048576',
            'platform.min_ttl_ms=1000',
            '',
        )
    )


def build_config(version: int) -> dict[str, object]:
    def build_route(prefix: str, kind: str, attempts: int) -> object:
        return {
            'name': f'r{prefix.strip("/")}',
            'host': HOST,
            'prefix': prefix,
            'kind': kind,
            'timeout_ms': 600,
            'target_latency_ms': 125,
            'priority': 2,
            'service': PLAIN,
            'max_attempts': attempts,
            'public': False,
        }

    return {
        'version': version,
        'routes': [
            build_route(UNSAFE_PREFIX, 'unsafe', 1),
            build_route(SAFE_PREFIX, 'safe', 2),
            {
                'name': 'r-stream',
                'host': HOST,
                'prefix': '/lohu930/',
                'kind': 'streaming',
                'timeout_ms': 39000,
                'target_latency_ms': 1800,
                'priority': 1,
                'service': ENGINES,
                'max_attempts': 1,
                'public': False,
                'session_affinity': True,
                'stream_resume': False,
                'target_gap_ms': 180,
            },
            {
                'name': 'r-resume',
                'host': HOST,
                'prefix': '/pufi791/',
                'kind': 'streaming',
                'timeout_ms': 6000,
                'target_latency_ms': 1500,
                'priority': 0,
                'service': ENGINES,
                'max_attempts': 2,
                'public': False,
                'session_affinity': True,
                'stream_resume': True,
                'target_gap_ms': 180,
            },
        ],
        'services': [
            {
                'name': PLAIN,
                'health_path': '/health',
                'max_connections': 110,
                'protocol': 'h1',
                'tls': False,
                'cold_start_s': 0.0,
                'cold_per_s': 0.0,
            },
            {
                'name': ENGINES,
                'health_path': '/health',
                'max_connections': 252,
                'protocol': 'h1',
                'tls': False,
                'cold_start_s': 1.0,
                'cold_per_s': 37.0,
                'engine': {
                    'slots': 24,
                    'kv_capacity': 34312,
                    'kv_token_bytes': 262144,
                    'link_mbps': 38000.0,
                    'moves': True,
                    'backups': True,
                    'stride': 4,
                    'most': 12,
                    'pin_ms': 4000.0,
                    'hold_ms': 2000.0,
                    'handle_s': 5.0,
                    'models': [{'name': 'm'}],
                },
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
    }


# ----------------------------------------------------------------------- world


def find_block() -> str:
    """Return the first three numbers of loopback addresses nobody uses."""
    for _ in range(200):
        block = f'127.{random.randint(16, 250)}.{random.randint(0, 255)}'
        try:
            with socket.socket() as one, socket.socket() as other:
                one.bind((f'{block}.1', CONTROL))
                other.bind((f'{block}.1', FRONT))
        except OSError:
            continue
        return block
    raise Unready('no free loopback addresses')


class World:
    """The deployment, and what its clients and servers have seen."""

    def __init__(self, folder: Path, node_count: int, engines: int) -> None:
        self.folder = folder
        self.store = Store()
        self.block = find_block()
        self.nodes: list[Node] = []
        self.servers: list[Server] = []
        self.attempts: dict[str, Attempt] = {}
        self.runs: list[Run] = []
        self.notes: list[tuple[float, str]] = []
        self.is_ending = False
        self.began = time.monotonic()
        self.tasks: set[asyncio.Task[None]] = set()
        self._hosts = itertools.count(100)
        for number in range(node_count):
            self.nodes.append(
                Node(
                    f'n{number + 1}',
                    f'{self.block}.{number + 1}',
                    ZONES[number % len(ZONES)],
                    folder,
                )
            )
        for number, zone in enumerate(ZONES):
            self.servers.append(Server(f'p{number}', PLAIN, zone, self))
        for number in range(engines):
            zone = ZONES[number % len(ZONES)]
            self.servers.append(Engine(f'e{number}', ENGINES, zone, self))

    def note(self, text: str) -> None:
        self.notes.append((time.monotonic(), text))

    def add_run(self, run: Run) -> None:
        self.runs.append(run)

    def spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self) -> None:
        await self.store.server.start(f'{self.block}.90')
        self.store.write('op/config', build_config(7))
        for server in self.servers:
            await self.start_server(server)
        self.spawn(self.store.keep_copies())
        self.spawn(self.store.remove_silent())
        seeds = [node.host for node in self.nodes[:3]]
        for node in self.nodes:
            node.settings.write_text(
                build_settings(node, seeds, self.store.server.address)
            )
            node.start()
        until = time.monotonic() + 25
        while time.monotonic() < until:
            ready = [await node.is_ready() for node in self.nodes]
            if all(ready):
                return
            await asyncio.sleep(0.2)
        raise Unready('the nodes did not get ready')

    async def start_server(self, server: Server) -> None:
        await server.server.start(f'{self.block}.{next(self._hosts)}')
        self.note(f'started {server.name}')
        server.write_entry()
        self.spawn(server.beat())

    async def replace_server(self, old: Server, linger_s: float) -> Server:
        """Start a new server first; the old one drains (a release)."""
        number = sum(one.service == old.service for one in self.servers)
        name = f'{old.name[0]}{number}'
        server = type(old)(name, old.service, old.zone, self)
        self.servers.append(server)
        await self.start_server(server)
        self.spawn(old.leave(linger_s))
        return server

    async def stop(self) -> None:
        self.is_ending = True
        # What is cancelled from here on is no news.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for task in tuple(self.tasks):
            task.cancel()
        for node in self.nodes:
            node.kill()
        for server in self.servers:
            server.server.stop()
        self.store.server.stop()

    def start_clients(
        self, count: int, every_s: float, deadline_s: float = 0.6
    ) -> None:
        self.began = time.monotonic()
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            client = Client(self, zone, every_s, deadline_s)
            self.spawn(client.send_all())

    def write_record(self, path: Path, verdict: list[str]) -> None:
        """Write what was sent, answered and run, in the order of time."""
        lines = [(at, f'note {text}') for at, text in self.notes]
        for one in self.attempts.values():
            lines.append(
                (one.sent_at, f'sent {one.request} {one.kind} to {one.node}')
            )
            leaving = ' server-leaving' if one.is_leaving else ''
            lines.append(
                (
                    one.answered_at,
                    f'answered {one.request} {one.status} '
                    f'{"whole" if one.is_whole else "not whole"}{leaving}',
                )
            )
        for run in self.runs:
            whole = 'whole' if run.is_whole else 'not to its end'
            lines.append((run.at, f'run {run.request} at {run.server} {whole}'))
        with path.open('w') as record:
            record.write('\n'.join(verdict) + '\n\n')
            for at, text in sorted(lines):
                record.write(f'{at - self.began:9.3f} {text}\n')


def run_case(
    play: Callable[[World], Awaitable[list[str]]],
    folder: Path,
    *,
    node_count: int = 9,
    engines: int = 12,
) -> int:
    """Play a case; return the exit status. ``play`` returns what broke."""
    temporary = Path(tempfile.mkdtemp(prefix='review-'))

    async def run() -> int:
        world = World(temporary, node_count, engines)
        try:
            await world.start()
            broken = await play(world)
        except Unready as error:
            print(f'could not run: {error}')
            return NOT_RUN
        finally:
            await world.stop()
        verdict = broken or ['the rule held']
        world.write_record(folder / 'record.txt', verdict)
        print('\n'.join(verdict))
        return BROKEN if broken else HELD

    try:
        return asyncio.run(run())
    finally:
        if os.environ.get('KEEP'):
            shutil.copytree(temporary, os.environ['KEEP'], dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)


if __name__ == '__main__':
    sys.exit(NOT_RUN)
