"""Hedged starts of one request; the first with a token answers the caller."""

import asyncio

from chicoryshunt.request.flow_control import FlowControl
from chicoryshunt.request.sink import Sink
from chicoryshunt.types import GenerationId


class Race:
    """Gives the sink to the first start that has a token."""

    def __init__(self, sink: Sink) -> None:
        """Create a race without a winner."""
        self.sink = sink
        self.winner: Contender | None = None
        self._won = asyncio.Event()

    def enter(self) -> 'Contender':
        """Return the sink for one more start."""
        return Contender(self)

    def claim(self, contender: 'Contender') -> bool:
        """Return true if a start may answer; the first to claim wins."""
        if self.winner is None:
            self.winner = contender
            self._won.set()
        return self.winner is contender

    async def wait_won(self) -> None:
        """Return when a start has won."""
        await self._won.wait()


class Contender:
    """Sink of one start; it writes to the caller only if the start wins."""

    def __init__(self, race: Race) -> None:
        """Create the sink of a start in this race."""
        self.flow_control = FlowControl()
        self._race = race
        self._sink = race.sink
        self._generation = GenerationId('')
        self._token = ''
        self._is_announced = False

    @property
    def is_delivered(self) -> bool:
        """Return true if the caller may have tokens of this start."""
        return self._race.winner is self and self._sink.is_delivered

    async def wait_disconnected(self) -> None:
        """Wait until the caller disconnects or another start wins."""
        leaving = asyncio.ensure_future(self._sink.wait_disconnected())
        losing = asyncio.ensure_future(self._wait_lost())
        try:
            await asyncio.wait(
                (leaving, losing),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            leaving.cancel()
            losing.cancel()

    def may_announce(self, generation: GenerationId) -> bool:
        """Return true if this generation may follow what was sent."""
        return self._sink.may_announce(generation)

    def announce(self, generation: GenerationId, token: str) -> None:
        """Store the generation and token to announce if this start wins."""
        self._generation = generation
        self._token = token

    def claim(self) -> bool:
        """Claim the race; return true if this start has won."""
        if not self._race.claim(self):
            return False
        if not self._is_announced:
            self._is_announced = True
            self._sink.announce(
                self._generation, self._token, self.flow_control
            )
        return True

    def write(self, frames: bytes) -> None:
        """Write whole frames if this start wins; drop them otherwise."""
        if self._is_announced or self.claim():
            self._sink.write(frames)

    def abort(self) -> None:
        """Abort the caller's connection if this start has won."""
        if self._race.winner is self:
            self._sink.abort()

    async def _wait_lost(self) -> None:
        await self._race.wait_won()
        if self._race.winner is self:
            await asyncio.Event().wait()
