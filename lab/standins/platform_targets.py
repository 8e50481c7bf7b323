"""Stand-ins for platform targets, after the platform's documentation."""

import asyncio
import json
from collections import Counter
from enum import Enum
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

from chicoryshunt.connection.relayed_exchange import RelayedExchange
from chicoryshunt.connection.upstream import RawHeaders
from lab.standins.crashable_server import CrashableServer
from lab.standins.odd_answers import Head, OddSite
from lab.standins.platform_store import BOUNDS

Arrivals = dict[str, str]

_REQUEST_ID_HEADER = 'x-chicoryshunt-request-id'
_SEAL_HEADER = 'X-Chicoryshunt-Response-Seal'
_PARTS_HEADER = 'x-chicoryshunt-prefix-hash'
_NOT_RUN_HEADER = 'X-Chicoryshunt-Not-Executed'
_EVENT_SECONDS = 0.01
_LATE_SECONDS = 0.5


class LastAnswer(Enum):
    """How an engine answers the order that stops a run."""

    whole = 'whole'
    late = 'late'
    lost = 'lost'
    torn = 'torn'
    full = 'full'
    full_without_handle = 'full_without_handle'
    in_progress = 'in_progress'
    unknown = 'unknown'


_REFUSALS = MappingProxyType(
    {
        LastAnswer.full_without_handle: HTTPStatus.SERVICE_UNAVAILABLE,
        LastAnswer.in_progress: HTTPStatus.CONFLICT,
        LastAnswer.unknown: HTTPStatus.NOT_FOUND,
    },
)


class StandInService:
    """Plain service; ``mode`` selects how its answers fail."""

    def __init__(self, name: str) -> None:
        """Start in the mode that answers every call correctly."""
        self.name = name
        self.site = OddSite(self._handle, BOUNDS)
        self.mode = 'well'
        # Whether the bodies of refusals never end.
        self.drips = False
        self.runs: Counter[str] = Counter()
        # Sender and head of the first request with each id.
        self.arrivals: Arrivals = {}
        self.headers: list[dict[str, str]] = []
        self.bodies: list[bytes] = []
        self.is_released = asyncio.Event()

    async def _handle(self, exchange: RelayedExchange) -> None:
        request = _record_arrival(exchange, self.arrivals)
        expected = exchange.get_header('x-chicoryshunt-expect-instance')
        if not request:
            _refuse(exchange, request, HTTPStatus.BAD_REQUEST)
            return
        if expected != self.name or self.mode == 'full':
            status = HTTPStatus.MISDIRECTED_REQUEST
            if self.mode == 'full':
                status = HTTPStatus.SERVICE_UNAVAILABLE
            if self.drips:
                not_run = (_NOT_RUN_HEADER.encode(), b'1')
                await _drip(exchange, status, [not_run])
            else:
                _refuse(exchange, request, status)
            return
        self.runs[request] += 1
        self.bodies.append(exchange.body)
        self.headers.append(
            {
                name.decode().lower(): text.decode()
                for name, text in exchange.list_headers()
            },
        )
        await self._answer(exchange, request)

    async def _answer(self, exchange: RelayedExchange, request: str) -> None:
        match self.mode:
            case 'cut':
                exchange.abort()
                return
            case 'stall':
                exchange.set_header(_REQUEST_ID_HEADER, request)
                exchange.set_header(_SEAL_HEADER, f'seal-{self.name}')
                exchange.set_header('content-length', '9')
                exchange.write(b'half')
                return
            case 'hang':
                await self.is_released.wait()
            case 'foreign':
                request = 'another'
        status = HTTPStatus.OK
        if self.mode == 'fail':
            status = HTTPStatus.INTERNAL_SERVER_ERROR
        exchange.set_header(_REQUEST_ID_HEADER, request)
        exchange.set_header(_SEAL_HEADER, f'seal-{self.name}')
        body = f'{exchange.method} {exchange.path}'.encode()
        exchange.respond(body, 'text/plain', status)


