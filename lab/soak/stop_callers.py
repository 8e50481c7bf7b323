"""Callers of the soak of planned stops."""

import asyncio
import itertools
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import msgspec

from chicoryshunt.connection.upstream import (
    Answer,
    BodyEnd,
    CallBounds,
    ConnectionLostError,
    NotSentError,
    OutgoingRequest,
    UpstreamPool,
)
from chicoryshunt.exceptions import ChicoryshuntError
from chicoryshunt.nodes.links import parse_address
from lab.soak.lost import Sent, Span
from lab.soak.world import Node, World
from lab.standins.platform_files import DIRECTORY, HOST, KEY

TIMEOUT_SECONDS = 39.0
_STREAM_SECONDS = (2.0, TIMEOUT_SECONDS, TIMEOUT_SECONDS)
_CALL_SECONDS = (0.3, 1.0, 1.0, 5.0)
_CONNECT_SECONDS = 1.0
_IDLE_SECONDS = 8.0
_PAUSE_SECONDS = 0.5
# How many times longer than they are told callers keep a list of addresses.
# Those who get no new list keep the old one.
_KEEP_TIMES = (1, 1, 1, 3, 3, 10, 100)
# Shares of short streams and of calls; the other requests are long streams.
_SHORT_SHARE = 0.2
_CALL_SHARE = 0.4
# Share of calls whose body arrives in chunks, for so long.
_CHUNKED_SHARE = 0.2
_CHUNKS = 10
_CHUNKED_SECONDS = (0.5, 4.0)
_SHORT_TOKENS = 12
_LONG_TOKENS = (400, 2000)
_LOOKUP = CallBounds(idle_seconds=0, answer_seconds=1, max_bytes=65536)
_HEADER = 'x-chicoryshunt-request-id'
_TRIES = 3


class Directory(msgspec.Struct):
    """Answer of a node to a caller that asks where to connect."""

    addresses: list[str]
    ttl_s: float


@dataclass(slots=True)
class Caller:
    """Sends requests to the nodes that a directory names, one by one."""

    world: World
    rng: Random
    name: str
    sent: list[Sent] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    pool: UpstreamPool = field(
        default_factory=lambda: UpstreamPool(_CONNECT_SECONDS)
    )
    addresses: list[str] = field(default_factory=list)
    asked_until: float = 0

    async def keep_asking(self, until: float) -> None:
        """Send requests until a time."""
        times = self.rng.choice(_KEEP_TIMES)
        for number in itertools.count():
            if time.monotonic() > until:
                break
            if time.monotonic() > self.asked_until:
                await self._resolve(times)
            if self.addresses:
                await self._ask(f'{self.name}-{number}')
            await asyncio.sleep(self.rng.random() * _PAUSE_SECONDS)
        self.pool.close_idle()

    async def _resolve(self, times: int) -> None:
        """Ask for addresses; keep the old ones if no node answers."""
        nodes = self.rng.sample(self.world.nodes, _TRIES)
        for node in nodes:
            try:
                found = await self._look_up(node)
            except ChicoryshuntError:
                continue
            self.addresses = found.addresses
            self.asked_until = time.monotonic() + found.ttl_s * times
            return

    async def _look_up(self, node: Node) -> Directory:
        uri = f'/chicoryshunt/resolve?name={HOST}&zone=luzon-a&region=r'
        _, body = await self.pool.call(
            f'{node.host}:{DIRECTORY}',
            OutgoingRequest(b'GET', uri.encode(), [(b'Host', b'node')]),
            _LOOKUP,
        )
        return msgspec.json.decode(body, type=Directory)

    async def _ask(self, request: str) -> None:
        draw = self.rng.random()
        if draw < _CALL_SHARE:
            await self._call(request, self.rng.choice(_CALL_SECONDS))
            return
        tokens = self.rng.randint(*_LONG_TOKENS)
        if draw < _CALL_SHARE + _SHORT_SHARE:
            tokens = _SHORT_TOKENS
        seconds = self.rng.choice(_STREAM_SECONDS)
        outgoing = _build_request(b'POST /drafts/', request, seconds, tokens)
        await self._send(request, outgoing, seconds)

    async def _call(self, request: str, seconds: float) -> None:
        kind = self.rng.choice((b'GET /reads/', b'POST /filings/'))
        outgoing = _build_request(kind, request, seconds)
        if self.rng.random() < _CHUNKED_SHARE:
            kind = b'POST /filings/'
            outgoing = _build_request(kind, request, seconds)
            await self._send_chunks(request, outgoing, seconds)
        else:
            await self._send(request, outgoing, seconds)

    async def _send_chunks(
        self, request: str, outgoing: OutgoingRequest, seconds: float
    ) -> None:
        """Send a body in chunks; the deadline counts from the last one."""
        address = self.rng.choice(self.addresses)
        started = time.monotonic()
        pause = self.rng.uniform(*_CHUNKED_SECONDS) / _CHUNKS
        try:
            reader, writer = await asyncio.open_connection(
                *parse_address(address)
            )
        except OSError:
            self.addresses.remove(address)
            return
        last_byte = float('inf')
        answer = b''
        with suppress(OSError, TimeoutError):
            await _write_chunks(writer, outgoing, pause)
            last_byte = time.monotonic()
            async with asyncio.timeout(seconds):
                answer = await reader.read()
        writer.close()
        status = int(answer.split()[1]) if answer else 0
        self.statuses[status] += 1
        self.sent.append(
            Sent(
                request,
                address,
                Span(started, time.monotonic()),
                last_byte + seconds,
                is_answered=bool(status),
                last_byte=last_byte,
            )
        )

    async def _send(
        self, request: str, outgoing: OutgoingRequest, seconds: float
    ) -> None:
        address = self.rng.choice(self.addresses)
        try:
            upstream = await self.pool.acquire(address, _IDLE_SECONDS)
        except NotSentError:
            self.addresses.remove(address)
            return
        started = time.monotonic()
        status = 0
        try:
            answer = await upstream.send(outgoing, seconds)
        except (NotSentError, ConnectionLostError):
            upstream.abort()
        else:
            status = await _read_status(answer, seconds)
        self.statuses[status] += 1
        self.sent.append(
            Sent(
                request,
                address,
                Span(started, time.monotonic()),
                started + seconds,
                is_answered=bool(status),
            )
        )


