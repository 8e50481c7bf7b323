"""Tests of the HTTP client against faulty servers, over loopback."""

import asyncio
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest
from twisted.internet.defer import fail
from twisted.internet.protocol import Factory, Protocol
from twisted.web._newclient import RequestNotSent, RequestTransmissionFailed

from chicoryshunt.connection import client as client_module
from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
    SlowAnswerError,
    read_body,
)
from chicoryshunt.connection.engine_client import EngineClient, ResumeFailure
from chicoryshunt.types import GenerationId, Reason, RunState
from chicoryshunt.verdict import Verdict
from tests.reactor import listen, run_on_reactor
from tests.relay_fakes import ORDER

_OK = b'HTTP/1.1 200 OK\r\n'
# Too large to be written before the answer arrives.
_LARGE_BODY_BYTES = 1 << 24
_UNAVAILABLE = b'HTTP/1.1 503 Busy\r\nContent-Length: %d\r\n\r\n%s'


class Scripted(Factory):
    """Server that answers received bytes with fixed ones and may close."""

    def __init__(self, answer: bytes, *, closes: bool = True) -> None:
        self.answer = answer
        self.closes = closes
        self.connections = 0

    def buildProtocol(self, addr: object) -> Protocol:
        self.connections += 1
        return _ScriptedConnection(self)


class _ScriptedConnection(Protocol):
    def __init__(self, server: Scripted) -> None:
        self._server = server

    def dataReceived(self, data: bytes) -> None:
        transport = cast(Any, self.transport)
        transport.write(self._server.answer)
        if self._server.closes:
            transport.loseConnection()


def run_against(
    server: Scripted,
    act: Callable[[HttpClient, str], Awaitable[None]],
) -> None:
    async def check() -> None:
        async with listen(server) as address:
            await act(HttpClient(keeps_connections=False), address)

    run_on_reactor(check())


def test_refused_connection_wrote_nothing() -> None:
    async def check() -> None:
        async with listen(Scripted(b'')) as address:
            unused = address
        with pytest.raises(NotConnectedError):
            await HttpClient().request('GET', f'http://{unused}/')

    run_on_reactor(check())


@pytest.mark.parametrize(
    'answer',
    [b'', b'HTTP/1.1 2', b'nonsense\r\n\r\n', _OK],
)
def test_invalid_answer_is_an_error(answer: bytes) -> None:
    async def act(client: HttpClient, address: str) -> None:
        with pytest.raises(BrokenError):
            await client.request('GET', f'http://{address}/')

    run_against(Scripted(answer), act)


def test_early_invalid_answer_is_an_error() -> None:
    """Guards against a request without end: its answer came too early."""

    async def act(client: HttpClient, address: str) -> None:
        with pytest.raises(BrokenError) as raised:
            await client.request(
                'POST',
                f'http://{address}/',
                bytes(_LARGE_BODY_BYTES),
                answer_seconds=5,
            )
        assert not isinstance(raised.value, SlowAnswerError)

    run_against(Scripted(b'nonsense\r\n\r\n', closes=False), act)


@pytest.mark.parametrize('rest', [b'', b'HTTP/1.1 200 OK\r\n'])
def test_a_closing_connection_is_not_reused(rest: bytes) -> None:
    """Guards against an answer, or a part of one, to an earlier request."""
    line = b'' if rest else b'Connection: Close\r\n'
    closing = b'%s%sContent-Length: 0\r\n\r\n%s' % (_OK, line, rest)
    server = Scripted(closing, closes=False)

    async def check() -> None:
        async with listen(server) as address:
            client = HttpClient()
            for _ in range(3):
                await client.read('GET', f'http://{address}/')
            await client.close()

    run_on_reactor(check())
    assert server.connections == 3


def test_headers_have_a_timeout() -> None:
    async def act(client: HttpClient, address: str) -> None:
        with pytest.raises(SlowAnswerError):
            await client.request(
                'GET',
                f'http://{address}/',
                answer_seconds=0.02,
            )

    run_against(Scripted(b'', closes=False), act)


