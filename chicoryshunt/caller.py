"""A caller that follows every rule of the interface."""

import asyncio
import sys
from dataclasses import dataclass, field
from typing import Any, cast

import msgspec
from absl import flags
from twisted.internet.protocol import Protocol

from chicoryshunt.connection.caller_api import Entries, GrantOffer
from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
)
from chicoryshunt.connection.loop import get_reactor
from chicoryshunt.connection.target_api import StreamEvent
from chicoryshunt.exceptions import CallError
from chicoryshunt.request.assembler import Assembler
from chicoryshunt.types import GenerationId

_EXIT_FAILED = 1


@dataclass(slots=True)
class Answer:
    """What a caller received."""

    verdict: str
    tokens: list[str] = field(default_factory=list)
    ending: str = ''
    detail: str = ''


class Caller:
    """Asks the system for addresses and sends requests to them."""

    def __init__(self, seeds: list[str], team: str) -> None:
        """Start from any addresses of nodes, host:port each."""
        self._addresses = list(seeds)
        self._team = team
        self._grant: GrantOffer | None = None
        self._client = HttpClient()

    async def refresh(self) -> None:
        """Ask for addresses; raise ``CallError`` when no node answers."""
        for address in tuple(self._addresses):
            try:
                _, body = await self._client.read(
                    'GET',
                    f'http://{address}/v1/entries',
                )
            except (NotConnectedError, BrokenError):
                continue
            entries = msgspec.json.decode(body, type=Entries)
            self._addresses = [entry.address for entry in entries.entries]
            self._grant = entries.grant
            return
        raise CallError(f'no node answers at {self._addresses}')

    async def generate(self, model: str, body: dict[str, object]) -> Answer:
        """Stream one generation; retry elsewhere only on ``not_run``."""
        answer = Answer('not_run')
        for address in self._addresses:
            answer = await self._generate_at(address, model, body)
            if answer.verdict != 'not_run':
                break
        return answer

    async def file(self, service: str, path: str, key: str) -> Answer:
        """Send one call that may not be repeated."""
        if self._grant is None:
            return Answer('not_run', detail='no grant was offered')
        status, body = await self._client.read(
            'POST',
            f'http://{self._grant.address}/v1/call/{service}/{path}',
            b'{}',
            {
                'idempotency-key': key,
                'x-team': self._team,
                'x-grant': self._grant.token,
            },
        )
        return Answer('ran', detail=f'{status} {body.decode()}')

    async def _generate_at(
        self,
        address: str,
        model: str,
        body: dict[str, object],
    ) -> Answer:
        try:
            response = await self._client.request(
                'POST',
                f'http://{address}/v1/generate/{model}',
                msgspec.json.encode(body),
                {'x-team': self._team},
            )
        except NotConnectedError as error:
            return Answer('not_run', detail=str(error))
        except BrokenError as error:
            return Answer('may_have_run', detail=str(error))
        verdict = response.headers.getRawHeaders('x-verdict', ['may_have_run'])
        answer = Answer(verdict[0])
        name = response.headers.getRawHeaders('x-generation', [''])[0]
        reader = _EventReader(answer, Assembler(GenerationId(name)))
        cast(Any, response).deliverBody(reader)
        await reader.done
        return answer


class _EventReader(Protocol):
    """Collects the events of one answer."""

    def __init__(self, answer: Answer, assembler: Assembler) -> None:
        self.done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._answer = answer
        self._assembler = assembler
        self._buffer = b''

    def dataReceived(self, data: bytes) -> None:
        frames = (self._buffer + data).split(b'\n\n')
        self._buffer = frames.pop()
        for frame in frames:
            self._take(frame)

    def connectionLost(self, reason: object = None) -> None:
        if self._buffer:
            self._answer.detail = self._buffer.decode('utf-8', 'replace')
        if not self.done.done():
            self.done.set_result(None)

    def _take(self, frame: bytes) -> None:
        if frame.startswith(b'event: end'):
            self._answer.ending = frame.split(b'data: ', 1)[1].decode()
            return
        event = msgspec.json.decode(frame[len(b'data: ') :], type=StreamEvent)
        self._assembler.accept(event)
        self._answer.tokens.extend(event.t)


CALL_FLAGS = flags.FlagValues()
flags.DEFINE_list('nodes', [], 'addresses, host:port', flag_values=CALL_FLAGS)
flags.DEFINE_string('team', '', 'team of the caller', flag_values=CALL_FLAGS)
flags.DEFINE_string('model', '', 'model to ask', flag_values=CALL_FLAGS)
flags.DEFINE_string('prompt', '', 'prompt', flag_values=CALL_FLAGS)
flags.DEFINE_string('service', '', 'service to call', flag_values=CALL_FLAGS)
flags.DEFINE_string('key', '', 'idempotency key', flag_values=CALL_FLAGS)


def run_call() -> int:
    """Run the ``call`` command."""
    reactor = get_reactor()
    results: list[int] = []

    async def run() -> None:
        try:
            results.append(await _call_once())
        finally:
            reactor.stop()

    reactor.callWhenRunning(lambda: asyncio.ensure_future(run()))
    reactor.run()
    return results[0] if results else _EXIT_FAILED


async def _call_once() -> int:
    caller = Caller(CALL_FLAGS.nodes, CALL_FLAGS.team)
    try:
        await caller.refresh()
    except CallError as error:
        print(f'chicoryshunt: {error}', file=sys.stderr)
        return _EXIT_FAILED
    if CALL_FLAGS.service:
        answer = await caller.file(CALL_FLAGS.service, 'file', CALL_FLAGS.key)
    else:
        answer = await caller.generate(
            CALL_FLAGS.model,
            {'prompt': CALL_FLAGS.prompt},
        )
    print(answer)
    return 0 if answer.ending or answer.verdict == 'ran' else _EXIT_FAILED
