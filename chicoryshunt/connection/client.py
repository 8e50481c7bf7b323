"""HTTP client for targets and the platform, on twisted.web."""

from io import BytesIO
from typing import Any

from twisted.internet.error import (
    ConnectError,
    ConnectionDone,
    ConnectionLost,
)
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    ResponseFailed,
    readBody,
)
from twisted.web.http_headers import Headers

from chicoryshunt.connection.loop import await_deferred, get_reactor
from chicoryshunt.exceptions import ChicoryshuntError

_MAX_IDLE_PER_HOST = 64


class NotConnectedError(ChicoryshuntError):
    """No byte of the request was written."""


class BrokenError(ChicoryshuntError):
    """The connection broke after bytes of the request were written."""


class HttpClient:
    """Sends requests over kept connections."""

    def __init__(self, connect_seconds: float = 2) -> None:
        """Create the pool; it has no retries of its own."""
        reactor = get_reactor()
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = _MAX_IDLE_PER_HOST
        self._agent = Agent(
            reactor,
            connectTimeout=connect_seconds,
            pool=self._pool,
        )

    async def request(
        self,
        method: str,
        url: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Send a request and return the response without its body.

        Raises ``NotConnectedError`` or ``BrokenError``.
        """
        try:
            return await await_deferred(
                self._agent.request(
                    method.encode(),
                    url.encode(),
                    _build_headers(headers),
                    _build_body(body),
                ),
            )
        except ConnectError as error:
            raise NotConnectedError(f'{url}: {error}') from error
        except (ResponseFailed, ConnectionDone, ConnectionLost) as error:
            raise BrokenError(f'{url}: {error}') from error

    async def read(
        self,
        method: str,
        url: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Send a request and return its status and whole body."""
        response = await self.request(method, url, body, headers)
        try:
            return response.code, await await_deferred(readBody(response))
        except (ResponseFailed, ConnectionDone, ConnectionLost) as error:
            raise BrokenError(f'{url}: {error}') from error

    async def close(self) -> None:
        """Close the idle connections."""
        await await_deferred(self._pool.closeCachedConnections())


def _build_body(body: bytes) -> Any:
    return FileBodyProducer(BytesIO(body)) if body else None


def _build_headers(headers: dict[str, str] | None) -> Headers:
    return Headers(
        {name: [text] for name, text in (headers or {}).items()},
    )
