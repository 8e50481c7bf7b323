"""Test that a caller that does not read delays only its own stream."""

import asyncio
from collections.abc import Iterable
from typing import Any, cast

import pytest
from twisted.internet.protocol import Protocol

from chicoryshunt.connection.client import HttpClient
from chicoryshunt.connection.event_stream import EventDecoder
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.loop_transport import LoopTransport
from chicoryshunt.connection.target_api import StreamEvent
from chicoryshunt.connection.web import BoundedSite
from chicoryshunt.settings import parse_settings
from tests.builders import (
    build_caller_api,
    build_settings_text,
    build_state,
    put_in_force,
)
from tests.reactor import listen, run_on_reactor
from tests.relay_fakes import frame_end, frame_tokens
from tests.test_caller import SERVER_BOUNDS, build_config

_TOKENS_PER_EVENT = 1000
_EVENTS = 2000
_LENGTH = _TOKENS_PER_EVENT * _EVENTS
_MAX_BUFFERED_BYTES = 1 << 20
_IDLE_TURNS = 1000


class FastStream:
    """Generation written as fast as back pressure allows."""

    def __init__(self, exchange: Exchange) -> None:
        self.written = 0
        self.is_ready = asyncio.Event()
        self.is_ready.set()
        self._exchange = exchange

    async def serve(self) -> None:
        """Write the whole generation."""
        self._exchange.set_header('x-generation', 'g-1')
        self._exchange.register_producer(self)
        for event in range(_EVENTS):
            await self.is_ready.wait()
            await asyncio.sleep(0)
            start = event * _TOKENS_PER_EVENT
            self._write(frame_tokens(start, start + _TOKENS_PER_EVENT))
        self._write(frame_end(_LENGTH))
        self._exchange.unregister_producer()
        self._exchange.finish()

    def pauseProducing(self) -> None:
        """Pause writing."""
        self.is_ready.clear()

    def resumeProducing(self) -> None:
        """Resume writing."""
        self.is_ready.set()

    def stopProducing(self) -> None:
        """Resume writing, so that ``serve`` ends."""
        self.is_ready.set()

    def _write(self, frame: bytes) -> None:
        self.written += len(frame)
        self._exchange.write(frame)


class FastEngine:
    """Engine whose generations exceed all buffers."""

    def __init__(self) -> None:
        self.streams: list[FastStream] = []

    async def handle(self, exchange: Exchange) -> None:
        """Stream a generation."""
        stream = FastStream(exchange)
        self.streams.append(stream)
        await stream.serve()


class TokenCounter(Protocol):
    """Caller that checks and counts tokens; its transport can pause."""

    def __init__(self) -> None:
        self.done = asyncio.get_running_loop().create_future()
        self.tokens = 0
        self._partial = b''
        self._decoder = EventDecoder()

    def dataReceived(self, data: bytes) -> None:
        frames = (self._partial + data).split(b'\n\n')
        self._partial = frames.pop()
        for frame in frames:
            if frame.startswith(b'event: end'):
                self.done.set_result(None)
                continue
            event = self._decoder.decode(frame)
            assert isinstance(event, StreamEvent)
            assert event.i == self.tokens
            self.tokens += len(event.t)


async def open_stream(address: str) -> tuple[TokenCounter, Any]:
    response = await HttpClient(keeps_connections=False).request(
        'POST',
        f'http://{address}/v1/generate/m',
        b'{"prompt": "p"}',
        {'x-team': 'team'},
    )
    counter = TokenCounter()
    response.deliverBody(counter)
    return counter, cast(Any, counter.transport)


@pytest.fixture
def transports(
    monkeypatch: pytest.MonkeyPatch,
) -> list[asyncio.Transport]:
    """Return a list that collects every transport that a test opens."""
    opened: list[asyncio.Transport] = []
    connection_made = LoopTransport.connection_made

    def record(self: LoopTransport, transport: Any) -> None:
        opened.append(transport)
        connection_made(self, transport)

    monkeypatch.setattr(LoopTransport, 'connection_made', record)
    return opened


def test_slow_caller_pauses_only_its_own_stream(
    transports: list[asyncio.Transport],
) -> None:
    async def check() -> None:
        engine = FastEngine()
        async with listen(BoundedSite(engine.handle, SERVER_BOUNDS)) as target:
            state = build_state(parse_settings(build_settings_text(), 'a'))
            put_in_force(state, build_config([target]))
            node = BoundedSite(build_caller_api(state).handle, SERVER_BOUNDS)
            async with listen(node) as address:
                slow, slow_transport = await open_stream(address)
                slow_transport.pauseProducing()
                await wait_until_paused(engine.streams[0])
                assert (
                    0 < count_buffered_bytes(transports) < _MAX_BUFFERED_BYTES
                )
                fast, _ = await open_stream(address)
                await fast.done
                assert fast.tokens == _LENGTH
                assert not slow.done.done()
                assert (
                    0 < count_buffered_bytes(transports) < _MAX_BUFFERED_BYTES
                )
                slow_transport.resumeProducing()
                await slow.done
                assert slow.tokens == _LENGTH

    run_on_reactor(check())


def count_buffered_bytes(transports: Iterable[asyncio.Transport]) -> int:
    """Return the bytes in the write buffers of all transports."""
    return sum(transport.get_write_buffer_size() for transport in transports)


async def wait_until_paused(stream: FastStream) -> None:
    """Wait until the stream is paused and nothing more is written."""
    written = -1
    while stream.is_ready.is_set() or written < stream.written:
        written = stream.written
        for _ in range(_IDLE_TURNS):
            await asyncio.sleep(0)
