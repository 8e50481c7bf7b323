"""Exchange whose request and answer are relayed unchanged."""

from collections.abc import Iterable
from typing import cast

from twisted.web.http_headers import Headers

from chicoryshunt.connection.exchange import Exchange


class RelayedExchange(Exchange):
    """Exchange with access to all headers of the request and the answer."""

    @property
    def uri(self) -> bytes:
        """Return the path and the query as they were sent."""
        return cast(bytes, self._request.uri)

    @property
    def peer(self) -> str:
        """Return the address of the sender, as host:port."""
        address = self._request.getClientAddress()
        return f'{address.host}:{address.port}'

    def list_headers(self) -> list[tuple[bytes, bytes]]:
        """Return all headers of the request as they were sent."""
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
        """Set the status of the answer and replace all its headers."""
        self._request.setResponseCode(status)
        self._request.responseHeaders = Headers()
        for name, text in headers:
            self._request.responseHeaders.addRawHeader(name, text)
        if not self._request.channel.persistent:
            self.close_after()

    def close_after(self) -> None:
        """Close the connection after the answer."""
        self._request.responseHeaders.setRawHeaders(b'connection', [b'close'])
        self._request.channel.persistent = False
