"""Callers that keep connections, and what each request came to."""

import asyncio
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from chicoryshunt.connection.upstream import (
    Answer,
    BodyEnd,
    ConnectionLostError,
    NotSentError,
    OutgoingRequest,
    Upstream,
    UpstreamPool,
)
from lab.soak.world import Node, World
from lab.standins.platform_files import HOST, KEY

_PAUSE_SECONDS = 0.02
_PATIENCE_SECONDS = 6.0
_CONNECT_SECONDS = 1.0
_IDLE_SECONDS = 8.0
_MOST_BYTES = 1 << 20
_REFUSALS = frozenset((408, 421, 429, 503))


class Ask(Enum):
    """What a request asks for."""

    read = 'read'
    filing = 'filing'
    stream = 'stream'


@dataclass(slots=True)
class Outcome:
    """One request as its caller saw it; status 0 is no answer at all."""

    request: str
    ask: Ask
    node: str
    path: str
    status: int = 0
    echoed: str = ''
    body: bytes = b''
    is_whole: bool = False

    @property
    def is_refused(self) -> bool:
        """Say whether the caller was told that the request did not run."""
        return self.status in _REFUSALS

    @property
    def is_served(self) -> bool:
        """Say whether the caller got a whole answer."""
        return self.status == 200 and self.is_whole


@dataclass(slots=True)
class Callers:
    """Sends requests through the proxies before the nodes, one by one."""

    world: World
    rng: Random
    outcomes: list[Outcome] = field(default_factory=list)
    is_stopping: bool = False
    pool: UpstreamPool = field(
        default_factory=lambda: UpstreamPool(_CONNECT_SECONDS),
    )
    _numbers: Iterator[int] = field(default_factory=itertools.count)

    async def keep_asking(self) -> None:
        """Ask a random node for a random thing, until told to stop."""
        while not self.is_stopping:
            node = self.rng.choice(self.world.nodes)
            await self.ask(node, self.rng.choice(tuple(Ask)))
            await asyncio.sleep(self.rng.random() * _PAUSE_SECONDS)

    async def ask(self, node: Node, ask: Ask) -> Outcome:
        """Send one request and keep what it came to."""
        number = next(self._numbers)
        path = f'/{ask.value}s/{number}'
        if ask is Ask.stream:
            path = f'/drafts/{number}'
        outcome = Outcome(f'q{number:08}', ask, node.name, path)
        self.outcomes.append(outcome)
        try:
            await self._exchange(node, outcome)
        except (NotSentError, ConnectionLostError):
            # The outcome without a status says all that the caller knows.
            return outcome
        return outcome

    async def _exchange(self, node: Node, outcome: Outcome) -> None:
        upstream = await self.pool.acquire(
            node.callers.address,
            _IDLE_SECONDS,
        )
        try:
            await _send(upstream, outcome)
        finally:
            if not outcome.is_whole:
                upstream.abort()


async def _send(upstream: Upstream, outcome: Outcome) -> None:
    answer = await upstream.send(build_request(outcome), _PATIENCE_SECONDS)
    await _note(outcome, answer)


async def _note(outcome: Outcome, answer: Answer) -> None:
    outcome.status = answer.status
    outcome.echoed = answer.get(b'X-Chicoryshunt-Request-Id').decode()
    if outcome.ask is Ask.stream and answer.is_success:
        await _read_stream(outcome, answer)
        return
    body = await answer.body.read_all(_MOST_BYTES, _PATIENCE_SECONDS)
    if isinstance(body, bytes):
        outcome.body = body
        outcome.is_whole = True


async def _read_stream(outcome: Outcome, answer: Answer) -> None:
    """Keep what arrived, also of a stream that does not end well."""
    while True:
        try:
            piece = await asyncio.wait_for(
                answer.body.read(),
                _PATIENCE_SECONDS,
            )
        except TimeoutError:
            return
        if isinstance(piece, BodyEnd):
            outcome.is_whole = piece is BodyEnd.whole
            return
        outcome.body += piece


def build_request(outcome: Outcome) -> OutgoingRequest:
    """Return the request as a caller writes it."""
    headers = [
        ('Host', HOST),
        ('Authorization', f'Bearer {KEY}'),
        ('X-Chicoryshunt-Request-Id', outcome.request),
        ('X-Chicoryshunt-Deadline-Ms', str(round(_PATIENCE_SECONDS * 1000))),
    ]
    if outcome.ask is Ask.stream:
        headers += [
            ('X-Chicoryshunt-Model', 'm'),
            ('X-Chicoryshunt-Token-Count', '1000,160'),
            ('X-Chicoryshunt-Prefix-Hash', 'ab:80,cd:920'),
        ]
    return OutgoingRequest(
        b'GET' if outcome.ask is Ask.read else b'POST',
        outcome.path.encode(),
        [(name.encode(), text.encode()) for name, text in headers],
        b'' if outcome.ask is Ask.read else b'the body',
    )
