"""Tests of the calls between nodes, over loopback."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import pytest
from grpc import StatusCode, aio

from chicoryshunt.clock import ManualClock
from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.links import Links
from chicoryshunt.nodes.pause import PauseDetector
from chicoryshunt.nodes.peers import (
    Method,
    PeerClient,
    PeerError,
    PeerServer,
)
from chicoryshunt.nodes.seal import Purpose, Seal
from chicoryshunt.types import DataCentreId, Incarnation, VmId
from lab.standins.loopback import take_host
from tests.builders import FLEET_KEY

_SENDER = VmId('a')
_RECEIVER = VmId('b')
_SECONDS = 5.0
_RETRY_SECONDS = 0.05


class Question(msgspec.Struct, frozen=True, array_like=True):
    """Request of the test method."""

    text: str


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """Response of the test method."""

    sender: VmId
    text: str


ECHO = Method('echo', Question, Reply)
UNKNOWN = Method('unknown', Question, Reply)
MISTYPED = Method('echo', int, Reply)


def build_call_seal(vm: VmId, key: str = FLEET_KEY) -> Seal:
    return Seal(bytes.fromhex(key), vm, Incarnation(1), Purpose.call)


class Pair:
    """A server, and a client with its address."""

    def __init__(self, key: str) -> None:
        self.metrics = Metrics()
        self.server_links = Links()
        self.links = Links()
        self.handled: list[str] = []
        self.server = PeerServer(
            build_call_seal(_RECEIVER),
            self.server_links,
            PauseDetector(ManualClock()),
            self.metrics,
        )
        self.server.register(ECHO, self.echo)
        self.client = PeerClient(build_call_seal(_SENDER, key), self.links)
        self.address = ''

    async def echo(self, sender: VmId, question: Question) -> Reply:
        self.handled.append(question.text)
        if question.text == 'fail':
            raise ValueError('told to fail')
        if question.text == 'hang':
            await asyncio.Future()
        return Reply(sender, question.text)

    async def ask(
        self,
        text: str = 'x',
        method: Method[Any, Any] = ECHO,
        seconds: float = _SECONDS,
    ) -> Any:
        request = Question(text) if method.request is Question else 5
        return await self.client.call(_RECEIVER, method, request, seconds)

    def count_dropped(self, reason: str) -> float:
        return self.metrics.get('calls_dropped', reason=reason)


@asynccontextmanager
async def connect(key: str = FLEET_KEY) -> AsyncIterator[Pair]:
    """Yield a connected pair, on a free loopback port."""
    pair = Pair(key)
    host = take_host()
    listening = await pair.server.start(f'{host}:0')
    pair.address = f'{host}:{pair.server.port}'
    pair.links.update_addresses(
        [
            PublishedVm(
                _RECEIVER,
                DataCentreId('luzon-a'),
                '127.0.0.1:1',
                pair.address,
                '127.0.0.1:3',
            ),
        ],
    )
    try:
        yield pair
    finally:
        await pair.client.close()
        await listening.stop(None)


def test_answer_holds_the_verified_sender() -> None:
    async def check() -> None:
        async with connect() as pair:
            assert await pair.ask() == Reply(_SENDER, 'x')

    asyncio.run(check())


@pytest.mark.parametrize(
    ('text', 'method', 'status'),
    [
        ('fail', ECHO, 'UNKNOWN'),
        ('x', UNKNOWN, 'UNIMPLEMENTED'),
        ('x', MISTYPED, 'INVALID_ARGUMENT'),
    ],
)
def test_failed_call_may_have_arrived(
    text: str,
    method: Method[Any, Any],
    status: str,
) -> None:
    async def check() -> None:
        async with connect() as pair:
            with pytest.raises(PeerError, match=status) as caught:
                await pair.ask(text, method)
            assert caught.value.sent

    asyncio.run(check())


async def _wait_connected(pair: Pair) -> None:
    """Call until the channel is connected.

    gRPC gives up a handshake after its shortest reconnect backoff of 0.1 s,
    and a busy machine may take longer.
    """
    async with asyncio.timeout(_SECONDS):
        while True:
            try:
                await pair.ask()
            except PeerError as error:
                if 'UNAVAILABLE' not in str(error):
                    raise
                await asyncio.sleep(_RETRY_SECONDS)
            else:
                return


def test_hanging_call_ends_at_its_deadline() -> None:
    """Guards against a call that waits for a handler that never answers."""

    async def check() -> None:
        async with connect() as pair:
            await _wait_connected(pair)
            with pytest.raises(PeerError, match='DEADLINE_EXCEEDED'):
                await pair.ask('hang', seconds=0.2)
            assert await pair.ask() == Reply(_SENDER, 'x')

    asyncio.run(check())


def test_vm_without_address_was_sent_nothing() -> None:
    async def check() -> None:
        async with connect() as pair:
            pair.links.forget(_RECEIVER)
            with pytest.raises(PeerError) as caught:
                await pair.ask()
            assert not caught.value.sent

    asyncio.run(check())


def test_call_under_another_key_is_dropped() -> None:
    async def check() -> None:
        async with connect(key='11' * 32) as pair:
            with pytest.raises(PeerError, match='forged'):
                await pair.ask()
            assert not pair.handled
            assert pair.count_dropped('forged') == 1

    asyncio.run(check())


@pytest.mark.parametrize(
    ('cut', 'reason'),
    [(0, 'forged'), (10, 'forged'), (-1, 'forged')],
)
def test_truncated_call_is_dropped(cut: int, reason: str) -> None:
    async def check() -> None:
        async with connect() as pair:
            body = msgspec.msgpack.encode(Question('x'))
            sealed = build_call_seal(_SENDER).seal(_RECEIVER, body)
            async with aio.insecure_channel(pair.address) as channel:
                unary: Any = channel.unary_unary('/chicoryshunt.Peer/echo')
                with pytest.raises(aio.AioRpcError) as caught:
                    await unary(sealed[:cut], timeout=_SECONDS)
            assert caught.value.code() is StatusCode.UNAUTHENTICATED
            assert not pair.handled
            assert pair.count_dropped(reason) == 1

    asyncio.run(check())


def test_undecodable_request_is_counted() -> None:
    async def check() -> None:
        async with connect() as pair:
            with pytest.raises(PeerError):
                await pair.ask(method=MISTYPED)
            assert not pair.handled
            assert pair.count_dropped('undecodable') == 1

    asyncio.run(check())


@pytest.mark.parametrize('is_receiver', [True, False])
def test_cut_link_carries_no_calls(is_receiver: bool) -> None:
    async def check() -> None:
        async with connect() as pair:
            if is_receiver:
                pair.server_links.cut([_SENDER])
            else:
                pair.links.cut([_RECEIVER])
            with pytest.raises(PeerError):
                await pair.ask()
            assert not pair.handled

    asyncio.run(check())
