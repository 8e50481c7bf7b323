"""Tests that an unexpected error costs one message, not the process."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, cast

import msgspec
import pytest

from chicoryshunt.clock import ManualClock
from chicoryshunt.connection.upstream import OutgoingRequest
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.nodes.driver import drive_cores
from chicoryshunt.nodes.links import Links
from chicoryshunt.nodes.mesh import Mesh
from chicoryshunt.nodes.pause import PauseDetector
from chicoryshunt.platform import items
from chicoryshunt.platform.callers import PlatformCallerCodec
from chicoryshunt.platform.store import StoreClient
from chicoryshunt.relay.engine_poller import EnginePoller
from chicoryshunt.types import VmId
from lab.models.network import build_vm
from tests.builders import build_seal
from tests.platform_builders import SmallPlatform, run_platform
from tests.reactor import run_on_reactor
from tests.virtual_loop import run_virtual

OWN = VmId('vm-1')
PEER = VmId('vm-2')


class Note(msgspec.Struct, frozen=True, array_like=True, tag='note'):
    """A message of the core below."""

    number: int


class FailingCore:
    """Core that fails at every second message and tick."""

    message_types = (Note,)

    def __init__(self) -> None:
        """Start without messages."""
        self.received: list[int] = []
        self.ticks = 0

    def receive(
        self, sender: VmId, message: Message, now: float
    ) -> Iterator[Send]:
        """Record a message with an odd number, and fail at others."""
        if isinstance(message, Note) and not message.number % 2:
            raise KeyError(message.number)
        if isinstance(message, Note):
            self.received.append(message.number)
        return iter(())

    def tick(self, now: float) -> Iterator[Send]:
        """Count ticks and fail at each second one."""
        self.ticks += 1
        if not self.ticks % 2:
            raise KeyError(self.ticks)
        return iter(())

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Do nothing."""


class FakeTransport:
    """Records the datagrams that were sent."""

    def __init__(self) -> None:
        """Start without datagrams."""
        self.sent: list[bytes] = []

    def write(self, datagram: bytes, address: object) -> None:
        """Record a datagram."""
        self.sent.append(datagram)


def _build_mesh(core: FailingCore) -> Mesh:
    detector = PauseDetector(ManualClock())
    links = Links()
    links.update_addresses([build_vm(PEER)])
    return Mesh(build_seal(OWN), links, detector, Metrics(), [core])


def test_a_datagram_that_fails_is_one_lost() -> None:
    core = FailingCore()
    mesh = _build_mesh(core)
    seal = build_seal(PEER)

    for number in range(5):
        body = msgspec.msgpack.encode(Note(number))
        mesh.datagramReceived(seal.seal(OWN, body), ('127.0.0.1', 9))

    assert core.received == [1, 3]


def test_a_message_that_fails_is_one_lost() -> None:
    """Guards against an odd number that ends all nodes as they send it."""
    mesh, transport = _build_mesh(FailingCore()), FakeTransport()
    cast(Any, mesh).transport = transport

    mesh.send_all(Send(PEER, Note(number)) for number in (1, 2**70, 3))

    assert len(transport.sent) == 2


def test_a_tick_that_fails_ends_no_other() -> None:
    core, other = FailingCore(), FailingCore()

    async def run() -> None:
        detector = PauseDetector(ManualClock())
        driving = drive_cores([core, other], _build_mesh(core), detector)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(driving, 1.05)

    run_virtual(run())

    assert core.ticks == other.ticks
    assert core.ticks > 9


def _run_trial(trial: Callable[[SmallPlatform], Awaitable[None]]) -> None:
    async def run() -> None:
        async with run_platform() as platform:
            await trial(platform)
            assert not platform.running.done()

    run_on_reactor(run())


def _fail(*_: Any) -> Any:
    raise KeyError('unexpected')


def test_an_item_that_fails_is_one_item_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against nodes that all end, and restart, at the same item."""
    decode = items.decode_target

    def decode_others(item: items.Item) -> Any:
        if item.key.endswith('bad'):
            raise KeyError(item.key)
        return decode(item)

    monkeypatch.setattr(items, 'decode_target', decode_others)

    async def trial(platform: SmallPlatform) -> None:
        platform.store.put('servers/bad', {})
        platform.leave('p0')
        await asyncio.sleep(0.5)

        for number in range(3):
            answer, _ = await platform.ask('/reads/1', f'r{number}')
            assert answer.status == 200
        assert not platform.services[0].runs

    _run_trial(trial)


def test_a_read_that_fails_is_one_read_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against nodes that end at an unexpected error of a read."""
    watch = StoreClient.watch
    numbers = itertools.count(1)

    async def watch_later(
        client: StoreClient, prefix: str, revision: int
    ) -> items.Changes:
        if next(numbers) == 1:
            raise KeyError('unexpected')
        return await watch(client, prefix, revision)

    monkeypatch.setattr(StoreClient, 'watch', watch_later)

    async def trial(platform: SmallPlatform) -> None:
        platform.leave('p0')
        await asyncio.sleep(1)
        answer, _ = await platform.ask('/reads/1')
        assert answer.status == 200
        assert not platform.services[0].runs

    _run_trial(trial)


def test_a_poll_that_fails_is_one_poll_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(EnginePoller, '_list_confirmable', _fail)

    async def trial(platform: SmallPlatform) -> None:
        await asyncio.sleep(0.5)
        answer, _ = await platform.ask('/reads/1')
        assert answer.status == 200

    _run_trial(trial)


def test_a_request_that_fails_is_one_request_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    decode = PlatformCallerCodec.decode
    numbers = itertools.count(1)

    def decode_later(codec: PlatformCallerCodec, exchange: Any) -> Any:
        if next(numbers) == 1:
            raise KeyError('unexpected')
        return decode(codec, exchange)

    monkeypatch.setattr(PlatformCallerCodec, 'decode', decode_later)

    async def trial(platform: SmallPlatform) -> None:
        first, _ = await platform.ask('/filings/1', 'r1', 'POST')
        second, _ = await platform.ask('/filings/1', 'r2', 'POST')
        # Whether a request of which the node knows nothing ran is not said.
        assert first.status == 500
        assert second.status == 200

    _run_trial(trial)


def test_a_cancelled_request_does_not_go_on() -> None:
    """Guards against a cancellation that is lost as the answer arrives."""

    async def trial(platform: SmallPlatform) -> None:
        upstream = await platform.pool.open(platform.addresses['p0'])
        sending = asyncio.ensure_future(
            upstream.send(OutgoingRequest(b'GET', b'/x', [(b'Host', b'a')]), 9)
        )
        await asyncio.sleep(0)
        upstream.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        sending.cancel()
        await asyncio.wait((sending,))
        upstream.abort()

        assert sending.cancelled()

    _run_trial(trial)
