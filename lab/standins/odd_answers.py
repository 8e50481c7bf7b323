"""HTTP server whose answers may have heads that no correct target sends."""

from enum import Enum
from typing import Any, cast

from chicoryshunt.connection.channel import BoundedChannel
from chicoryshunt.connection.web import BoundedSite

# Paths of orders, reports and health checks, whose answers stay correct.
_OWN_PATHS = (b'/chicoryshunt/', b'/health')
_WRONG_LENGTH = b'5'
_NO_STATUS = b'000'

_Fields = list[tuple[bytes, bytes]]


class Head(Enum):
    """How the heads of answers to requests are written.

    An ``unframed`` one is correct: the end of its connection ends its body.
    """

    correct = 'correct'
    unframed = 'unframed'
    no_status = 'no_status'
    blank_in_name = 'blank_in_name'
    control_in_name = 'control_in_name'
    two_lengths = 'two_lengths'


class OddChannel(BoundedChannel):
    """Connection that writes heads as its site says."""

    def writeHeaders(
        self, version: bytes, code: bytes, reason: bytes, headers: Any
    ) -> None:
        """Write the head of an answer."""
        fields: _Fields = [
            (name, text)
            for name, texts in headers.getAllRawHeaders()
            for text in texts
        ]
        request = self.requests[0]
        if not request.path.startswith(_OWN_PATHS):
            head = cast(OddSite, self.factory).head
            code = _NO_STATUS if head is Head.no_status else code
            fields = self._change_fields(head, request, fields)
        lines = [b'%s %s %s' % (version, code, reason)]
        lines += [b'%s: %s' % field for field in fields]
        cast(Any, self.transport).write(b'\r\n'.join((*lines, b'', b'')))

    def _change_fields(
        self, head: Head, request: Any, fields: _Fields
    ) -> _Fields:
        match head:
            case Head.unframed if request.chunked:
                request.chunked = 0
                self.persistent = False
                fields = _drop(fields, b'transfer-encoding')
                fields.append((b'Connection', b'close'))
            case Head.blank_in_name:
                fields.append((b'X Odd', b'1'))
            case Head.control_in_name:
                fields.append((b'X-\x01Odd', b'1'))
            case Head.two_lengths:
                request.chunked = 1
                fields = _drop(fields, b'transfer-encoding', b'content-length')
                fields.append((b'Transfer-Encoding', b'chunked'))
                fields.append((b'Content-Length', _WRONG_LENGTH))
        return fields


class OddSite(BoundedSite):
    """Site whose heads can be changed while it serves."""

    protocol = OddChannel
    head = Head.correct


def _drop(fields: _Fields, *names: bytes) -> _Fields:
    return [field for field in fields if field[0].lower() not in names]
