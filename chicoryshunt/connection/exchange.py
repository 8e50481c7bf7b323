"""HTTP request of a caller and the answer to it."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, cast

import msgspec
from twisted.web import server

from chicoryshunt.connection.caller_api import (
    RETRY_HEADER,
    VERDICT_HEADER,
    encode_verdict,
)
from chicoryshunt.types import RunState
from chicoryshunt.verdict import Verdict

JSON_TYPE = 'application/json'


class Exchange:
    """Typed wrapper of a request of twisted.web."""

    def __init__(self, request: server.Request) -> None:
        """Wrap a request whose body is complete."""
        self._request = cast(Any, request)
        self._disconnected = asyncio.Event()
        self.on_disconnect(self._disconnected.set)

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return cast(str, self._request.method.decode())

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return cast(str, self._request.path.decode('utf-8', 'replace'))

    @property
    def segments(self) -> tuple[str, ...]:
        """Return the segments of the path."""
        return tuple(self.path.split('/')[1:])

    @property
    def query(self) -> str:
        """Return the query as it was sent, empty when absent."""
        uri = cast(bytes, self._request.uri)
        return uri.partition(b'?')[2].decode('ascii', 'replace')

    @property
    def body(self) -> bytes:
        """Return the body of the request."""
        self._request.content.seek(0)
        return cast(bytes, self._request.content.read())

    @property
    def is_started(self) -> bool:
        """Return whether bytes of the answer were written."""
        return bool(self._request.startedWriting)

    @property
    def is_open(self) -> bool:
        """Return whether more of the answer can be written."""
        return not (self._disconnected.is_set() or self._request.finished)

    @property
    def is_disconnected(self) -> bool:
        """Return whether the caller disconnected before the answer ended."""
        return self._disconnected.is_set()

    async def wait_disconnected(self) -> None:
        """Wait until the caller disconnects before the answer ended."""
        await self._disconnected.wait()

    def get_header(self, name: str) -> str:
        """Return a request header, empty when absent."""
        return self._request.getHeader(name) or ''

    def get_query(self, name: str, default: str) -> str:
        """Return the first value of a query parameter."""
        values = self._request.args.get(name.encode())
        return values[0].decode() if values else default

    def set_header(self, name: str, text: str) -> None:
        """Set a header of the answer."""
        self._request.setHeader(name, text)

    def remove_header(self, name: str) -> None:
        """Remove a header of the answer."""
        self._request.responseHeaders.removeHeader(name)

    def set_verdict(self, run: RunState) -> None:
        """Set the verdict header."""
        self.set_header(VERDICT_HEADER, run.value)

    def write(self, chunk: bytes) -> None:
        """Write a part of the answer unless the caller disconnected."""
        if self.is_open:
            self._request.write(chunk)

    def finish(self) -> None:
        """End the answer."""
        if self.is_open:
            self._request.finish()

    def abort(self) -> None:
        """Abort the connection, so that the answer cannot seem complete.

        Without chunks, the end of the connection is the end of the answer
        unless the connection is reset.
        """
        if not self.is_open:
            return
        if self._request.chunked:
            self._request.transport.abortConnection()
        else:
            self._request.transport.resetConnection()

    def register_producer(self, producer: object) -> None:
        """Register a producer to be paused while the write buffer is full."""
        if self.is_open:
            self._request.registerProducer(producer, True)

    def unregister_producer(self) -> None:
        """Unregister the producer."""
        if self.is_open:
            self._request.unregisterProducer()

    def on_disconnect(self, notify: Callable[[], None]) -> None:
        """Call ``notify`` if the caller disconnects before the answer ends."""
        finished = self._request.notifyFinish()
        finished.addErrback(lambda _: notify())

    def respond(
        self,
        body: bytes,
        content_type: str = JSON_TYPE,
        status: int = HTTPStatus.OK,
    ) -> None:
        """Send a complete answer."""
        self._request.setResponseCode(status)
        self.set_header('content-type', content_type)
        self.set_header('content-length', str(len(body)))
        self.write(body)
        self.finish()

    def respond_json(
        self,
        message: object,
        status: int = HTTPStatus.OK,
    ) -> None:
        """Send a message as a JSON answer."""
        self.respond(msgspec.json.encode(message), JSON_TYPE, status)

    def respond_verdict(self, verdict: Verdict) -> None:
        """Send a verdict as header and JSON body."""
        self.set_verdict(verdict.run)
        if verdict.retry_after is not None:
            self.set_header(RETRY_HEADER, f'{verdict.retry_after:.3f}')
        self.respond(encode_verdict(verdict), JSON_TYPE, verdict.status)
