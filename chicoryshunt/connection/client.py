"""HTTP client for targets, nodes and the platform, on twisted.web."""

import asyncio
from collections.abc import Mapping
from typing import Any, cast

from twisted.internet.endpoints import HostnameEndpoint
from twisted.internet.error import (
    ConnectError,
    ConnectionDone,
    ConnectionLost,
)
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.protocol import Protocol
from twisted.web._newclient import RequestNotSent, RequestTransmissionFailed
from twisted.web.client import (
    URI,
    Agent,
    HTTPConnectionPool,
    ResponseDone,
    ResponseFailed,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from chicoryshunt.address import is_ip_number
from chicoryshunt.connection.answer_parser import AnswerProtocolFactory
from chicoryshunt.connection.loop import await_deferred, get_reactor
from chicoryshunt.connection.loop_transport import LoopClientEndpoint
from chicoryshunt.connection.request_body import BytesProducer
from chicoryshunt.exceptions import ChicoryshuntError

_BROKEN_CONNECTION_ERRORS = (
    RequestTransmissionFailed,
    ResponseFailed,
    ConnectionDone,
    ConnectionLost,
)
_MAX_IDLE_CONNECTIONS_PER_HOST = 64
_MAX_BODY_BYTES = 16777216


class NotConnectedError(ChicoryshuntError):
    """The connection failed before any byte of the request was written."""


class BrokenError(ChicoryshuntError):
    """The connection failed after bytes of the request were written."""


class SlowAnswerError(BrokenError):
    """The headers or the body did not arrive in time."""


class HttpClient:
    """Sends requests over a pool of connections.

    With ``keeps_connections`` idle connections are reused. The server may
    have closed an idle connection, which is only detected after bytes of the
    next request were written.
    """

    def __init__(
        self,
        connect_seconds: float = 2,
        *,
        keeps_connections: bool = True,
    ) -> None:
        """Create a pool that never retries a request by itself."""
        reactor = get_reactor()
        self._pool = HTTPConnectionPool(
            reactor,
            persistent=keeps_connections,
        )
        self._pool.retryAutomatically = False
        self._pool._factory = AnswerProtocolFactory
        self._pool.maxPersistentPerHost = _MAX_IDLE_CONNECTIONS_PER_HOST
        self._agent = Agent.usingEndpointFactory(
            reactor,
            _EndpointFactory(connect_seconds),
            self._pool,
        )

    async def request(
        self,
        method: str,
        url: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
        *,
        answer_seconds: float | None = None,
    ) -> Any:
        """Send a request and return the response without its body.

        ``answer_seconds`` bounds the wait for the response's headers.
        Raises ``NotConnectedError`` or ``BrokenError``, of which
        ``SlowAnswerError`` is a subclass.
        """
        pending = await_deferred(
            self._agent.request(
                method.encode(),
                url.encode(),
                _build_headers(headers),
                _build_body(body),
            ),
        )
        try:
            return await asyncio.wait_for(pending, answer_seconds)
        except (ConnectError, RequestNotSent) as error:
            raise NotConnectedError(f'{url}: {error}') from error
        except _BROKEN_CONNECTION_ERRORS as error:
            raise BrokenError(f'{url}: {error}') from error
        except TimeoutError as error:
            raise SlowAnswerError(
                f'{url}: no answer within {answer_seconds} s',
            ) from error

    async def read(
        self,
        method: str,
        url: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
        *,
        answer_seconds: float | None = None,
    ) -> tuple[int, bytes]:
        """Send a request and return the status and the body of the response.

        ``answer_seconds`` bounds the wait for the headers and, separately,
        the wait for the body. Raises like ``request``.
        """
        response = await self.request(
            method,
            url,
            body,
            headers,
            answer_seconds=answer_seconds,
        )
        return response.code, await read_body(response, answer_seconds)

    async def close(self) -> None:
        """Close the idle connections."""
        await await_deferred(self._pool.closeCachedConnections())


async def read_body(
    response: Any,
    seconds: float | None = None,
    max_bytes: int = _MAX_BODY_BYTES,
) -> bytes:
    """Return the body of a response; raise ``BrokenError``.

    A body that exceeds ``max_bytes`` or is cut short is an error, as is one
    that is incomplete after ``seconds``.
    """
    reader = _BodyReader(max_bytes)
    response.deliverBody(reader)
    try:
        return await asyncio.wait_for(reader.body, seconds)
    except TimeoutError as error:
        reader.close()
        raise SlowAnswerError(f'body not whole after {seconds} s') from error


class _BodyReader(Protocol):
    """Collects a body up to a maximum size."""

    def __init__(self, max_bytes: int) -> None:
        self.body: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        self._max_bytes = max_bytes
        self._received = bytearray()

    def close(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Append a part of the body."""
        self._received += data
        if len(self._received) > self._max_bytes:
            self._fail(f'body is larger than {self._max_bytes} bytes')
            self._received.clear()
            self.close()

    def connectionLost(self, reason: Any = None) -> None:
        """Return the body if its end was marked, by length or chunks."""
        if reason is None or reason.check(ResponseDone):
            if not self.body.done():
                self.body.set_result(bytes(self._received))
            return
        self._fail(str(reason.value))

    def _fail(self, detail: str) -> None:
        if not self.body.done():
            self.body.set_exception(BrokenError(detail))


@implementer(IAgentEndpointFactory)
class _EndpointFactory:
    """Connects to IP addresses without a thread for name resolution."""

    def __init__(self, connect_seconds: float) -> None:
        self._connect_seconds = connect_seconds

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:
        """Return the endpoint of a URL's host and port."""
        host = uri.host.decode().strip('[]')
        if is_ip_number(host):
            return cast(
                IStreamClientEndpoint,
                LoopClientEndpoint(host, uri.port, self._connect_seconds),
            )
        return cast(
            IStreamClientEndpoint,
            HostnameEndpoint(
                get_reactor(), host, uri.port, self._connect_seconds
            ),
        )


def _build_body(body: bytes) -> Any:
    return BytesProducer(body) if body else None


def _build_headers(headers: Mapping[str, str] | None) -> Headers:
    return Headers(
        {name: [text] for name, text in (headers or {}).items()},
    )