class StandInEngine:
    """Engine that streams numbered events and can move its runs.

    Engines that share ``fleet`` find each other's memory copies in it by
    handle.
    """

    # How many times as long as usual an event takes.
    slowness: float = 1

    def __init__(self, name: str, fleet: dict[str, int]) -> None:
        """Start healthy, with room and without runs."""
        self.name = name
        self.site = OddSite(self._handle, BOUNDS)
        self.server = CrashableServer(self.site)
        # Part of a prompt on which the engine crashes.
        self.crashing_part = ''
        self.length = 40
        self.has_room = True
        self.breaks_off = False
        # Number of events after which a stream breaks off, 0 for none.
        self.breaks_after = 0
        # Status with which every request is answered, 0 for a stream.
        self.error_status = 0
        self.last_answer = LastAnswer.whole
        # Whether the bodies of errors and of answers to orders never end.
        self.drips = False
        self.is_healthy = True
        self.reported_state = 'ready'
        self.started: list[str] = []
        # Sender and head of the first request with each id.
        self.arrivals: Arrivals = {}
        self.copies: list[tuple[str, bool]] = []
        self._produced: dict[str, int] = {}
        self._stopped: set[str] = set()
        self._fleet = fleet

    async def _handle(self, exchange: RelayedExchange) -> None:
        if exchange.path == '/chicoryshunt/kv-move':
            await self._move(exchange)
        elif exchange.path.startswith('/chicoryshunt/kv-handle/'):
            self._fleet.pop(exchange.path.rpartition('/')[2], None)
            exchange.respond(b'')
        elif exchange.path == '/chicoryshunt/report':
            exchange.respond_json({'state': self.reported_state, 'running': 1})
        elif exchange.path == '/health':
            self._answer_health(exchange)
        else:
            await self._run(exchange)

    def _answer_health(self, exchange: RelayedExchange) -> None:
        exchange.set_header('X-Chicoryshunt-Instance-Id', self.name)
        status = HTTPStatus.OK
        if not self.is_healthy:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        exchange.respond(b'', status=status)

    async def _move(self, exchange: RelayedExchange) -> None:
        order = json.loads(exchange.body)
        request = order['id']
        if request not in self._produced:
            exchange.respond(b'', status=HTTPStatus.NOT_FOUND)
            return
        is_last = order.get('last', False)
        self.copies.append((request, is_last))
        if self.drips:
            await _drip(exchange)
            return
        if not self.has_room:
            exchange.respond(b'', status=HTTPStatus.SERVICE_UNAVAILABLE)
            return
        handle = f'handle-{request}'
        self._fleet[handle] = self._produced[request]
        answer = {'handle': handle, 'created': self._produced[request]}
        if is_last:
            self._stopped.add(request)
            await self._answer_last(exchange, answer)
        else:
            exchange.respond_json(answer)

    async def _answer_last(
        self, exchange: RelayedExchange, answer: dict[str, Any]
    ) -> None:
        match self.last_answer:
            case LastAnswer.whole:
                exchange.respond_json(answer)
            case LastAnswer.late:
                await asyncio.sleep(_LATE_SECONDS)
                exchange.respond_json(answer)
            case LastAnswer.lost:
                exchange.abort()
            case LastAnswer.torn:
                body = json.dumps(answer).encode()
                exchange.set_header('content-length', str(len(body)))
                exchange.write(body[: len(body) // 2])
                exchange.abort()
            case LastAnswer.full:
                exchange.respond_json(answer, HTTPStatus.SERVICE_UNAVAILABLE)
            case _:
                status = _REFUSALS[self.last_answer]
                exchange.respond(b'', status=status)

    async def _run(self, exchange: RelayedExchange) -> None:
        request = _record_arrival(exchange, self.arrivals)
        last = int(exchange.get_header('last-event-id') or 0)
        refusal = self._find_refusal(exchange)
        if refusal is not None:
            _refuse(exchange, request, refusal)
            return
        self.started.append(request)
        self._set_head(exchange, request)
        if self.crashing_part and self._holds_crashing_part(exchange):
            exchange.write(b'')
            await asyncio.sleep(_EVENT_SECONDS)
            self.server.crash()
        elif self.error_status:
            await self._answer_error(exchange)
        elif self.breaks_off:
            exchange.write(b'id: 1\nda')
            await asyncio.sleep(_EVENT_SECONDS)
            exchange.abort()
        else:
            await self._stream(exchange, request, last)

    def _find_refusal(self, exchange: RelayedExchange) -> HTTPStatus | None:
        expected = exchange.get_header('x-chicoryshunt-expect-instance')
        memory = exchange.get_header('kv-from')
        if not exchange.get_header(_REQUEST_ID_HEADER):
            return HTTPStatus.BAD_REQUEST
        if expected not in {'', self.name}:
            return HTTPStatus.MISDIRECTED_REQUEST
        if memory and self._fleet.pop(memory.partition('/')[2], None) is None:
            return HTTPStatus.SERVICE_UNAVAILABLE
        return None

    async def _answer_error(self, exchange: RelayedExchange) -> None:
        if self.drips:
            await _drip(exchange, self.error_status)
        else:
            exchange.respond(b'an error', status=self.error_status)

    def _set_head(self, exchange: RelayedExchange, request: str) -> None:
        exchange.set_header(_REQUEST_ID_HEADER, request)
        exchange.set_header(_SEAL_HEADER, f'seal-{self.name}')
        exchange.set_header('content-type', 'text/event-stream')

    def _holds_crashing_part(self, exchange: RelayedExchange) -> bool:
        parts = exchange.get_header(_PARTS_HEADER).split(',')
        return any(
            part.partition(':')[0] == self.crashing_part for part in parts
        )

    async def _stream(
        self,
        exchange: RelayedExchange,
        request: str,
        last: int,
    ) -> None:
        self._stopped.discard(request)
        is_unframed = self.site.head is Head.unframed
        for number in range(last + 1, self.length + 1):
            if is_unframed and request in self._stopped:
                # Without chunks, this only closes the connection.
                break
            if self._is_broken(request, number) or not exchange.is_open:
                exchange.abort()
                return
            self._produced[request] = number
            exchange.write(b'id: %d\ndata: token %d\n\n' % (number, number))
            await asyncio.sleep(_EVENT_SECONDS * self.slowness)
        exchange.finish()

    def _is_broken(self, request: str, number: int) -> bool:
        is_cut = 0 < self.breaks_after < number
        return is_cut or request in self._stopped


def _record_arrival(exchange: RelayedExchange, arrivals: Arrivals) -> str:
    """Record who sent a request; return its id, empty when absent."""
    request = exchange.get_header(_REQUEST_ID_HEADER)
    if request not in arrivals:
        headers = ', '.join(
            f'{name.decode()}: {text.decode(errors="replace")}'
            for name, text in exchange.list_headers()
        )
        line = f'{exchange.method} {exchange.uri.decode(errors="replace")}'
        arrivals[request] = f'{line} from {exchange.peer}; {headers}'
    return request


def _refuse(
    exchange: RelayedExchange, request: str, status: HTTPStatus
) -> None:
    exchange.set_header(_REQUEST_ID_HEADER, request)
    exchange.set_header(_NOT_RUN_HEADER, '1')
    exchange.respond(b'', status=status)


async def _drip(
    exchange: RelayedExchange,
    status: int = HTTPStatus.OK,
    headers: RawHeaders = (),
) -> None:
    """Send a body without end, slowly, until the caller disconnects."""
    request = exchange.get_header(_REQUEST_ID_HEADER).encode()
    exchange.begin(status, [(b'X-Chicoryshunt-Request-Id', request), *headers])
    while exchange.is_open:
        exchange.write(b'.')
        await asyncio.sleep(_EVENT_SECONDS)
