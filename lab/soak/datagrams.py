"""Datagrams between nodes: some are lost, late, or cut off."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any

from lab.standins.loopback import take_host
from lab.standins.platform_files import GOSSIP

# Longer than the time after which nodes ignore news of waiting requests.
_MOST_LATE_SECONDS = 1.5


@dataclass(slots=True)
class Datagrams:
    """Passes datagrams on to nodes; tells them apart by their hosts.

    ``loss`` and ``late`` are probabilities. The hosts in ``side`` and the
    others do not reach each other.
    """

    rng: Random
    loss: float = 0
    late: float = 0
    side: frozenset[str] = frozenset()
    counts: Counter[str] = field(default_factory=Counter)

    @asynccontextmanager
    async def listen(self, host: str) -> AsyncIterator[str]:
        """Listen for a node; yield the host that it has to announce."""
        announced = take_host()
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Wire(self, host), (announced, GOSSIP)
        )
        try:
            yield announced
        finally:
            transport.close()

    def pass_on(
        self, sender: str, receiver: str, send: Callable[[], None]
    ) -> None:
        """Send a datagram now, later or never."""
        is_cut = len(self.side & {sender, receiver}) == 1
        if is_cut:
            self.counts['cut'] += 1
        elif self.rng.random() < self.loss:
            self.counts['lost'] += 1
        elif self.rng.random() < self.late:
            self.counts['late'] += 1
            seconds = self.rng.uniform(0, _MOST_LATE_SECONDS)
            asyncio.get_running_loop().call_later(seconds, send)
        else:
            send()


class _Wire(asyncio.DatagramProtocol):
    """Takes the datagrams to one node."""

    def __init__(self, datagrams: Datagrams, host: str) -> None:
        self._datagrams = datagrams
        self._host = host
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on; nodes send from the host they listen on."""
        self._datagrams.pass_on(addr[0], self._host, lambda: self._send(data))

    def _send(self, datagram: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.sendto(datagram, (self._host, GOSSIP))
