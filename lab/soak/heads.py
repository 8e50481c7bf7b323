"""Heads of answers that no caller may get."""

import re

_STATUS_LINE = re.compile(rb'HTTP/1\.1 [1-5]\d\d .*')
_FIELD_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f]*")
_LENGTHS = frozenset((b'content-length', b'transfer-encoding'))


def find_odd_line(received: bytes) -> bytes:
    """Return what is wrong with a head, empty if nothing is."""
    status_line, *fields = received.partition(b'\r\n\r\n')[0].split(b'\r\n')
    if not _STATUS_LINE.fullmatch(status_line):
        return status_line
    names = {field.partition(b':')[0].lower() for field in fields}
    if names >= _LENGTHS:
        return b'two lengths'
    odd = (one for one in fields if not _FIELD_LINE.fullmatch(one))
    return next(odd, b'')
