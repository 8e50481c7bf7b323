"""Connections to targets, one exchange at a time on each."""

import asyncio
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Any, cast

from twisted.internet.defer import succeed
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.web._newclient import (
    HTTP11ClientProtocol,
    Request,
    ResponseDone,
)
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from chicoryshunt.connection.loop import await_deferred
from chicoryshunt.connection.loop_transport import LoopTransport
from chicoryshunt.exceptions import ChicoryshuntError

RawHeaders = Sequence[tuple[bytes, bytes]]

# A connection that says nothing of its timeout is kept for this long.
_IDLE_SECONDS = 4.0
# Part of the announced idle timeout that is used, for clocks differ.
_IDLE_PART = 0.7
_MOST_IDLE = 16
# Unacknowledged bytes for this long mean that the path is cut.
_USER_TIMEOUT_MILLISECONDS = 2000
_KEEPALIVE_SECONDS = 1
_KEEPALIVE_PROBES = 2
_PAUSE_BYTES = 262144
_KEEP_ALIVE = b'keep-alive'
_TIMEOUT_PREFIX = b'timeout='


class NotSentError(ChicoryshuntError):
    """No byte of the request was written."""


class ConnectionLostError(ChicoryshuntError):
    """The connection failed after bytes of the request were written."""


class BodyEnd(Enum):
    """How a body ended."""

    whole = 'whole'
    cut = 'cut'


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as it is written to a target."""

    method: bytes
    uri: bytes
    headers: RawHeaders
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and headers of an answer; the body is read from it.

    ``length`` is ``None`` where the answer does not tell it.
    """

    status: int
    headers: RawHeaders
    length: int | None
    body: 'Body'

    @property
    def is_success(self) -> bool:
        """Say whether the status is one of success."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES

    def get(self, name: bytes) -> bytes:
        """Return the first value of a header, empty when absent."""
        lowered = name.lower()
        for key, text in self.headers:
            if key.lower() == lowered:
                return text
        return b''


class Body(Protocol):
    """Body of an answer, read in pieces, with back pressure."""

    def __init__(self, connection: 'Upstream') -> None:
        """Wait for the first piece."""
        self._connection = connection
        self._pieces: list[bytes] = []
        self._size = 0
        self._end: BodyEnd | None = None
        self._arrived = asyncio.Event()
        self._is_paused = False

    async def read(self) -> bytes | BodyEnd:
        """Return what arrived since the last call, or how the body ended."""
        await self._arrived.wait()
        if self._pieces:
            received = b''.join(self._pieces)
            self._pieces.clear()
            self._size = 0
            if self._end is None:
                self._arrived.clear()
                self._resume()
            return received
        return cast(BodyEnd, self._end)

    async def read_all(
        self,
        most_bytes: int,
        seconds: float | None = None,
    ) -> bytes | BodyEnd:
        """Return the whole body; ``cut`` if it is cut, too large or late."""
        try:
            return await asyncio.wait_for(self._collect(most_bytes), seconds)
        except TimeoutError:
            return BodyEnd.cut

    def dataReceived(self, data: bytes) -> None:
        """Keep a piece; stop reading when too much waits."""
        self._pieces.append(data)
        self._size += len(data)
        self._arrived.set()
        if self._size > _PAUSE_BYTES and not self._is_paused:
            self._is_paused = True
            cast(Any, self.transport).pauseProducing()

    def connectionLost(self, reason: Any = None) -> None:
        """Note whether the body is whole."""
        self._end = BodyEnd.cut
        if reason is None or reason.check(ResponseDone):
            self._end = BodyEnd.whole
        elif reason.check(PotentialDataLoss) and self._connection.is_closed:
            # A body without a length ends with its connection, unless that
            # was reset.
            self._end = BodyEnd.whole
        self._arrived.set()

    async def _collect(self, most_bytes: int) -> bytes | BodyEnd:
        received = bytearray()
        while True:
            piece = await self.read()
            if piece is BodyEnd.whole:
                return bytes(received)
            if isinstance(piece, BodyEnd):
                return piece
            received += piece
            if len(received) > most_bytes:
                return BodyEnd.cut

    def _resume(self) -> None:
        if self._is_paused:
            self._is_paused = False
            cast(Any, self.transport).resumeProducing()


class Upstream(HTTP11ClientProtocol):
    """One connection to a target."""

    def __init__(
        self,
        on_idle: Callable[['Upstream'], None],
        on_lost: Callable[['Upstream'], None],
    ) -> None:
        """Tell when the next exchange may begin, and of the end."""
        super().__init__(lambda _: on_idle(self))
        self._on_lost = on_lost
        self.address = ''
        self.idle_seconds = _IDLE_SECONDS
        self.idle_since: float = 0
        self.is_closed = False

    @property
    def is_usable(self) -> bool:
        """Say whether an exchange may begin."""
        return bool(self.state == 'QUIESCENT')

    async def send(self, sending: OutgoingRequest, seconds: float) -> Answer:
        """Write a request and return the answer's headers.

        Raises ``NotSentError`` or ``LostError``; ``seconds`` bounds the wait
        for the headers.
        """
        if not self.is_usable:
            raise NotSentError(f'{self.address}: connection is in use')
        headers = Headers()
        for name, text in sending.headers:
            headers.addRawHeader(name, text)
        waiting = await_deferred(
            self.request(
                Request(
                    sending.method,
                    sending.uri,
                    headers,
                    BytesProducer(sending.body) if sending.body else None,
                    persistent=True,
                ),
            ),
        )
        try:
            response: Any = await asyncio.wait_for(waiting, seconds)
        except TimeoutError as error:
            raise ConnectionLostError(
                f'{self.address}: no answer within {seconds:.3f} s',
            ) from error
        except Exception as error:
            # The library wraps whatever went wrong in types of its own.
            raise ConnectionLostError(f'{self.address}: {error!r}') from error
        return self._build_answer(response)

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            cast(Any, self.transport).abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        """Note whether the other side closed the connection in order."""
        self.is_closed = bool(reason.check(ConnectionDone))
        self._on_lost(self)
        super().connectionLost(reason)

    def _finishResponse(self, rest: bytes) -> None:
        """Keep no connection that sends more than its answer."""
        if rest and self._currentRequest is not None:
            cast(Any, self._currentRequest).persistent = False
        super()._finishResponse(rest)

    def _build_answer(self, response: Any) -> Answer:
        headers = [
            (name, text)
            for name, texts in response.headers.getAllRawHeaders()
            for text in texts
        ]
        self._note_idle_timeout(headers)
        body = Body(self)
        response.deliverBody(body)
        length = None if response.length is UNKNOWN_LENGTH else response.length
        return Answer(response.code, headers, length, body)

    def _note_idle_timeout(self, headers: RawHeaders) -> None:
        for name, text in headers:
            if name.lower() != _KEEP_ALIVE:
                continue
            _, _, number = text.partition(_TIMEOUT_PREFIX)
            digits = number.split(b',')[0].strip()
            if digits.isdigit():
                self.idle_seconds = int(digits) * _IDLE_PART


@dataclass(frozen=True, slots=True)
class CallBounds:
    """What a short call may cost.

    A kept connection is used if it was idle for no longer than
    ``idle_seconds``; ``answer_seconds`` bound the wait for the headers, and
    once more for the body.
    """

    idle_seconds: float
    answer_seconds: float
    most_bytes: int


class UpstreamPool:
    """Kept connections by address; none is used by two exchanges at once."""

    def __init__(self, connect_seconds: float) -> None:
        """Give up connecting after this many seconds."""
        self._connect_seconds = connect_seconds
        self._idle: dict[str, list[Upstream]] = {}
        self.opened = 0

    async def acquire(self, address: str, most_idle_seconds: float) -> Upstream:
        """Return a connection; a kept one only if it was used lately.

        Raises ``NotSentError`` when the target cannot be reached.
        """
        kept = self._take_kept(address, most_idle_seconds)
        return kept or await self.open(address)

    async def call(
        self,
        address: str,
        sending: OutgoingRequest,
        bounds: CallBounds,
    ) -> tuple[Answer, bytes]:
        """Return an answer with its whole body; keep the connection.

        Raises ``NotSentError`` or ``LostError``.
        """
        upstream = await self.acquire(address, bounds.idle_seconds)
        try:
            answer = await upstream.send(sending, bounds.answer_seconds)
        except (NotSentError, ConnectionLostError):
            upstream.abort()
            raise
        body = await answer.body.read_all(
            bounds.most_bytes,
            bounds.answer_seconds,
        )
        if not isinstance(body, bytes):
            upstream.abort()
            raise ConnectionLostError(f'{address}: the answer is cut')
        return answer, body

    async def open(self, address: str) -> Upstream:
        """Return a new connection; raise ``NotSentError``."""
        upstream = Upstream(self._keep, self._forget)
        upstream.address = address
        host, _, port = address.rpartition(':')
        connecting = asyncio.get_running_loop().create_connection(
            lambda: LoopTransport(upstream),
            host,
            int(port),
        )
        self.opened += 1
        try:
            transport, _ = await asyncio.wait_for(
                connecting,
                self._connect_seconds,
            )
        except (TimeoutError, OSError) as error:
            raise NotSentError(f'{address}: {error!r}') from error
        _detect_cuts(transport.get_extra_info('socket'))
        return upstream

    def close_idle(self) -> None:
        """Close the connections that no exchange uses."""
        for kept in tuple(self._idle.values()):
            for upstream in tuple(kept):
                upstream.abort()

    def _keep(self, upstream: Upstream) -> None:
        upstream.idle_since = asyncio.get_running_loop().time()
        kept = self._idle.setdefault(upstream.address, [])
        kept.append(upstream)
        if len(kept) > _MOST_IDLE:
            kept.pop(0).abort()

    def _forget(self, upstream: Upstream) -> None:
        """Drop a connection that ended, so that none piles up."""
        kept = self._idle.get(upstream.address, [])
        if upstream in kept:
            kept.remove(upstream)
        if not kept:
            self._idle.pop(upstream.address, None)

    def _take_kept(self, address: str, most_idle: float) -> Upstream | None:
        kept = self._idle.get(address, [])
        now = asyncio.get_running_loop().time()
        while kept:
            upstream = kept.pop()
            idle = now - upstream.idle_since
            if upstream.is_usable and idle < upstream.idle_seconds:
                if idle <= most_idle:
                    return upstream
                kept.append(upstream)
                return None
            upstream.abort()
        return None


@implementer(IBodyProducer)
class BytesProducer:
    """Body of a request that is in memory."""

    def __init__(self, body: bytes) -> None:
        """Produce these bytes at once."""
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Any) -> Any:
        """Write the whole body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing; everything is written."""

    def resumeProducing(self) -> None:
        """Do nothing; everything is written."""

    def stopProducing(self) -> None:
        """Do nothing; everything is written."""


def _detect_cuts(connected: socket.socket | None) -> None:
    if connected is None:
        return
    for option, reading in (
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MILLISECONDS),
        (socket.TCP_KEEPIDLE, _KEEPALIVE_SECONDS),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_SECONDS),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    ):
        connected.setsockopt(socket.IPPROTO_TCP, option, reading)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
