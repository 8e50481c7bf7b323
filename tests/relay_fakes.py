"""Fakes of an engine and a caller for relay tests on a virtual clock."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, cast

import msgspec

from chicoryshunt.connection.engine_client import EngineStream, ResumeFailure
from chicoryshunt.connection.event_stream import EventDecoder
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.target_api import (
    EndEvent,
    GenerateOrder,
    StreamEvent,
    TokenEvent,
)
from chicoryshunt.invariants import InvariantChecker
from chicoryshunt.metrics import Metrics
from chicoryshunt.request.cancels import CancelRetrier
from chicoryshunt.request.generation import (
    Generation,
    GenerationContext,
    RelayLimits,
)
from chicoryshunt.request.sink import BufferBudget, Sink
from chicoryshunt.request.stall import StallWatch
from chicoryshunt.request.takeovers import Takeovers
from chicoryshunt.types import GenerationId
from chicoryshunt.verdict import Verdict

OWN = GenerationId('g-1')
ORDER = GenerateOrder('r-1', 'm', 'p', max_tokens=100)
EVENT_BYTES = 4096
GRACE_SECONDS = 5.0


class Act(Enum):
    """Event on an engine connection other than bytes or a pause."""

    cut = 'cut'
    silence = 'silence'


Step = bytes | Act | float


def frame_tokens(start: int, stop: int, name: str = OWN) -> bytes:
    """Return the event of tokens ``start`` to ``stop``."""
    tokens = tuple(f't{index}' for index in range(start, stop))
    return _frame(TokenEvent(name, start, tokens))


def frame_end(count: int, ending: str = 'stop') -> bytes:
    """Return the event that ends a generation."""
    return _frame(EndEvent(OWN, count, ending))


def _frame(event: TokenEvent | EndEvent) -> bytes:
    return b'data: %s\n\n' % msgspec.json.encode(event)


class FakeTransport:
    """Records whether an engine connection is paused and closed."""

    def __init__(self) -> None:
        self.is_paused = False
        self.is_closed = False

    def pauseProducing(self) -> None:
        """Record a pause."""
        self.is_paused = True

    def resumeProducing(self) -> None:
        """Clear the pause."""
        self.is_paused = False

    def loseConnection(self) -> None:
        """Record the close."""
        self.is_closed = True


@dataclass
class FakeResponse:
    """Response that plays bytes, pauses in seconds and acts in order."""

    steps: tuple[Step, ...]
    transport: FakeTransport = field(default_factory=FakeTransport)

    def deliverBody(self, reader: Any) -> None:
        """Start to play the steps to a reader."""
        reader.makeConnection(self.transport)
        self._player = asyncio.ensure_future(self._play(reader))

    async def _play(self, reader: Any) -> None:
        for step in self.steps:
            if self.transport.is_closed:
                return
            match step:
                case bytes(data):
                    reader.dataReceived(data)
                case float(seconds):
                    await asyncio.sleep(seconds)
                case Act.cut:
                    reader.connectionLost()
                case Act.silence:
                    return
            await asyncio.sleep(0)


class FakeEngine:
    """Engine that plays one script for each connection, in order."""

    def __init__(self, *scripts: tuple[Step, ...] | ResumeFailure) -> None:
        self.scripts = list(scripts)
        self.responses: list[FakeResponse] = []
        self.resumed_from: list[int] = []
        self.cancelled: list[GenerationId] = []

    async def start(self, order: GenerateOrder) -> EngineStream | Verdict:
        """Play the first script."""
        stream = self._play_next()
        assert isinstance(stream, EngineStream)
        return stream

    async def resume(
        self,
        generation: GenerationId,
        index: int,
    ) -> EngineStream | ResumeFailure:
        """Play the next script."""
        self.resumed_from.append(index)
        return self._play_next()

    async def cancel(self, generation: GenerationId) -> bool:
        """Record the cancellation."""
        self.cancelled.append(generation)
        return True

    def get_transport(self, number: int) -> FakeTransport:
        """Return one connection of the engine."""
        return self.responses[number].transport

    def _play_next(self) -> EngineStream | ResumeFailure:
        if not self.scripts:
            return ResumeFailure.unreachable
        script = self.scripts.pop(0)
        if isinstance(script, ResumeFailure):
            return script
        self.responses.append(FakeResponse(script))
        return EngineStream(OWN, self.responses[-1])


class FakeExchange:
    """Exchange that collects what is written to the caller."""

    def __init__(self) -> None:
        self.written = b''
        self.headers: dict[str, str] = {}
        self.verdict: Verdict | None = None
        self.producer: Any = None
        self.is_finished = False
        self._disconnected = asyncio.Event()

    @property
    def is_started(self) -> bool:
        """Return true if anything was written."""
        return bool(self.written)

    @property
    def is_disconnected(self) -> bool:
        """Return true if the caller has disconnected."""
        return self._disconnected.is_set()

    @property
    def tokens(self) -> tuple[str, ...]:
        """Return the written tokens; check that they are in sequence."""
        tokens: list[str] = []
        for frame in self.written.split(b'\n\n'):
            event = EventDecoder().decode(frame)
            if isinstance(event, StreamEvent):
                assert event.g == OWN
                assert event.i == len(tokens)
                tokens.extend(event.t)
        return tuple(tokens)

    async def wait_disconnected(self) -> None:
        """Wait until the caller disconnects."""
        await self._disconnected.wait()

    def disconnect(self) -> None:
        """Disconnect the caller."""
        self._disconnected.set()

    def set_header(self, name: str, text: str) -> None:
        """Record a header."""
        self.headers[name] = text

    def remove_header(self, name: str) -> None:
        """Remove a header."""
        self.headers.pop(name, None)

    def set_verdict(self, run: object) -> None:
        """Ignore the verdict's header."""

    def register_producer(self, producer: Any) -> None:
        """Register a producer; check that there is no other."""
        assert self.producer is None
        self.producer = producer

    def unregister_producer(self) -> None:
        """Remove the producer."""
        self.producer = None

    def write(self, chunk: bytes) -> None:
        """Append a chunk to what was written."""
        self.written += chunk

    def finish(self) -> None:
        """Mark the answer as finished."""
        self.is_finished = True

    def abort(self) -> None:
        """Disconnect the caller."""
        self._disconnected.set()

    def respond_verdict(self, verdict: Verdict) -> None:
        """Record the verdict."""
        self.verdict = verdict


@dataclass
class Rig:
    """One generation between a fake engine and a fake caller."""

    engine: FakeEngine
    budget: BufferBudget | None = None
    caller: FakeExchange = field(default_factory=FakeExchange)
    takeovers: Takeovers = field(default_factory=Takeovers)
    invariants: InvariantChecker = field(
        default_factory=lambda: InvariantChecker(Metrics()),
    )

    def __post_init__(self) -> None:
        """Build the generation."""
        self.sink = Sink(cast(Exchange, self.caller), self.budget)
        context = GenerationContext(
            StallWatch(),
            self.takeovers,
            CancelRetrier(),
            RelayLimits(EVENT_BYTES, GRACE_SECONDS),
            self.invariants,
        )
        self.generation = Generation(
            context,
            self.engine,
            self.sink,
            lambda name: f'token of {name}',
        )
