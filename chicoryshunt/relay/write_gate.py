"""Back pressure of a caller that reads more slowly than its engine writes."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from chicoryshunt.connection.exchange import Exchange


class WriteGate:
    """Producer of a caller's connection that its writers wait for."""

    def __init__(self) -> None:
        """Start open."""
        self._is_open = asyncio.Event()
        self._is_open.set()

    @property
    def is_open(self) -> bool:
        """Return whether more may be written."""
        return self._is_open.is_set()

    async def wait_open(self) -> float:
        """Wait until more may be written; return the seconds waited."""
        if self._is_open.is_set():
            return 0
        loop = asyncio.get_running_loop()
        started = loop.time()
        await self._is_open.wait()
        return loop.time() - started

    def pauseProducing(self) -> None:
        """Close, as the write buffer is full."""
        self._is_open.clear()

    def resumeProducing(self) -> None:
        """Open, as the write buffer has drained."""
        self._is_open.set()

    def stopProducing(self) -> None:
        """Open, as the caller disconnected and nothing is written to it."""
        self._is_open.set()


@contextmanager
def register_gate(exchange: Exchange, gate: WriteGate) -> Iterator[None]:
    """Let a caller's connection open and close a gate."""
    exchange.register_producer(gate)
    try:
        yield
    finally:
        exchange.unregister_producer()