def test_body_has_a_timeout() -> None:
    async def act(client: HttpClient, address: str) -> None:
        with pytest.raises(SlowAnswerError):
            await client.read('GET', f'http://{address}/', answer_seconds=0.1)

    answer = b'%sContent-Length: 9\r\n\r\nhalf' % _OK
    run_against(Scripted(answer, closes=False), act)


@pytest.mark.parametrize('length', [b'4', b'2000'])
def test_body_above_the_limit_is_an_error(length: bytes) -> None:
    async def act(client: HttpClient, address: str) -> None:
        response = await client.request('GET', f'http://{address}/')
        with pytest.raises(BrokenError):
            await read_body(response, 5, max_bytes=3)

    answer = b'%sContent-Length: %s\r\n\r\nhalf' % (_OK, length)
    run_against(Scripted(answer), act)


def _build_refusal(body: bytes) -> bytes:
    return _UNAVAILABLE % (len(body), body)


@pytest.mark.parametrize(
    ('answer', 'run', 'reason'),
    [
        (
            _build_refusal(b'{"reason": "full", "accepted": false}'),
            RunState.not_run,
            Reason.target_refused,
        ),
        (
            _build_refusal(b'{"reason": "full"}'),
            RunState.may_have_run,
            Reason.engine_garbled,
        ),
        (
            _build_refusal(b'{"reason": "full", "accepted": true}'),
            RunState.may_have_run,
            Reason.engine_garbled,
        ),
        (
            _build_refusal(b'\xff'),
            RunState.may_have_run,
            Reason.engine_garbled,
        ),
        (b'', RunState.may_have_run, Reason.engine_lost),
        (
            b'%sContent-Length: 0\r\n\r\n' % _OK,
            RunState.may_have_run,
            Reason.engine_garbled,
        ),
    ],
)
def test_only_an_explicit_refusal_means_not_run(
    answer: bytes,
    run: RunState,
    reason: Reason,
) -> None:
    async def act(client: HttpClient, address: str) -> None:
        verdict = await EngineClient(client, address).start(ORDER)
        assert isinstance(verdict, Verdict)
        assert verdict.run is run
        assert verdict.reason is reason

    run_against(Scripted(answer), act)


def test_request_to_a_hanging_engine_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        'chicoryshunt.connection.engine_client._ANSWER_SECONDS',
        0.02,
    )

    async def act(client: HttpClient, address: str) -> None:
        verdict = await EngineClient(client, address).start(ORDER)
        assert isinstance(verdict, Verdict)
        assert verdict.run is RunState.may_have_run
        assert 'no answer within' in verdict.detail

    run_against(Scripted(b'', closes=False), act)


@pytest.mark.parametrize(
    ('answer', 'failure'),
    [
        (b'HTTP/1.1 404 No\r\n\r\n', ResumeFailure.unknown),
        (b'HTTP/1.1 500 No\r\n\r\n', ResumeFailure.unreachable),
        (b'%sX-Generation: g-2\r\n\r\n' % _OK, ResumeFailure.unreachable),
        (b'', ResumeFailure.unreachable),
    ],
)
def test_resume_is_of_the_same_generation(
    answer: bytes,
    failure: ResumeFailure,
) -> None:
    async def act(client: HttpClient, address: str) -> None:
        engine = EngineClient(client, address)
        assert await engine.resume(GenerationId('g-1'), 3) is failure

    run_against(Scripted(answer), act)


def test_ip_addresses_need_no_name_resolution(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def act(client: HttpClient, address: str) -> None:
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(client_module, 'HostnameEndpoint', None)
        assert loop.is_running()
        status, _ = await client.read('GET', f'http://{address}/')
        assert status == 200

    run_against(Scripted(b'%sContent-Length: 0\r\n\r\n' % _OK), act)


@pytest.mark.parametrize(
    ('failure', 'expected'),
    [
        (RequestNotSent(), NotConnectedError),
        (RequestTransmissionFailed([]), BrokenError),
    ],
)
def test_failure_while_sending_is_classified(
    failure: Exception,
    expected: type[Exception],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def act(client: HttpClient, address: str) -> None:
        monkeypatch.setattr(
            client,
            '_agent',
            SimpleNamespace(request=lambda *_: fail(failure)),
        )
        with pytest.raises(expected):
            await client.request('GET', f'http://{address}/')

    run_against(Scripted(_OK), act)
