"""Targets that answer with fixed bytes."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lab.standins.loopback import take_host


class RawTarget:
    """Target that answers each request with fixed bytes."""

    def __init__(
        self,
        *answers: bytes,
        resets: bool = False,
        closes: bool = False,
    ) -> None:
        """Close or reset after the last answer, or close after each."""
        self.answers = list(answers)
        self.connections = 0
        self.requests: list[bytes] = []
        self._resets = resets
        self._closes = closes

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer requests until no answer is left, then close or reset."""
        self.connections += 1
        while self.answers:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                return
            self.requests.append(head)
            writer.write(self.answers.pop(0))
            await writer.drain()
            if self._closes:
                break
        if self._resets:
            connection = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()


@asynccontextmanager
async def serve_raw(target: RawTarget) -> AsyncIterator[str]:
    """Serve on a loopback address and yield host:port."""
    host = take_host()
    server = await asyncio.start_server(target.serve, host, 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f'{host}:{port}'
    finally:
        server.close()
