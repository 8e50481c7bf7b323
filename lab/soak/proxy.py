"""A loopback proxy that delays, resets and silences connections."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from enum import Enum

from chicoryshunt.nodes.links import parse_address
from lab.soak.heads import find_odd_line
from lab.standins.loopback import take_host

_ANSWER_START = b'HTTP/'
_NO_LINGER = struct.pack('ii', 1, 0)
_PIECE_BYTES = 65536
_DELAY_SECONDS = 0.15
# A silenced connection looks again this often whether it may go on.
_POLL_SECONDS = 0.05


class Trouble(Enum):
    """What a proxy does to the bytes that pass it."""

    none = 'none'
    delay = 'delay'
    reset = 'reset'
    silence = 'silence'
    one_way = 'one_way'


class Proxy:
    """Passes bytes on to one address; new connections suffer as well."""

    def __init__(self, destination: str) -> None:
        """Pass everything on."""
        self.trouble = Trouble.none
        self.address = ''
        self.destination = parse_address(destination)
        # What was wrong with heads that came back.
        self.odd_lines: set[bytes] = set()
        self._open: set[asyncio.StreamWriter] = set()

    def disturb(self, trouble: Trouble) -> None:
        """Treat connections like this from now on."""
        self.trouble = trouble
        if trouble is Trouble.reset:
            for writer in tuple(self._open):
                _abort(writer)

    @asynccontextmanager
    async def listen(self) -> AsyncIterator[None]:
        """Listen on an address of its own, told by ``address``."""
        server = await asyncio.start_server(self._serve, take_host(), 0)
        name, port = server.sockets[0].getsockname()
        self.address = f'{name}:{port}'
        try:
            yield
        finally:
            server.close()
            for writer in tuple(self._open):
                _abort(writer)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            upstream = await asyncio.open_connection(*self.destination)
        except OSError:
            _abort(writer)
            return
        await self._join(reader, writer, *upstream)

    async def _join(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        far_reader: asyncio.StreamReader,
        far_writer: asyncio.StreamWriter,
    ) -> None:
        forth = asyncio.ensure_future(
            self._pass_on(reader, far_writer, is_back=False),
        )
        back = asyncio.ensure_future(
            self._pass_on(far_reader, writer, is_back=True),
        )
        with self._keep(writer, far_writer):
            await asyncio.wait(
                (forth, back),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if forth.done() and not back.done() and forth.result():
                # A side that only ended its requests may still be answered.
                await back
        forth.cancel()
        back.cancel()

    @contextmanager
    def _keep(self, *writers: asyncio.StreamWriter) -> Iterator[None]:
        """Count connections as open, and close them at the end."""
        self._open.update(writers)
        try:
            yield
        finally:
            self._open.difference_update(writers)
            for writer in writers:
                writer.close()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_back: bool,
    ) -> bool:
        """Pass bytes on until their end; say whether that was in order."""
        try:
            await self._copy(reader, writer, is_back=is_back)
        except OSError:
            _abort(writer)
            return False
        return True

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_back: bool,
    ) -> None:
        while piece := await reader.read(_PIECE_BYTES):
            if is_back and piece.startswith(_ANSWER_START):
                self.odd_lines.add(find_odd_line(piece))
            await self._suffer(is_back=is_back)
            writer.write(piece)
            await writer.drain()
        writer.write_eof()

    async def _suffer(self, *, is_back: bool) -> None:
        if self.trouble is Trouble.delay:
            await asyncio.sleep(_DELAY_SECONDS)
        while self._is_held(is_back=is_back):
            await asyncio.sleep(_POLL_SECONDS)

    def _is_held(self, *, is_back: bool) -> bool:
        match self.trouble:
            case Trouble.silence:
                return True
            case Trouble.one_way:
                return is_back
            case _:
                return False


def _abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; without the option it may seem to end in order."""
    connection = writer.get_extra_info('socket')
    if connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()
