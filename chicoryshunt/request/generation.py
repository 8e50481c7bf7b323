"""One generation: from an engine's stream to its caller."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, cast

import msgspec
from twisted.internet.protocol import Protocol
from twisted.web import http

from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
)
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.target_api import GenerateOrder, StreamEvent
from chicoryshunt.events import log_event
from chicoryshunt.request.assembler import Arrival, Assembler
from chicoryshunt.request.order import GenerationRequest
from chicoryshunt.types import GenerationId, Reason, RunState
from chicoryshunt.verdict import Verdict, doubt, refuse

_EVENT_END = b'\n\n'
_DATA = b'data: '
_RESUME_ATTEMPTS = 5
_RESUME_PAUSE_SECONDS = 0.2
_STALL_SECONDS = 2.0


@dataclass(slots=True)
class Outcome:
    """How a generation ended; ``verdict`` is ``None`` when it is whole."""

    tokens: int
    verdict: Verdict | None


class Generation:
    """Streams one generation and resumes it when the link breaks."""

    def __init__(
        self,
        client: HttpClient,
        address: str,
        wanted: GenerationRequest,
        caller: Exchange,
    ) -> None:
        """Bind the generation to a target's address and its caller."""
        self._client = client
        self._base = f'http://{address}'
        self._wanted = wanted
        self._caller = caller
        self._assembler: Assembler | None = None

    async def run(self) -> Outcome:
        """Stream until the end, a loss, or the caller is gone."""
        response = await self._start()
        if isinstance(response, Verdict):
            return Outcome(0, response)
        self._open(response)
        await self._read(response)
        for _ in range(_RESUME_ATTEMPTS):
            if self._is_over():
                break
            await self._resume()
        return self._conclude()

    async def _start(self) -> Any:
        body = self._wanted.body
        order = GenerateOrder(
            request=self._wanted.request,
            model=self._wanted.model,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            prompt_tokens=body.prompt_tokens,
            priority=body.priority,
            prefix=body.prefix,
        )
        try:
            response = await self._client.request(
                'POST',
                f'{self._base}/generate',
                msgspec.json.encode(order),
            )
        except NotConnectedError as error:
            return refuse(Reason.target_unreachable, str(error))
        except BrokenError as error:
            return doubt(Reason.engine_lost, str(error))
        if response.code != http.OK:
            return refuse(Reason.target_refused, f'status {response.code}')
        return response

    def _open(self, response: Any) -> None:
        name = response.headers.getRawHeaders('x-generation', [''])[0]
        self._assembler = Assembler(GenerationId(name))
        self._caller.set_header('content-type', 'text/event-stream')
        self._caller.set_header('x-generation', name)
        self._caller.set_verdict(RunState.ran)

    async def _read(self, response: Any) -> None:
        assert self._assembler is not None
        reader = StreamReader(self._assembler, self._caller)
        response.deliverBody(reader)
        await reader.done

    def _is_over(self) -> bool:
        assert self._assembler is not None
        return bool(self._assembler.ending) or self._caller.is_gone

    async def _resume(self) -> None:
        assert self._assembler is not None
        await asyncio.sleep(_RESUME_PAUSE_SECONDS)
        url = (
            f'{self._base}/generations/{self._assembler.generation}'
            + f'?from={self._assembler.next_index}'
        )
        log_event(
            'generation_resumed',
            request=self._wanted.request,
            index=self._assembler.next_index,
        )
        with suppress(NotConnectedError, BrokenError):
            response = await self._client.request('GET', url)
            if response.code == http.OK:
                await self._read(response)

    def _conclude(self) -> Outcome:
        assert self._assembler is not None
        tokens = self._assembler.next_index
        if self._assembler.ending:
            return Outcome(tokens, None)
        if self._caller.is_gone:
            reason = Reason.cancelled
        else:
            reason = Reason.engine_lost
        return Outcome(
            tokens,
            Verdict(RunState.ran, reason, f'incomplete after {tokens} tokens'),
        )


class StreamReader(Protocol):
    """Checks events of an engine and passes fresh ones to the caller."""

    def __init__(self, assembler: Assembler, caller: Exchange) -> None:
        """Read into the given assembler."""
        self.done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._assembler = assembler
        self._caller = caller
        self._buffer = b''
        self._decode = msgspec.json.Decoder(StreamEvent).decode
        self._watchdog = self._watch()

    def connectionMade(self) -> None:
        """Hold back the engine while the caller is slow."""
        if self._caller.is_gone:
            self._finish()
            return
        self._caller.hold_back(self.transport)
        self._caller.on_gone(self._finish)

    def dataReceived(self, data: bytes) -> None:
        """Pass on the fresh events of a chunk."""
        self._watchdog.cancel()
        self._watchdog = self._watch()
        frames = (self._buffer + data).split(_EVENT_END)
        self._buffer = frames.pop()
        fresh = [frame for frame in frames if self._check(frame)]
        if fresh and not self._caller.is_gone:
            fresh.append(b'')
            self._caller.write(_EVENT_END.join(fresh))

    def connectionLost(self, reason: Any = None) -> None:
        """End the reading."""
        self._finish()

    def _check(self, frame: bytes) -> bool:
        if not frame.startswith(_DATA):
            return False
        arrival = self._assembler.accept(self._decode(frame[len(_DATA) :]))
        if arrival is Arrival.gap:
            self._finish()
        return arrival is Arrival.fresh

    def _watch(self) -> asyncio.TimerHandle:
        return asyncio.get_running_loop().call_later(
            _STALL_SECONDS,
            self._finish,
        )

    def _finish(self) -> None:
        self._watchdog.cancel()
        if self.done.done():
            return
        if not self._caller.is_gone:
            self._caller.release()
        self.done.set_result(None)
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()
