"""Pooled HTTP/1.1 connections to targets, without pipelining."""

import asyncio
import re
import socket
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Any, cast

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.web._newclient import (
    BODY,
    DONE,
    Request,
    ResponseDone,
)
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH

from chicoryshunt.connection.answer_buffers import AnswerBuffers
from chicoryshunt.connection.answer_parser import AnswerProtocol
from chicoryshunt.connection.loop import await_deferred
from chicoryshunt.connection.loop_transport import LoopTransport
from chicoryshunt.connection.request_body import BytesProducer
from chicoryshunt.events import log_problem
from chicoryshunt.exceptions import ChicoryshuntError

RawHeaders = Sequence[tuple[bytes, bytes]]

# Used if the target sends no Keep-Alive header with a timeout.
_DEFAULT_IDLE_SECONDS = 4.0
# Part of the announced idle timeout that is used, as clocks differ.
_IDLE_FRACTION = 0.7
_MAX_IDLE_PER_TARGET = 16
# Bytes unacknowledged for this long mean that the path is cut.
_USER_TIMEOUT_MILLISECONDS = 2000
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 2
_HIGH_WATER_MARK_BYTES = 262144
# Whole answers that a pool receives at the same time.
_MAX_BUFFERED_BYTES = 16777216
# Size of an answer's head, together with the interim answers before it.
_MAX_HEAD_BYTES = 65536
# Name of the state in which the protocol waits for a request.
_IDLE = 'QUIESCENT'
_KEEP_ALIVE = b'keep-alive'
_IDLE_TIMEOUT = re.compile(rb'timeout=[ \t]*([0-9]{1,9})[ \t]*(?:,|$)')


class NotSentError(ChicoryshuntError):
    """The request failed before any byte of it was written."""


class NotListeningError(NotSentError):
    """No process accepts connections at the address of the target."""


class ConnectionLostError(ChicoryshuntError):
    """The request failed after bytes of it may have been written."""


