"""Strict parser of HTTP/1.1 answers; twisted.web's accepts more than that."""

import re
from http import HTTPStatus
from typing import Any, cast

from twisted.internet.address import IPv4Address, IPv6Address
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure
from twisted.web._newclient import (
    STATUS,
    HTTP11ClientProtocol,
    HTTPClientParser,
    Request,
)
from twisted.web.client import _HTTP11ClientFactory
from twisted.web.http import _ChunkedTransferDecoder
from twisted.web.http_headers import Headers

from chicoryshunt.events import log_problem
from chicoryshunt.exceptions import ChicoryshuntError

# No request asks for another protocol, so 101 answers none.
_STATUS_LINE = re.compile(
    rb'HTTP/1\.[01] (?!101)[1-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?'
)
_FIELD_LINE = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*"
)
_CHUNKED = b'chunked'
_NO_LENGTHS = (None, [b'0'])
_CARRIAGE_RETURN = b'\r'
_FIRST_VERSION = (b'HTTP', 1, 0)
# Bytes of an invalid line that are logged, and characters of any error.
_SHOWN_BYTES = 80
_SHOWN_CHARACTERS = 200


class InvalidAnswerError(ChicoryshuntError):
    """The answer is not one that HTTP/1.1 allows."""


def check_status_line(line: bytes) -> None:
    """Raise ``InvalidAnswerError`` unless a line is the first of an answer."""
    if not _STATUS_LINE.fullmatch(line):
        raise InvalidAnswerError(f'invalid status line {line[:_SHOWN_BYTES]!r}')


def check_field_line(line: bytes) -> None:
    """Raise ``InvalidAnswerError`` unless a line is one whole field."""
    if not _FIELD_LINE.fullmatch(line):
        raise InvalidAnswerError(f'invalid field line {line[:_SHOWN_BYTES]!r}')


def check_framing(
    status: int, version: tuple[bytes, int, int], headers: Headers
) -> None:
    """Raise ``InvalidAnswerError`` if a body may end in two places."""
    encodings = headers.getRawHeaders(b'Transfer-Encoding')
    lengths = headers.getRawHeaders(b'Content-Length')
    if status == HTTPStatus.NO_CONTENT and (
        encodings or lengths not in _NO_LENGTHS
    ):
        raise InvalidAnswerError('a body in an answer without content')
    if encodings is None:
        return
    if [encoding.lower() for encoding in encodings] != [_CHUNKED]:
        raise InvalidAnswerError('a transfer encoding other than one chunked')
    if lengths is not None or version == _FIRST_VERSION:
        raise InvalidAnswerError(
            'a transfer encoding with a length or in HTTP/1.0'
        )


def announces_close(version: tuple[bytes, int, int], headers: Headers) -> bool:
    """Return whether an answer is the last one on its connection."""
    options = {
        option.strip().lower()
        for text in headers.getRawHeaders(b'Connection', ())
        for option in text.split(b',')
    }
    if version == _FIRST_VERSION and b'keep-alive' not in options:
        return True
    return b'close' in options


class _ChunkDecoder(_ChunkedTransferDecoder):
    """Decoder of a body in chunks that checks the fields after the last."""

    def _dataReceived_TRAILER(self) -> bool:
        goes_on = super()._dataReceived_TRAILER()
        while self._trailerHeaders:
            check_field_line(bytes(self._trailerHeaders.pop()))
        return goes_on


class AnswerParser(HTTPClientParser):
    """Parser that refuses what ``HTTPClientParser`` corrects or ignores."""

    def lineReceived(self, line: bytes) -> None:
        """Check a line of the head before it is parsed."""
        if not line.endswith(_CARRIAGE_RETURN):
            raise InvalidAnswerError('a line without a carriage return')
        stripped = line[:-1]
        if self.state == STATUS:
            check_status_line(stripped)
        elif stripped:
            check_field_line(stripped)
        super().lineReceived(line)

    def allHeadersReceived(self) -> None:
        """Check how the body is delimited before it is received."""
        check_framing(
            self.response.code, self.response.version, self.connHeaders
        )
        self._transferDecoders = {_CHUNKED: _ChunkDecoder}
        super().allHeadersReceived()


class AnswerProtocol(HTTP11ClientProtocol):
    """HTTP/1.1 connection whose answers are parsed strictly."""

    address = ''

    def request(self, request: Request) -> Deferred[Any]:
        """Send a request and return its future answer."""
        answered = super().request(request)
        if self._parser is not None:
            # twisted.web does not let the class of the parser be chosen.
            self._parser.__class__ = AnswerParser
        return answered

    def _finishResponse(self, rest: bytes) -> None:
        """Disable reuse of a connection that is to close or sent more bytes."""
        parser = cast(Any, self._parser)
        if parser is not None and (
            rest or announces_close(parser.response.version, parser.connHeaders)
        ):
            cast(Any, self._currentRequest).persistent = False
        super()._finishResponse(rest)

    def _giveUp(self, reason: Failure) -> None:
        """Log why an answer cannot be parsed, and close the connection."""
        is_closed = reason.check(ConnectionDone, ConnectionLost)
        if self._parser is not None and not is_closed:
            log_problem(
                'invalid_answer',
                address=self.address,
                error=repr(reason.value)[:_SHOWN_CHARACTERS],
            )
        super()._giveUp(reason)


class AnswerProtocolFactory(_HTTP11ClientFactory):
    """Factory of the connections of an ``HTTPConnectionPool``."""

    def buildProtocol(self, addr: Any) -> AnswerProtocol:
        """Return the protocol of a new connection."""
        protocol = AnswerProtocol(self._quiescentCallback)
        if isinstance(addr, IPv4Address | IPv6Address):
            protocol.address = f'{addr.host}:{addr.port}'
        return protocol
