"""Engines that stop runs on order, and how they answer the order."""

import asyncio
import json
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

_EVENT_SECONDS = 0.01
_STOP_SECONDS = 0.05
# No move begins during the last events of a run. Whether an order stopped a run
# that ended meanwhile cannot be told without framing, and its stream is cut.
_LAST_EVENTS = 50
# An answer in time for the node, and one that is not.
_LATE_SECONDS = 0.4
_TOO_LATE_SECONDS = 3.2
_NOT_RUN = 'X-Chicoryshunt-Not-Executed: 1'
_HEAD_END = b'\r\n\r\n'


class StopAnswer(Enum):
    """How an engine answers the order that stops a run."""

    prompt = 'prompt'
    late = 'late'
    too_late = 'too_late'
    lost = 'lost'
    reset = 'reset'
    torn = 'torn'
    no_room = 'no_room'
    torn_no_room = 'torn_no_room'
    error = 'error'
    busy = 'busy'
    no_run = 'no_run'
    # The engine rejects the order, and the run goes on.
    goes_on = 'goes_on'
    # The run ended by itself before the order arrived.
    ended = 'ended'


_TORN = frozenset((StopAnswer.torn, StopAnswer.torn_no_room))


@dataclass
class Fleet:
    """What engines know of each other's runs and copies."""

    length: int
    stop_answer: StopAnswer
    is_framed: bool = False
    produced: dict[str, int] = field(default_factory=dict)
    stopped: set[str] = field(default_factory=set)
    # A run waits halfway until it is ordered to stop.
    is_ordered: asyncio.Event = field(default_factory=asyncio.Event)


class StoppableEngine:
    """Engine whose streams end with their connection, if not framed."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        """Start without runs."""
        self.name = name
        self.started: list[str] = []
        self.orders: list[bool] = []
        self._fleet = fleet

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request and close the connection."""
        try:
            await self._serve_one(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(_HEAD_END)
        headers = _parse_headers(head)
        body = await reader.readexactly(int(headers.get('content-length', '0')))
        await self._answer(head, headers, body, writer)
        await writer.drain()

    async def _answer(
        self,
        head: bytes,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        path = head.split()[1]
        if path == b'/chicoryshunt/kv-move':
            await self._move(json.loads(body), writer)
        elif path == b'/chicoryshunt/report':
            _write(writer, '200 OK', [], b'{"state": "ready"}')
        elif path.startswith((b'/health', b'/chicoryshunt/kv-handle/')):
            _write(
                writer, '200 OK', [f'X-Chicoryshunt-Instance-Id: {self.name}']
            )
        else:
            await self._run(headers, writer)

    async def _run(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        request = headers['x-chicoryshunt-request-id']
        last = int(headers.get('last-event-id', '0'))
        named = [
            f'X-Chicoryshunt-Request-Id: {request}',
            f'X-Chicoryshunt-Response-Seal: seal-{self.name}',
        ]
        if headers['x-chicoryshunt-expect-instance'] != self.name:
            _write(writer, '421 Misdirected Request', [*named, _NOT_RUN])
            return
        self.started.append(request)
        self._fleet.stopped.discard(request)
        named.append('Content-Type: text/event-stream')
        if self._fleet.is_framed:
            named.append('Transfer-Encoding: chunked')
        else:
            named.append('Connection: close')
        writer.write(_build_head('200 OK', named))
        for number in range(last + 1, self._fleet.length + 1):
            if number == self._fleet.length // 2:
                await self._fleet.is_ordered.wait()
            if request in self._fleet.stopped:
                return
            self._fleet.produced[request] = number
            self._write_piece(
                writer, b'id: %d\ndata: token %d\n\n' % (number, number)
            )
            await writer.drain()
            await asyncio.sleep(_EVENT_SECONDS)
        self._write_piece(writer, b'')

    def _write_piece(self, writer: asyncio.StreamWriter, piece: bytes) -> None:
        if self._fleet.is_framed:
            piece = b'%x\r\n%s\r\n' % (len(piece), piece)
        writer.write(piece)

    def _answer_copy(
        self, request: str, copied: bytes, writer: asyncio.StreamWriter
    ) -> None:
        produced = self._fleet.produced.get(request, 0)
        if produced > self._fleet.length - _LAST_EVENTS:
            _write(writer, '409 Conflict', [])
        else:
            _write(writer, '200 OK', [], copied)

    async def _move(
        self, order: dict[str, object], writer: asyncio.StreamWriter
    ) -> None:
        request = str(order['id'])
        is_last = bool(order.get('last'))
        self.orders.append(is_last)
        copied = json.dumps(
            {'handle': 'h', 'created': self._fleet.produced.get(request, 0)}
        ).encode()
        if not is_last:
            self._answer_copy(request, copied, writer)
            return
        match self._fleet.stop_answer:
            case StopAnswer.goes_on:
                self._fleet.is_ordered.set()
                _write(writer, '409 Conflict', [])
            case StopAnswer.ended:
                self._fleet.is_ordered.set()
                while self._fleet.produced[request] < self._fleet.length:
                    await asyncio.sleep(_EVENT_SECONDS)
                await asyncio.sleep(_STOP_SECONDS)
                _write(writer, '404 Not Found', [])
            case answer:
                self._fleet.stopped.add(request)
                self._fleet.is_ordered.set()
                # The stream ends before the answer.
                await asyncio.sleep(_STOP_SECONDS)
                await _answer_stop(answer, copied, writer)


async def _answer_stop(
    answer: StopAnswer, copied: bytes, writer: asyncio.StreamWriter
) -> None:
    """Answer the order of a run that has stopped."""
    status = '200 OK'
    match answer:
        case StopAnswer.lost:
            return
        case StopAnswer.reset:
            writer.transport.abort()
        case StopAnswer.late:
            await asyncio.sleep(_LATE_SECONDS)
        case StopAnswer.too_late:
            await asyncio.sleep(_TOO_LATE_SECONDS)
        case StopAnswer.no_room | StopAnswer.torn_no_room:
            status = '503 Full'
        case StopAnswer.busy:
            status = '409 Conflict'
        case StopAnswer.no_run:
            status = '404 Not Found'
        case StopAnswer.error:
            status = '500 Error'
    head = _build_head(
        status, ['Connection: close', f'Content-Length: {len(copied)}']
    )
    if answer in _TORN:
        copied = copied[: len(copied) // 2]
    writer.write(head + copied)


def _parse_headers(head: bytes) -> dict[str, str]:
    lines = head.decode().split('\r\n')[1:]
    named = (line.partition(':') for line in lines if line)
    return {name.lower(): text.strip() for name, _, text in named}


def _build_head(status: str, lines: Sequence[str]) -> bytes:
    return '\r\n'.join((f'HTTP/1.1 {status}', *lines, '', '')).encode()


def _write(
    writer: asyncio.StreamWriter,
    status: str,
    lines: Sequence[str],
    body: bytes = b'',
) -> None:
    named = [*lines, 'Connection: close', f'Content-Length: {len(body)}']
    writer.write(_build_head(status, named) + body)