class BodyEnd(Enum):
    """State in which a body ended."""

    whole = 'whole'
    cut = 'cut'


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """Request as it is written to a target."""

    method: bytes
    uri: bytes
    headers: RawHeaders
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and headers of an answer, and the body to be read.

    ``length`` is in bytes, ``None`` if the answer does not declare it.
    """

    status: int
    headers: RawHeaders
    length: int | None
    body: 'Body'

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES

    def get(self, name: bytes) -> bytes:
        """Return the first value of a header, empty when absent."""
        return next(self._iterate_values(name), b'')

    def has(self, name: bytes) -> bool:
        """Return whether a header has a value that is not empty."""
        return any(self._iterate_values(name))

    def get_only(self, name: bytes) -> bytes:
        """Return the value of a header, empty if there are different ones."""
        found = set(self._iterate_values(name))
        return found.pop() if len(found) == 1 else b''

    def _iterate_values(self, name: bytes) -> Iterator[bytes]:
        lowered = name.lower()
        return (text for key, text in self.headers if key.lower() == lowered)


class Body(Protocol):
    """Body of an answer, read in chunks with back pressure."""

    def __init__(self, connection: 'Upstream') -> None:
        """Create the body of an answer that ``connection`` receives."""
        self._connection = connection
        self._chunks: list[bytes] = []
        self._size = 0
        self._end: BodyEnd | None = None
        self._arrived = asyncio.Event()
        self._is_paused = False
        # Whether a length or chunks, and not the connection, mark the end.
        self.is_framed = True

    @property
    def is_readable(self) -> bool:
        """Return whether a read returns at once."""
        return self._arrived.is_set()

    async def read(self) -> bytes | BodyEnd:
        """Return the bytes since the last call, or how the body ended.

        Waits until there is one or the other.
        """
        await self._arrived.wait()
        if self._chunks:
            received = b''.join(self._chunks)
            self._chunks.clear()
            self._size = 0
            if self._end is None:
                self._arrived.clear()
                self._resume()
            return received
        return cast(BodyEnd, self._end)

    async def read_all(
        self,
        max_bytes: int,
        seconds: float | None = None,
    ) -> bytes | BodyEnd:
        """Return the whole body.

        Return ``BodyEnd.cut`` if it is cut, exceeds ``max_bytes``, is not
        complete after ``seconds`` or gives way to other answers.
        """
        try:
            async with asyncio.timeout(seconds):
                return await self._collect(max_bytes)
        except TimeoutError:
            return BodyEnd.cut

    def dataReceived(self, data: bytes) -> None:
        """Buffer a chunk; pause reading above the high-water mark."""
        self._chunks.append(data)
        self._size += len(data)
        self._arrived.set()
        if self._size > _HIGH_WATER_MARK_BYTES and not self._is_paused:
            self._is_paused = True
            cast(Any, self.transport).pauseProducing()

    def connectionLost(self, reason: Any = None) -> None:
        """Record whether the body is complete."""
        self._end = BodyEnd.cut
        if reason is None or reason.check(ResponseDone):
            self._end = BodyEnd.whole
        elif reason.check(PotentialDataLoss) and self._connection.is_closed:
            # A body without a declared length ends with the connection; it
            # is complete unless the connection was reset.
            self._end = BodyEnd.whole
            self.is_framed = False
        self._arrived.set()

    async def _collect(self, max_bytes: int) -> bytes | BodyEnd:
        buffers = self._connection.buffers
        with buffers.open() as buffer:
            while not buffer.is_dropped and buffer.size <= max_bytes:
                chunk = await self.read()
                if buffer.is_dropped or chunk is BodyEnd.cut:
                    break
                if isinstance(chunk, BodyEnd):
                    return buffer.join()
                buffers.append(buffer, chunk)
        return BodyEnd.cut

    def _resume(self) -> None:
        if self._is_paused:
            self._is_paused = False
            cast(Any, self.transport).resumeProducing()


class Upstream(AnswerProtocol):
    """HTTP/1.1 connection to a target."""

    def __init__(
        self,
        on_idle: Callable[['Upstream'], None],
        on_lost: Callable[['Upstream'], None],
        buffers: AnswerBuffers,
    ) -> None:
        """Create a connection and the callbacks of its state.

        ``on_idle`` is called when the next exchange may start, ``on_lost``
        when the connection ended. Whole bodies are received into ``buffers``.
        """
        super().__init__(lambda _: on_idle(self))
        self._on_lost = on_lost
        self.buffers = buffers
        self.idle_seconds = _DEFAULT_IDLE_SECONDS
        self.idle_since: float = 0
        self.is_closed = False
        self._head_bytes = 0

    @property
    def is_usable(self) -> bool:
        """Return whether an exchange may start.

        None may on a connection whose end has arrived, but was not handled:
        its request would be lost, although no target ever reads it.
        """
        is_idle = self.state == _IDLE
        return bool(is_idle and not cast(Any, self.transport).is_closing)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes; abort if they belong to no answer."""
        if self.state == _IDLE:
            log_problem(
                'unrequested_bytes', address=self.address, size=len(data)
            )
            self.abort()
            return
        # The parser is dropped once the answer is complete.
        parser = self._parser
        super().dataReceived(data)
        if parser is not None:
            self._record_idle_timeout(parser.connHeaders)
        self._bound_head(len(data))

    async def send(self, outgoing: OutgoingRequest, seconds: float) -> Answer:
        """Send a request and return the answer once its headers arrived.

        ``seconds`` bounds the wait for the headers. Raises ``NotSentError``
        or ``ConnectionLostError``.
        """
        if not self.is_usable:
            raise NotSentError(f'{self.address}: connection is in use')
        self._head_bytes = 0
        headers = Headers()
        for name, text in outgoing.headers:
            headers.addRawHeader(name, text)
        pending = await_deferred(
            self.request(
                Request(
                    outgoing.method,
                    outgoing.uri,
                    headers,
                    BytesProducer(outgoing.body) if outgoing.body else None,
                    persistent=True,
                ),
            ),
        )
        try:
            # Unlike wait_for, this never loses a cancellation.
            async with asyncio.timeout(seconds):
                response: Any = await pending
        except TimeoutError as error:
            raise ConnectionLostError(
                f'{self.address}: no answer within {seconds:.3f} s',
            ) from error
        except Exception as error:
            # twisted.web wraps errors in exception types of its own.
            raise ConnectionLostError(f'{self.address}: {error!r}') from error
        return self._build_answer(response)

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            cast(Any, self.transport).abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        """Record whether the connection was closed without an error."""
        self.is_closed = bool(reason.check(ConnectionDone))
        self._on_lost(self)
        super().connectionLost(reason)

    def _bound_head(self, size: int) -> None:
        """Abort if no head is complete after more bytes than any may have.

        Interim answers count as well: a target may send them without end.
        """
        parser = self._parser
        if parser is None or parser.state in {BODY, DONE}:
            return
        self._head_bytes += size
        if self._head_bytes > _MAX_HEAD_BYTES:
            log_problem(
                'head_too_large', address=self.address, size=self._head_bytes
            )
            self.abort()

    def _build_answer(self, response: Any) -> Answer:
        headers = [
            (name, text)
            for name, texts in response.headers.getAllRawHeaders()
            for text in texts
        ]
        body = Body(self)
        response.deliverBody(body)
        length = None if response.length is UNKNOWN_LENGTH else response.length
        return Answer(response.code, headers, length, body)

    def _record_idle_timeout(self, headers: Headers) -> None:
        for text in headers.getRawHeaders(_KEEP_ALIVE, ()):
            timeout = _IDLE_TIMEOUT.search(text)
            if timeout is not None:
                self.idle_seconds = int(timeout.group(1)) * _IDLE_FRACTION


