"""HTTP server side: bounded bodies, one coroutine a request."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

from twisted.web import http, server
from twisted.web.resource import Resource

from chicoryshunt.connection.caller_api import encode_verdict
from chicoryshunt.connection.channels import TrackedChannel
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.events import log_problem
from chicoryshunt.types import Reason
from chicoryshunt.verdict import doubt, refuse

Handler = Callable[[Exchange], Awaitable[None]]

_REFUSAL = (
    b'HTTP/1.1 %d Refused\r\n'
    b'Content-Type: application/json\r\n'
    b'X-Verdict: not_run\r\n'
    b'Connection: close\r\n'
    b'Content-Length: %d\r\n\r\n%s'
)


class BoundedRequest(server.Request):
    """Request whose body has a size limit and a deadline."""

    _received = 0
    _deadline: asyncio.TimerHandle | None = None
    _rejected = False

    def gotLength(self, length: int | None) -> None:
        """Refuse a body that says it is too large."""
        if length is not None and length > self._site.body_bytes:
            super().gotLength(0)
            self._reject(Reason.body_too_large)
            return
        super().gotLength(length)
        self._deadline = asyncio.get_event_loop().call_later(
            self._site.body_seconds,
            self._reject,
            Reason.body_truncated,
        )

    def handleContentChunk(self, data: bytes) -> None:
        """Keep a chunk of the body while it is within bounds."""
        self._received += len(data)
        if self._received > self._site.body_bytes:
            self._reject(Reason.body_too_large)
        if not self._rejected:
            super().handleContentChunk(data)

    def requestReceived(
        self,
        command: bytes,
        path: bytes,
        version: bytes,
    ) -> None:
        """Handle the request now that its body is whole."""
        self._cancel_deadline()
        if not self._rejected:
            super().requestReceived(command, path, version)

    def connectionLost(self, reason: Any) -> None:
        """Drop the deadline with the connection."""
        self._cancel_deadline()
        super().connectionLost(reason)

    @property
    def _site(self) -> 'BoundedSite':
        return cast(BoundedSite, cast(Any, self.channel).site)

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()

    def _reject(self, reason: Reason) -> None:
        if self._rejected:
            return
        self._rejected = True
        self._cancel_deadline()
        verdict = refuse(reason, 'request body was not accepted')
        body = encode_verdict(verdict)
        channel = cast(Any, self.channel)
        channel.transport.write(_REFUSAL % (verdict.status, len(body), body))
        channel.loseConnection()


class BoundedSite(server.Site):
    """Site that bounds request bodies in bytes and seconds."""

    def __init__(
        self,
        handler: Handler,
        body_bytes: int,
        body_seconds: float,
    ) -> None:
        """Serve every request with the handler."""
        super().__init__(
            HandlerResource(handler),
            requestFactory=BoundedRequest,
        )
        cast(Any, self).protocol = TrackedChannel
        self.channels: set[TrackedChannel] = set()
        self.body_bytes = body_bytes
        self.body_seconds = body_seconds

    def log(self, request: http.Request) -> None:
        """Write no access log; events tell what happened."""


class HandlerResource(Resource):
    """Resource that gives every request to one coroutine."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, handler: Handler) -> None:
        """Serve with the given handler."""
        super().__init__()
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()

    def render(self, request: server.Request) -> int:
        """Start the handler."""
        task = asyncio.ensure_future(self._handle(Exchange(request)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return server.NOT_DONE_YET

    async def _handle(self, exchange: Exchange) -> None:
        try:
            await self._handler(exchange)
        except Exception as error:
            log_problem(
                'handler_failed',
                path=exchange.path,
                error=repr(error),
            )
            if exchange.is_started:
                exchange.abort()
            else:
                exchange.respond_verdict(
                    doubt(Reason.internal_error, repr(error)),
                )
