"""An exchange whose request and answer are passed on as they are."""

from collections.abc import Iterable
from typing import cast

from twisted.web.http_headers import Headers

from chicoryshunt.connection.exchange import Exchange


class RelayedExchange(Exchange):
    """Gives every header of the request, and sets those of the answer."""

    @property
    def uri(self) -> bytes:
        """Return path and query as they were sent."""
        return cast(bytes, self._request.uri)

    def list_headers(self) -> list[tuple[bytes, bytes]]:
        """Return every header of the request as it was sent."""
        return [
            (name, text)
            for name, texts in self._request.requestHeaders.getAllRawHeaders()
            for text in texts
        ]

    def begin(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
    ) -> None:
        """Set the status and exactly these headers of the answer."""
        self._request.setResponseCode(status)
        self._request.responseHeaders = Headers()
        for name, text in headers:
            self._request.responseHeaders.addRawHeader(name, text)
        if not self._request.channel.persistent:
            self.close_after()

    def close_after(self) -> None:
        """Let the caller open a new connection for its next request."""
        self._request.responseHeaders.setRawHeaders(b'connection', [b'close'])
        self._request.channel.persistent = False