async def _write_chunks(
    writer: asyncio.StreamWriter, outgoing: OutgoingRequest, pause: float
) -> None:
    headers = [
        *outgoing.headers,
        (b'Transfer-Encoding', b'chunked'),
        (b'Connection', b'close'),
    ]
    lines = [b'%s: %s' % one for one in headers]
    start = b'%s %s HTTP/1.1' % (outgoing.method, outgoing.uri)
    writer.write(b'\r\n'.join((start, *lines, b'', b'')))
    for _ in range(_CHUNKS):
        writer.write(b'4\r\nbody\r\n')
        await writer.drain()
        await asyncio.sleep(pause)
    writer.write(b'0\r\n\r\n')
    await writer.drain()


async def _read_status(answer: Answer, seconds: float) -> int:
    """Return the status of a whole answer, 0 if it is cut."""
    try:
        async with asyncio.timeout(seconds):
            while True:
                piece = await answer.body.read()
                if isinstance(piece, BodyEnd):
                    return answer.status if piece is BodyEnd.whole else 0
    except TimeoutError:
        return 0


def _build_request(
    kind: bytes, request: str, seconds: float, tokens: int = 0
) -> OutgoingRequest:
    method, prefix = kind.split()
    headers = {
        'Host': HOST,
        'Authorization': f'Bearer {KEY}',
        _HEADER: request,
        'X-Chicoryshunt-Deadline-Ms': str(round(seconds * 1000)),
    }
    if tokens:
        headers |= {
            'X-Chicoryshunt-Model': 'm',
            'X-Chicoryshunt-Token-Count': f'200,{tokens}',
            'X-Chicoryshunt-Length-Hint': str(tokens),
            'X-Chicoryshunt-Prefix-Hash': f'ab:80,{request}:120',
        }
    return OutgoingRequest(
        method,
        prefix + request.encode(),
        [(name.encode(), text.encode()) for name, text in headers.items()],
        b'' if method == b'GET' else b'the body',
    )
