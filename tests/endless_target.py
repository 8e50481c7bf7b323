"""A target whose answers never end."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from itertools import repeat

from lab.standins.loopback import take_host

_CHUNK_BYTES = 4096


class EndlessTarget:
    """Target that sends a start, and then the same bytes without end."""

    def __init__(self, start: bytes, repeated: bytes) -> None:
        """Answer every request with ``start`` and ``repeated`` bytes."""
        self._start = start
        self._repeated = repeated * max(_CHUNK_BYTES // len(repeated), 1)
        self.bytes_sent = 0
        self.is_closed = asyncio.Event()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send to one caller until it closes the connection."""
        await reader.readuntil(b'\r\n\r\n')
        try:
            for piece in self._list_pieces():
                writer.write(piece)
                await writer.drain()
                self.bytes_sent += len(piece)
                await asyncio.sleep(0)
        except ConnectionError:
            self.is_closed.set()
        finally:
            writer.transport.abort()

    def _list_pieces(self) -> Iterator[bytes]:
        yield self._start
        yield from repeat(self._repeated)


@asynccontextmanager
async def listen_endlessly(target: EndlessTarget) -> AsyncIterator[str]:
    """Serve on a loopback address and yield host:port."""
    server = await asyncio.start_server(target.serve, take_host(), 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f'{host}:{port}'
    finally:
        server.close()