@dataclass(frozen=True, slots=True)
class CallBounds:
    """Limits of a short call.

    A pooled connection is reused if it was idle for at most
    ``idle_seconds``. ``answer_seconds`` bounds the wait for the headers and,
    separately, for the body; ``max_bytes`` is the maximum size of the body.
    """

    idle_seconds: float
    answer_seconds: float
    max_bytes: int


class UpstreamPool:
    """Pool of idle connections by address, each for one exchange at a time."""

    def __init__(self, connect_seconds: float) -> None:
        """Time out connecting after ``connect_seconds``."""
        self._connect_seconds = connect_seconds
        self._idle: dict[str, list[Upstream]] = {}
        self._buffers = AnswerBuffers(_MAX_BUFFERED_BYTES)
        self.opened = 0

    async def acquire(self, address: str, max_idle_seconds: float) -> Upstream:
        """Return a connection that no exchange uses.

        A pooled one is reused if it was idle for at most
        ``max_idle_seconds``. Raises ``NotSentError`` if the target cannot be
        reached.
        """
        idle = self._take_idle(address, max_idle_seconds)
        return idle or await self.open(address)

    async def call(
        self,
        address: str,
        outgoing: OutgoingRequest,
        bounds: CallBounds,
    ) -> tuple[Answer, bytes]:
        """Send a request and return the answer and its whole body.

        Raises ``NotSentError`` or ``ConnectionLostError``.
        """
        upstream = await self.acquire(address, bounds.idle_seconds)
        try:
            answer = await upstream.send(outgoing, bounds.answer_seconds)
        except (NotSentError, ConnectionLostError):
            upstream.abort()
            raise
        body = await answer.body.read_all(
            bounds.max_bytes,
            bounds.answer_seconds,
        )
        if not isinstance(body, bytes):
            upstream.abort()
            raise ConnectionLostError(f'{address}: the answer is cut')
        return answer, body

    async def open(self, address: str) -> Upstream:
        """Return a new connection; raise ``NotSentError`` without one."""
        upstream = Upstream(self._add_idle, self._remove_idle, self._buffers)
        upstream.address = address
        self.opened += 1
        try:
            await self._connect(upstream)
        except ConnectionRefusedError as error:
            upstream.abort()
            raise NotListeningError(f'{address}: {error!r}') from error
        except (TimeoutError, OSError) as error:
            upstream.abort()
            raise NotSentError(f'{address}: {error!r}') from error
        return upstream

    def close_idle(self) -> None:
        """Close the connections that no exchange uses."""
        for idle in tuple(self._idle.values()):
            for upstream in tuple(idle):
                upstream.abort()

    async def _connect(self, upstream: Upstream) -> None:
        """Connect; raise ``OSError`` also if the target closes at once."""
        host, _, port = upstream.address.rpartition(':')
        connecting = asyncio.get_running_loop().create_connection(
            lambda: LoopTransport(upstream),
            host,
            int(port),
        )
        # Unlike wait_for, this never loses a cancellation.
        async with asyncio.timeout(self._connect_seconds):
            transport, _ = await connecting
        _set_failure_detection(transport.get_extra_info('socket'))

    def _add_idle(self, upstream: Upstream) -> None:
        upstream.idle_since = asyncio.get_running_loop().time()
        idle = self._idle.setdefault(upstream.address, [])
        idle.append(upstream)
        if len(idle) > _MAX_IDLE_PER_TARGET:
            idle.pop(0).abort()

    def _remove_idle(self, upstream: Upstream) -> None:
        """Remove a connection that ended, so that the pool does not grow."""
        idle = self._idle.get(upstream.address, [])
        if upstream in idle:
            idle.remove(upstream)
        if not idle:
            self._idle.pop(upstream.address, None)

    def _take_idle(self, address: str, max_idle: float) -> Upstream | None:
        idle = self._idle.get(address, [])
        now = asyncio.get_running_loop().time()
        while idle:
            upstream = idle.pop()
            idle_for = now - upstream.idle_since
            if upstream.is_usable and idle_for < upstream.idle_seconds:
                if idle_for <= max_idle:
                    return upstream
                idle.append(upstream)
                return None
            upstream.abort()
        return None


def _set_failure_detection(connection: socket.socket | None) -> None:
    if connection is None:
        return
    for option, number in (
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MILLISECONDS),
        (socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, number)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
