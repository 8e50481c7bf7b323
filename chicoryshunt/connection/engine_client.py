"""Requests to one engine: start, resume and cancel generations."""

from dataclasses import dataclass
from enum import Enum
from typing import Any, cast

import msgspec
from twisted.internet.protocol import Protocol
from twisted.web import http

from chicoryshunt.connection.caller_api import GENERATION_HEADER
from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
    read_body,
)
from chicoryshunt.connection.target_api import (
    GenerateOrder,
    decode_not_accepted,
)
from chicoryshunt.types import GenerationId, Reason
from chicoryshunt.verdict import Verdict, build_uncertain, refuse

_ANSWER_SECONDS = 5.0
_RESUME_SECONDS = 2.0
_REFUSAL_BYTES = 65536


@dataclass(frozen=True, slots=True)
class EngineStream:
    """A generation whose events can be read from the response."""

    generation: GenerationId
    response: Any


class ResumeFailure(Enum):
    """Name why an engine did not resume a generation."""

    unknown = 'unknown'
    unreachable = 'unreachable'


class EngineClient:
    """One engine at one address."""

    def __init__(self, client: HttpClient, address: str) -> None:
        """Bind a client to the engine's host:port."""
        self._client = client
        self._base = f'http://{address}'

    async def start(self, order: GenerateOrder) -> EngineStream | Verdict:
        """Ask for a generation; the verdict says whether it may run."""
        try:
            return await self._start(order)
        except NotConnectedError as error:
            return refuse(Reason.target_unreachable, str(error))
        except BrokenError as error:
            return build_uncertain(Reason.engine_lost, str(error))

    async def resume(
        self,
        generation: GenerationId,
        index: int,
    ) -> EngineStream | ResumeFailure:
        """Ask for the rest of a generation from an index on."""
        url = f'{self._name(generation)}?from={index}'
        try:
            response = await self._client.request(
                'GET',
                url,
                answer_seconds=_RESUME_SECONDS,
            )
        except (NotConnectedError, BrokenError):
            return ResumeFailure.unreachable
        match response.code:
            case http.OK if _get_generation(response) in {'', generation}:
                return EngineStream(generation, response)
            case http.NOT_FOUND:
                drop_response(response)
                return ResumeFailure.unknown
            case _:
                drop_response(response)
                return ResumeFailure.unreachable

    async def cancel(self, generation: GenerationId) -> bool:
        """Stop a generation; say whether the engine answered."""
        try:
            await self._client.read(
                'DELETE',
                self._name(generation),
                answer_seconds=_RESUME_SECONDS,
            )
        except (NotConnectedError, BrokenError):
            return False
        return True

    async def _start(self, order: GenerateOrder) -> EngineStream | Verdict:
        response = await self._client.request(
            'POST',
            f'{self._base}/generate',
            msgspec.json.encode(order),
            answer_seconds=_ANSWER_SECONDS,
        )
        if response.code != http.OK:
            return await _read_refusal(response)
        name = _get_generation(response)
        if not name:
            drop_response(response)
            return build_uncertain(
                Reason.engine_garbled,
                f'answer without the header {GENERATION_HEADER}',
            )
        return EngineStream(GenerationId(name), response)

    def _name(self, generation: GenerationId) -> str:
        return f'{self._base}/generations/{generation}'


def _get_generation(response: Any) -> str:
    names = response.headers.getRawHeaders(GENERATION_HEADER, [''])
    return cast(str, names[0])


def drop_response(response: Any) -> None:
    """Close the connection of a response that nobody reads."""
    response.deliverBody(_Closer())


class _Closer(Protocol):
    """Closes the connection instead of reading."""

    def connectionMade(self) -> None:
        """Close at once."""
        cast(Any, self.transport).loseConnection()


async def _read_refusal(response: Any) -> Verdict:
    body = await read_body(response, _ANSWER_SECONDS, _REFUSAL_BYTES)
    refusal = decode_not_accepted(body)
    if refusal is None:
        return build_uncertain(
            Reason.engine_garbled,
            f'status {response.code} without "accepted": false',
        )
    return refuse(Reason.target_refused, refusal.reason)
