"""Several starts of one request: the first with a token answers the caller."""

import asyncio

from chicoryshunt.request.flow_control import FlowControl
from chicoryshunt.request.sink import Sink
from chicoryshunt.types import GenerationId


class Race:
    """Gives the caller's side to the first start that has a token."""

    def __init__(self, sink: Sink) -> None:
        """Start without a winner."""
        self.sink = sink
        self.winner: Contender | None = None
        self._won = asyncio.Event()

    def enter(self) -> 'Contender':
        """Return the caller's side for one more start."""
        return Contender(self)

    def claim(self, contender: 'Contender') -> bool:
        """Say whether a start may answer; the first one that asks wins."""
        if self.winner is None:
            self.winner = contender
            self._won.set()
        return self.winner is contender

    async def wait_won(self) -> None:
        """Return when a start has won."""
        await self._won.wait()


class Contender:
    """The caller's side of one start; it writes once it has won."""

    def __init__(self, race: Race) -> None:
        """Enter a race."""
        self.flow_control = FlowControl()
        self._race = race
        self._sink = race.sink
        self._generation = GenerationId('')
        self._token = ''
        self._is_announced = False

    @property
    def is_delivered(self) -> bool:
        """Say whether the caller may have tokens of this start."""
        return self._race.winner is self and self._sink.is_delivered

    async def wait_disconnected(self) -> None:
        """Return when the caller is lost, or to another start."""
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
        """Say whether tokens of a generation may follow what was sent."""
        return self._sink.may_announce(generation)

    def announce(self, generation: GenerationId, token: str) -> None:
        """Name the generation, to be told when this start wins."""
        self._generation = generation
        self._token = token

    def claim(self) -> bool:
        """Win if nobody has, and say whether this start has won."""
        if not self._race.claim(self):
            return False
        if not self._is_announced:
            self._is_announced = True
            self._sink.announce(
                self._generation, self._token, self.flow_control
            )
        return True

    def write(self, frames: bytes) -> None:
        """Pass on whole frames if this start has won."""
        if self._is_announced or self.claim():
            self._sink.write(frames)

    def abort(self) -> None:
        """Cut the caller's connection if it is this start's."""
        if self._race.winner is self:
            self._sink.abort()

    async def _wait_lost(self) -> None:
        await self._race.wait_won()
        if self._race.winner is self:
            await asyncio.Event().wait()
