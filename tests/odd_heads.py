"""Parts of answers that no sound server sends, and sound ones beside them."""

STATUS_LINE = b'HTTP/1.1 200 OK'
NO_CONTENT = b'HTTP/1.1 204 No Content'
LENGTH = b'Content-Length: 4'
CHUNKED = b'Transfer-Encoding: chunked'
BODY = b'body'
CHUNKS = b'4\r\nbody\r\n0\r\n'

ODD_STATUS_LINES = (
    b'HTTP/1.1 000 OK',
    b'HTTP/1.1 000',
    b'HTTP/1.1 7 OK',
    b'HTTP/1.1 099 OK',
    b'HTTP/1.1 600 OK',
    b'HTTP/1.1 999 OK',
    b'HTTP/1.1 0200 OK',
    b'HTTP/1.1 2000 OK',
    b'HTTP/1.1 +200 OK',
    b'HTTP/1.1 -200 OK',
    b'HTTP/1.1 2_00 OK',
    b'HTTP/1.1 \t200 OK',
    b'HTTP/1.1 200\t OK',
    b'HTTP/1.1 200\x0b OK',
    b'HTTP/1.1 200 O\x00K',
    b'HTTP/1.1 200 O\rK',
    b'HTTP/1.1 200 O\x7fK',
    b'HTTP/9.9 200 OK',
    b'HTTP/2.0 200 OK',
    b'HTTP/1.01 200 OK',
    b'ODD/1.1 200 OK',
    b'http/1.1 200 OK',
    # The protocol is switched to another one.
    b'HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK',
)
ODD_FIELD_LINES = (
    b'X Odd: 1',
    b'X-Odd : 1',
    b'X-Odd\t: 1',
    b'X\tOdd: 1',
    b'X\x01Odd: 1',
    b'X\x00Odd: 1',
    b'X\rOdd: 1',
    b'X\x7fOdd: 1',
    b'X\xe9Odd: 1',
    b'X(Odd): 1',
    b': 1',
    b'X-Odd',
    b'X-Odd: \x00',
    b'X-Odd: a\rb',
    b'X-Odd: a\x1bb',
    b'X-Odd: a\x7fb',
    # The line ends without a carriage return.
    b'X-Odd: a\nX-Other: b',
    # The value goes on in the next line.
    b'X-Odd: a\r\n b',
    b'X-Odd: a\r\n\tb',
)
# Each replaces the length of an answer, or its framing by chunks.
ODD_LENGTHS = (
    b'Content-Length : 4',
    b'Content Length: 4',
    b'Content-Length: +4',
    b'Content-Length: -4',
    b'Content-Length: 4 4',
    b'Content-Length: 0x4',
    b'Content-Length: 4_0',
    b'Content-Length:',
    b'Content-Length: 3\r\nContent-Length: 4',
    b'Content-Length: 4\r\nTransfer-Encoding: chunked',
)
ODD_ENCODINGS = (
    b'Transfer-Encoding : chunked',
    b'Transfer-Encoding: identity',
    b'Transfer-Encoding: gzip, chunked',
    b'Transfer-Encoding: chunked, chunked',
    b'Transfer-Encoding: chunked\r\nTransfer-Encoding: identity',
    b'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked',
    b'Transfer-Encoding: chunked\r\nContent-Length: 4',
    b'Transfer-Encoding:',
)
ODD_CHUNKS = (
    b'+4\r\nbody\r\n0\r\n\r\n',
    b'-4\r\nbody\r\n0\r\n\r\n',
    b'0x4\r\nbody\r\n0\r\n\r\n',
    b' 4\r\nbody\r\n0\r\n\r\n',
    b'\r\nbody\r\n0\r\n\r\n',
    b'4;\x00\r\nbody\r\n0\r\n\r\n',
    b'3\r\nbody\r\n0\r\n\r\n',
    b'4\nbody\r\n0\r\n\r\n',
)
SOUND_STATUS_LINES = (
    STATUS_LINE,
    b'HTTP/1.1 200 ',
    b'HTTP/1.1 200',
    b'HTTP/1.0 200 OK',
    b'HTTP/1.1 200 Good\t\xe9 day',
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK',
    b'HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK',
)
SOUND_FIELD_LINES = (
    b'X-A:',
    b'X-A: ',
    b'X-A:a',
    b'X-A: \t a\tb \t',
    b'X-A: caf\xe9 \xff',
    b"!#$%&'*+-.^_`|~09: a",
    b'X-A: a: b',
    b'x-a: a\r\nX-A: b',
)


def build_head(
    *lines: bytes, request: str = 'r1', status_line: bytes = STATUS_LINE
) -> bytes:
    """Return the head of a target's answer with some more lines."""
    named = (
        status_line,
        b'X-Chicoryshunt-Request-Id: %s' % request.encode(),
        b'X-Chicoryshunt-Instance-Id: p0',
        b'X-Chicoryshunt-Response-Seal: seal',
        *lines,
        b'',
        b'',
    )
    return b'\r\n'.join(named)


def list_odd_answers() -> dict[bytes, bytes]:
    """Return answers to the request r1, each by its odd part."""
    plain = build_head(LENGTH) + BODY
    chunks = b'%s\r\n' % CHUNKS
    odd = {
        line: build_head(LENGTH, status_line=line) + BODY
        for line in ODD_STATUS_LINES
    }
    for line in ODD_FIELD_LINES:
        odd[line] = build_head(line, LENGTH) + BODY
        odd[b'%s (trailer)' % line] = b''.join(
            (build_head(CHUNKED), CHUNKS, line, b'\r\n\r\n')
        )
    odd[b'(first)'] = plain.replace(b'OK\r\n', b'OK\r\n folded: 1\r\n', 1)
    for line in ODD_LENGTHS:
        odd[line] = build_head(line) + BODY
    for line in ODD_ENCODINGS:
        odd[line] = build_head(line) + chunks
    for body in ODD_CHUNKS:
        odd[body] = build_head(CHUNKED) + body
    for line, body in ((LENGTH, BODY), (CHUNKED, chunks)):
        head = build_head(line, status_line=NO_CONTENT)
        odd[b'%s (204)' % line] = head + body
    odd[b'(chunks in 1.0)'] = (
        build_head(CHUNKED, status_line=b'HTTP/1.0 200 OK') + chunks
    )
    return odd


def list_sound_answers() -> dict[bytes, bytes]:
    """Return answers to the request r1, each by its special part."""
    sound = {
        line: build_head(LENGTH, status_line=line) + BODY
        for line in SOUND_STATUS_LINES
    }
    for line in SOUND_FIELD_LINES:
        sound[line] = build_head(line, LENGTH) + BODY
        sound[b'%s (trailer)' % line] = b''.join(
            (build_head(CHUNKED), CHUNKS, line, b'\r\n\r\n')
        )
    sound[b'(twice)'] = build_head(LENGTH, LENGTH) + BODY
    sound[b'(capitals)'] = b''.join(
        (build_head(b'TRANSFER-ENCODING: Chunked'), CHUNKS, b'\r\n')
    )
    return sound
