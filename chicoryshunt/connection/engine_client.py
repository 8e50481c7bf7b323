"""Client that starts, resumes and cancels generations on an engine."""

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
_MAX_REFUSAL_BYTES = 65536


@dataclass(frozen=True, slots=True)
class EngineStream:
    """Generation and the response whose body carries its events."""

    generation: GenerationId
    response: Any


class ResumeFailure(Enum):
    """Reason why an engine did not resume a generation."""

    unknown = 'unknown'
    unreachable = 'unreachable'


class EngineClient:
    """Client of the engine at one address."""

    def __init__(self, client: HttpClient, address: str) -> None:
        """Send requests to the engine at ``address``, host:port."""
        self._client = client
        self._base_url = f'http://{address}'

    async def start(self, order: GenerateOrder) -> EngineStream | Verdict:
        """Start a generation.

        Return the verdict on whether it may have run if it did not start.
        """
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
        """Request the tokens of a generation from an index on."""
        url = f'{self._build_generation_url(generation)}?from={index}'
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
        """Cancel a generation; return whether the engine answered."""
        try:
            await self._client.read(
                'DELETE',
                self._build_generation_url(generation),
                answer_seconds=_RESUME_SECONDS,
            )
        except (NotConnectedError, BrokenError):
            return False
        return True

    async def _start(self, order: GenerateOrder) -> EngineStream | Verdict:
        response = await self._client.request(
            'POST',
            f'{self._base_url}/generate',
            msgspec.json.encode(order),
            answer_seconds=_ANSWER_SECONDS,
        )
        if response.code != http.OK:
            return await _read_refusal(response)
        generation = _get_generation(response)
        if not generation:
            drop_response(response)
            return build_uncertain(
                Reason.engine_garbled,
                f'answer without the header {GENERATION_HEADER}',
            )
        return EngineStream(GenerationId(generation), response)

    def _build_generation_url(self, generation: GenerationId) -> str:
        return f'{self._base_url}/generations/{generation}'


def _get_generation(response: Any) -> str:
    values = response.headers.getRawHeaders(GENERATION_HEADER, [''])
    return cast(str, values[0])


def drop_response(response: Any) -> None:
    """Close the connection of a response without reading its body."""
    response.deliverBody(_ConnectionCloser())


class _ConnectionCloser(Protocol):
    """Closes the connection instead of reading the body."""

    def connectionMade(self) -> None:
        """Close the connection."""
        cast(Any, self.transport).loseConnection()


async def _read_refusal(response: Any) -> Verdict:
    body = await read_body(response, _ANSWER_SECONDS, _MAX_REFUSAL_BYTES)
    refusal = decode_not_accepted(body)
    if refusal is None:
        return build_uncertain(
            Reason.engine_garbled,
            f'status {response.code} without "accepted": false',
        )
    return refuse(Reason.target_refused, refusal.reason)
