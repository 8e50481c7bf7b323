"""Event streams of the engine stand-in."""

import asyncio
from dataclasses import dataclass, field

import msgspec

from chicoryshunt.connection.caller_api import GENERATION_HEADER
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.target_api import EndEvent, TokenEvent
from lab.standins.batching import Ending, Job
from lab.standins.faults import FaultKind, Faults

_FAULT_POLL_SECONDS = 0.002
_MAX_BATCH_TOKENS = 256
_GARBLED_EVENT = b'data: {"g": 1, \xff\n\n'


@dataclass(slots=True)
class Generation:
    """Generation with all tokens it has produced, kept for resumed reads."""

    name: str
    job: Job
    tokens: list[str] = field(default_factory=list)
    ending: Ending | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, token: str) -> None:
        """Add a token and wake every reader."""
        self.tokens.append(token)
        self.wake()

    def end(self, ending: Ending) -> None:
        """Record the end and wake every reader."""
        if self.ending is None:
            self.ending = ending
        self.wake()

    def wake(self) -> None:
        """Wake every reader."""
        self.changed.set()
        self.changed = asyncio.Event()


class TokenStream:
    """Stream to one reader; a slow reader does not delay the others."""

    def __init__(
        self,
        exchange: Exchange,
        generation: Generation,
        start: int,
        faults: Faults,
    ) -> None:
        """Stream from the token with index ``start``."""
        self._exchange = exchange
        self._generation = generation
        self._index = start
        self._faults = faults
        self._ready = asyncio.Event()
        self._ready.set()

    async def serve(self) -> None:
        """Write until the generation ends or the reader disconnects."""
        self._open()
        while self._exchange.is_open:
            await self._ready.wait()
            changed = self._generation.changed
            if self._apply_fault():
                await asyncio.sleep(_FAULT_POLL_SECONDS)
            elif not self._write_next():
                await changed.wait()

    def pauseProducing(self) -> None:
        """Stop writing."""
        self._ready.clear()

    def resumeProducing(self) -> None:
        """Resume writing."""
        self._ready.set()

    def stopProducing(self) -> None:
        """Wake the loop, so that it sees the closed connection."""
        self._ready.set()

    def _open(self) -> None:
        self._exchange.set_header('content-type', 'text/event-stream')
        self._exchange.set_header(GENERATION_HEADER, self._generation.name)
        self._exchange.on_disconnect(self._generation.wake)
        self._exchange.on_disconnect(self._ready.set)
        self._exchange.register_producer(self)
        self._exchange.write(b': accepted\n\n')

    def _apply_fault(self) -> bool:
        if self._is_on(FaultKind.cut):
            self._exchange.abort()
            return True
        if self._is_on(FaultKind.garble):
            self._exchange.write(_GARBLED_EVENT)
            return True
        return self._is_on(FaultKind.stall)

    def _is_on(self, kind: FaultKind) -> bool:
        return (
            self._faults.is_on(kind)
            and self._index >= self._faults.after_tokens
        )

    def _write_next(self) -> bool:
        """Write new tokens or the end; return whether there were any."""
        tokens = self._generation.tokens
        if self._index < len(tokens):
            stop = self._index + _MAX_BATCH_TOKENS
            self._write_tokens(tuple(tokens[self._index : stop]))
            return True
        if self._generation.ending is None:
            return False
        self._finish(self._generation.ending)
        return True

    def _write_tokens(self, tokens: tuple[str, ...]) -> None:
        event = TokenEvent(self._generation.name, self._index, tokens)
        self._exchange.write(encode_event(event))
        self._index += len(tokens)

    def _finish(self, ending: Ending) -> None:
        event = EndEvent(self._generation.name, self._index, ending.value)
        self._exchange.write(encode_event(event))
        self._exchange.unregister_producer()
        self._exchange.finish()


def encode_event(event: TokenEvent | EndEvent) -> bytes:
    """Return a message encoded as a server-sent event."""
    return b'data: %s\n\n' % msgspec.json.encode(event)
