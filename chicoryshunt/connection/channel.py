"""HTTP connections of callers with limits on time, size and number."""

import asyncio
from http import HTTPStatus
from io import BytesIO
from typing import Any, cast

from twisted.web import http, server

from chicoryshunt.connection.bounds import ServerBounds, ServerUsage
from chicoryshunt.connection.caller_api import VERDICT_HEADER, encode_verdict
from chicoryshunt.types import Reason, Seconds
from chicoryshunt.verdict import Verdict, refuse

_RETRY_SECONDS = Seconds(1)
_LINGER_SECONDS = 2.0
_REFUSAL_RESPONSE = (
    b'HTTP/1.1 %d %s\r\n'
    b'Content-Type: application/json\r\n'
    b'%s: not_run\r\n'
    b'Connection: close\r\n'
    b'Content-Length: %d\r\n\r\n%s'
)
_CHUNK = b'%x\r\n%s\r\n'


class BoundedRequest(server.Request):
    """Request whose body is buffered in memory within the limits."""

    is_whole = False
    _received = 0
    _deadline: asyncio.TimerHandle | None = None
    _is_refused = False

    def gotLength(self, length: int | None) -> None:
        """Refuse a body whose declared length exceeds the limit."""
        self.content = BytesIO()
        if length is not None and length > self._bounds.body_bytes:
            self._refuse(Reason.body_too_large, f'{length} bytes')
        elif length != 0:
            self._deadline = asyncio.get_event_loop().call_later(
                self._bounds.body_seconds,
                self._refuse,
                Reason.body_truncated,
                f'not whole after {self._bounds.body_seconds} s',
            )

    def handleContentChunk(self, data: bytes) -> None:
        """Buffer a chunk of the body, or refuse the request."""
        if self._is_refused:
            return
        if self._received + len(data) > self._bounds.body_bytes:
            self._refuse(Reason.body_too_large, 'too many bytes')
        elif self._usage.reserve_body(len(data)):
            self._received += len(data)
            super().handleContentChunk(data)
        else:
            self._refuse(Reason.overloaded, 'too many bodies', _RETRY_SECONDS)

    def requestReceived(
        self,
        command: bytes,
        path: bytes,
        version: bytes,
    ) -> None:
        """Handle the request once its body is complete."""
        self._cancel_deadline()
        self.is_whole = True
        if not self._is_refused:
            super().requestReceived(command, path, version)

    def write(self, data: bytes) -> None:
        """Send a part of the answer; frame each chunk in a single write."""
        if self.chunked and self.startedWriting and data:
            cast(Any, self.channel).write(_CHUNK % (len(data), data))
        else:
            super().write(data)

    def finish(self) -> None:
        """End the answer and free the request body."""
        self.release_body()
        super().finish()

    def connectionLost(self, reason: Any) -> None:
        """Cancel the deadline and free the request body."""
        self._cancel_deadline()
        self.release_body()
        super().connectionLost(reason)

    def release_body(self) -> None:
        """Free the request body and release its reservation."""
        self._usage.release_body(self._received)
        self._received = 0
        self.content = BytesIO()

    @property
    def _usage(self) -> ServerUsage:
        return cast(ServerUsage, cast(Any, self.channel).usage)

    @property
    def _bounds(self) -> ServerBounds:
        return self._usage.bounds

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()

    def _refuse(
        self,
        reason: Reason,
        detail: str,
        retry_after: Seconds | None = None,
    ) -> None:
        self._is_refused = True
        self._cancel_deadline()
        self.release_body()
        cast(BoundedChannel, self.channel).refuse(
            refuse(reason, f'request body: {detail}', retry_after),
        )


class BoundedChannel(http.HTTPChannel):
    """Counted connection with a deadline for the headers of a request."""

    usage: ServerUsage
    _deadline: asyncio.TimerHandle | None = None
    _is_refused = False

    @property
    def is_open(self) -> bool:
        """Return whether the connection is made, and not closed."""
        transport = cast(Any, self.transport)
        return transport is not None and not transport.is_closing

    def connectionMade(self) -> None:
        """Count the connection; refuse or abort it above the limit.

        One that is made while the site closes is aborted.
        """
        super().connectionMade()
        if self.usage.is_closing or self.usage.is_at_hard_limit:
            self.abort()
        if not self.usage.add_connection():
            limit = self.usage.bounds.connections
            self.refuse(
                refuse(
                    Reason.too_many_connections,
                    f'more than {limit} connections',
                    _RETRY_SECONDS,
                ),
            )

    def dataReceived(self, data: bytes) -> None:
        """Start the deadline of the headers when the first bytes arrive."""
        if self._is_refused:
            return
        if self._deadline is None and not self.requests:
            self._deadline = asyncio.get_event_loop().call_later(
                self.usage.bounds.header_seconds,
                self._refuse_slow_headers,
            )
        super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:
        """Process input unless the connection was refused."""
        if not self._is_refused:
            super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:
        """Process input unless the connection was refused."""
        if not self._is_refused:
            super().rawDataReceived(data)

    def allHeadersReceived(self) -> None:
        """Cancel the deadline of the headers."""
        self._cancel_deadline()
        super().allHeadersReceived()

    def requestDone(self, request: http.Request) -> None:
        """Close the connection after an answer if the site closes."""
        if self.usage.is_closing:
            self.persistent = False
        super().requestDone(request)

    def connectionLost(self, reason: Any = None) -> None:
        """Stop counting the connection."""
        self._cancel_deadline()
        self.usage.remove_connection()
        super().connectionLost(reason)

    def abort(self) -> None:
        """Close at once, so that no answer can seem complete.

        One without chunks seems so unless the connection is reset.
        """
        transport = cast(Any, self.transport)
        if all(request.chunked for request in self.requests):
            transport.abortConnection()
        else:
            transport.resetConnection()

    def refuse(self, verdict: Verdict) -> None:
        """Send a refusal without a parsed request and close."""
        self._is_refused = True
        self._cancel_deadline()
        body = encode_verdict(verdict)
        status = HTTPStatus(verdict.status)
        cast(Any, self.transport).write(
            _REFUSAL_RESPONSE
            % (
                status,
                status.phrase.encode(),
                VERDICT_HEADER.encode(),
                len(body),
                body,
            ),
        )
        self._linger()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a line that is too long."""
        self._respondToBadRequestAndDisconnect()

    def _respondToBadRequestAndDisconnect(self) -> None:
        """Refuse unparsable input with a verdict.

        The response of twisted.web itself carries no verdict.
        """
        if not self._is_refused:
            self.refuse(refuse(Reason.bad_request, 'no HTTP request'))

    def _refuse_slow_headers(self) -> None:
        seconds = self.usage.bounds.header_seconds
        self.refuse(
            refuse(
                Reason.request_timeout,
                f'headers not whole after {seconds} s',
            ),
        )

    def _linger(self) -> None:
        """Close for writing and keep reading, so that the answer arrives."""
        transport = cast(Any, self.transport)
        self.setTimeout(None)
        transport.loseWriteConnection()
        self._deadline = asyncio.get_event_loop().call_later(
            _LINGER_SECONDS,
            transport.abortConnection,
        )

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None
