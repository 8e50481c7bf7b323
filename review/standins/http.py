"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field


@dataclass
class Request:
    """A request as a server received it."""

    method: str
    target: str
    headers: list
    body: bytes = b''

    @property
    def path(self):
        """Return the path without the query."""
        return self.target.partition('?')[0]

    def get(self, name, default=''):
        """Return the first value of a header."""
        for key, text in self.headers:
            if key.lower() == name.lower():
                return text
        return default


@dataclass
class Answer:
    """What a client received; ``end`` tells how it ended.

    ``end`` is ``whole``, ``cut`` (the channel ended first) or ``none``
    (no status line came).
    """

    status: int = 0
    headers: list = field(default_factory=list)
    body: bytes = b''
    end: str = 'none'

    def get(self, name, default=''):
        """Return the first value of a header."""
        for key, text in self.headers:
            if key.lower() == name.lower():
                return text
        return default


async def read_head(reader):
    """Return the first line and the headers, ``None`` at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = []
    for line in lines[1:]:
        name, _, text = line.partition(':')
        headers.append((name.strip(), text.strip()))
    return lines[0], headers


async def read_chunks(reader, on_piece):
    """Read a chunked body; return whether it ended with its last chunk."""
    while True:
        line = await reader.readline()
        if not line.endswith(b'\n'):
            return False
        size = int(line.split(b';')[0], 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return True
        on_piece(piece[:-2])


async def read_request(reader):
    """Return the next request of a channel, ``None`` at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(' ', 2)
    request = Request(method, target, head[1])
    try:
        if 'chunked' in request.get('transfer-encoding').lower():
            pieces = []
            await read_chunks(reader, pieces.append)
            request.body = b''.join(pieces)
        else:
            size = int(request.get('content-length') or 0)
            request.body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return request


def build_head(status, headers):
    """Return the head of an answer."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def build_answer(status, body=b'', headers=()):
    """Return a whole answer with a length."""
    length = ('Content-Length', str(len(body)))
    return build_head(status, [*headers, length]) + body


def build_chunk(piece):
    """Return one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(piece), piece)


def reset(writer):
    """Reset a channel."""
    channel = writer.get_extra_info('socket')
    if channel is not None:
        linger = struct.pack('ii', 1, 0)
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def ask(host, port, method, target, headers=(), body=b'', on_piece=None):
    """Send one request on a new channel and return the answer.

    ``on_piece(bytes)`` is called for each piece of the body as it arrives.
    """
    answer = Answer()
    try:
        reader, writer = await asyncio.open_connection(
            host, port, limit=1 << 20
        )
    except OSError:
        return answer
    pieces = []

    def keep(piece):
        pieces.append(piece)
        if on_piece is not None:
            on_piece(piece)

    try:
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        writer.write(head.encode('latin-1') + body)
        await _read_answer(reader, answer, keep)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        answer.end = 'cut' if answer.status else 'none'
    finally:
        answer.body = b''.join(pieces)
        writer.transport.abort()
    return answer


async def _read_answer(reader, answer, keep):
    head = await read_head(reader)
    if head is None:
        return
    answer.status = int(head[0].split(' ')[1])
    answer.headers = head[1]
    answer.end = 'cut'
    if 'chunked' in answer.get('transfer-encoding').lower():
        if await read_chunks(reader, keep):
            answer.end = 'whole'
        return
    length = answer.get('content-length')
    if length:
        keep(await reader.readexactly(int(length)))
    else:
        while piece := await reader.read(65536):
            keep(piece)
    answer.end = 'whole'
