"""Client that retries requests and resumes interrupted streams."""

import asyncio
from collections.abc import Mapping
from typing import Any
from uuid import uuid4

import msgspec

from chicoryshunt.caller.answer import Answer, parse_run_state
from chicoryshunt.caller.entries import EntryCache
from chicoryshunt.caller.once import call_once
from chicoryshunt.caller.stream import AnswerStream
from chicoryshunt.connection.caller_api import (
    GENERATION_HEADER,
    GRANT_HEADER,
    INCOMPLETE,
    RESUME_HEADER,
    RESUME_PATH,
    TEAM_HEADER,
    VERDICT_HEADER,
    VerdictBody,
)
from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
    read_body,
)
from chicoryshunt.exceptions import CallError
from chicoryshunt.types import Reason, RunState

_MAX_ATTEMPTS = 5
_MAX_RESUMES = 8
_MAX_RETRY_SECONDS = 10.0
_RESUME_DELAY_SECONDS = 0.1
_HEADERS_TIMEOUT_SECONDS = 300.0
_IDLE_TIMEOUT_SECONDS = 15.0
_EVENT_STREAM = 'text/event-stream'


class Caller:
    """Client that sends the requests of one team."""

    def __init__(self, seeds: list[str], team: str) -> None:
        """Discover the nodes from some of their addresses, host:port."""
        self._client = HttpClient(keeps_connections=False)
        self._entries = EntryCache(self._client, seeds)
        self._headers = {TEAM_HEADER: team}

    async def refresh(self) -> None:
        """Refresh the addresses; raise ``CallError`` if no node answers."""
        self._entries.expire()
        await self._entries.list_addresses()

    async def generate(self, model: str, body: Mapping[str, object]) -> Answer:
        """Request a generation and return the answer.

        The request is retried, unless it sets ``repeatable`` to false; then
        it runs at most once.
        """
        encoded = msgspec.json.encode(body)
        if not body.get('repeatable', True):
            return await self._generate_once(model, encoded)
        answer = Answer(RunState.not_run)
        for attempt in range(_MAX_ATTEMPTS):
            answer = await self._attempt(attempt, model, encoded)
            if not await self._may_retry(answer):
                break
        return answer

    async def call_service(self, service: str, path: str, key: str) -> Answer:
        """Call a service at most once under an idempotency key."""

        async def post(address: str, headers: Mapping[str, str]) -> Answer:
            answer: Answer = await self._post(
                f'http://{address}/v1/call/{service}/{path}',
                b'{}',
                headers,
            )
            return answer

        return await call_once(self._entries, post, key)

    async def _attempt(
        self,
        attempt: int,
        model: str,
        body: bytes,
    ) -> Answer:
        try:
            addresses = await self._entries.list_addresses()
        except CallError as error:
            return _build_failure(RunState.not_run, error)
        address = addresses[attempt % len(addresses)]
        return await self._generate_at(address, model, body)

    async def _generate_once(self, model: str, body: bytes) -> Answer:

        async def post(address: str, headers: Mapping[str, str]) -> Answer:
            return await self._generate_at(address, model, body, headers)

        return await call_once(self._entries, post, uuid4().hex)

    async def _may_retry(self, answer: Answer) -> bool:
        """Return whether to retry, after the delay that a refusal asks for."""
        if answer.verdict is not RunState.not_run:
            return False
        if answer.retry_after is None:
            return False
        if answer.retry_after > _MAX_RETRY_SECONDS:
            return False
        self._entries.expire()
        await asyncio.sleep(answer.retry_after)
        return True

    async def _generate_at(
        self,
        address: str,
        model: str,
        body: bytes,
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        url = f'http://{address}/v1/generate/{model}'
        response = await self._post(url, body, headers)
        if isinstance(response, Answer):
            return response
        stream = AnswerStream(
            _start_answer(response),
            _get_header(response, RESUME_HEADER),
        )
        await stream.read(response, _IDLE_TIMEOUT_SECONDS)
        return await self._finish(stream, address)

    async def _finish(self, stream: AnswerStream, address: str) -> Answer:
        """Resume until the end, on the same address first, then on others."""
        failures = 0
        while not stream.answer.ending and failures < _MAX_RESUMES:
            index = stream.next_index
            refusal = await self._resume(stream, address)
            if refusal is not None and refusal.retry_after is None:
                return _mark_incomplete(stream, refusal.reason, refusal.detail)
            failures = 0 if stream.next_index > index else failures + 1
            if failures:
                await asyncio.sleep(_RESUME_DELAY_SECONDS * failures)
                address = await self._choose_next_address(address)
        if stream.answer.ending:
            return stream.answer
        return _mark_incomplete(
            stream,
            Reason.target_unreachable.value,
            f'not resumed in {failures} attempts',
        )

    async def _resume(
        self,
        stream: AnswerStream,
        address: str,
    ) -> Answer | None:
        """Resume from the next index; return the refusal or failure, if any."""
        response = await self._post(
            f'http://{address}{RESUME_PATH}?from={stream.next_index}',
            headers={RESUME_HEADER: stream.token},
            seconds=_IDLE_TIMEOUT_SECONDS,
        )
        if isinstance(response, Answer):
            return response
        await stream.read(response, _IDLE_TIMEOUT_SECONDS)
        return None

    async def _post(
        self,
        url: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
        seconds: float = _HEADERS_TIMEOUT_SECONDS,
    ) -> Any:
        """Return a streaming response, or an ``Answer`` for anything else."""
        try:
            return await self._receive(url, body, headers or {}, seconds)
        except NotConnectedError as error:
            return _build_failure(RunState.not_run, error)
        except BrokenError as error:
            return _build_failure(RunState.may_have_run, error)

    async def _receive(
        self,
        url: str,
        body: bytes,
        headers: Mapping[str, str],
        seconds: float,
    ) -> Any:
        response = await self._client.request(
            'POST',
            url,
            body,
            {**headers, **self._headers},
            answer_seconds=seconds,
        )
        return response if _is_stream(response) else await _read_whole(response)

    async def _choose_next_address(self, address: str) -> str:
        self._entries.expire()
        try:
            addresses = await self._entries.list_addresses()
        except CallError:
            return address
        if address not in addresses:
            return addresses[0]
        return addresses[(addresses.index(address) + 1) % len(addresses)]


def _is_stream(response: Any) -> bool:
    return _get_header(response, 'content-type') == _EVENT_STREAM


def _get_header(response: Any, name: str) -> str:
    values: list[str] = response.headers.getRawHeaders(name, [''])
    return values[0]


def _start_answer(response: Any) -> Answer:
    return Answer(
        parse_run_state(_get_header(response, VERDICT_HEADER)),
        generation=_get_header(response, GENERATION_HEADER),
        status=response.code,
        grant=_get_header(response, GRANT_HEADER),
    )


async def _read_whole(response: Any) -> Answer:
    """Return the answer to a call, or a refusal with its reason."""
    answer = _start_answer(response)
    answer.body = await read_body(response, _IDLE_TIMEOUT_SECONDS)
    try:
        refusal = msgspec.json.decode(answer.body, type=VerdictBody)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return answer
    answer.reason = refusal.reason
    answer.detail = refusal.detail
    answer.retry_after = refusal.retry_after
    return answer


def _build_failure(run: RunState, error: Exception) -> Answer:
    return Answer(
        run,
        Reason.target_unreachable.value,
        str(error),
        retry_after=0,
    )


def _mark_incomplete(stream: AnswerStream, reason: str, detail: str) -> Answer:
    stream.answer.ending = INCOMPLETE
    stream.answer.reason = reason
    stream.answer.detail = detail
    return stream.answer
