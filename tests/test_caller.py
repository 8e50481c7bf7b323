"""Tests of the caller library with nodes and engines, over loopback."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import msgspec
import pytest

from chicoryshunt.caller.answer import Answer
from chicoryshunt.caller.caller import Caller
from chicoryshunt.connection.bounds import ServerBounds
from chicoryshunt.connection.caller_api import Entries, Entry, VerdictBody
from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    read_body,
)
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.connection.target_api import GenerateOrder, NotAccepted
from chicoryshunt.connection.web import BoundedSite
from chicoryshunt.settings import parse_settings
from chicoryshunt.types import DataCentreId, RunState, VmId
from chicoryshunt.version.config import Config
from tests.builders import (
    build_caller_api,
    build_settings_text,
    build_state,
    put_in_force,
)
from tests.reactor import listen, run_on_reactor
from tests.relay_fakes import OWN, frame_end, frame_tokens

SERVER_BOUNDS = ServerBounds(64, 5, 10_000, 5, 100_000)
_LENGTH = 6
_AFTER_HEDGES_SECONDS = 1.0
_PAUSE_INDEX = 3
_NODE_CUTS = (
    ((1,), ()),
    ((2, 0, 1), ()),
    ((2, 0), (0,)),
)
_EXPECTED_TOKENS = tuple(f't{index}' for index in range(_LENGTH))


class Engine:
    """Engine with one generation that can cut, refuse or abort."""

    def __init__(self) -> None:
        self.cuts: list[int] = []
        self.refusals = 0
        self.aborts = 0
        self.starts = 0
        self.silent_starts: list[str] = []
        self.may_continue = asyncio.Event()
        self.may_continue.set()
        self.resumed_from: list[int] = []
        self.cancelled: list[str] = []

    async def handle(self, exchange: Exchange) -> None:
        match (exchange.method, *exchange.segments):
            case ('POST', 'generate'):
                await self._start(exchange)
            case ('GET', 'generations', str()):
                index = int(exchange.get_query('from', ''))
                self.resumed_from.append(index)
                await self._stream(exchange, index)
            case (_, 'generations', name):
                self.cancelled.append(name)
                exchange.respond_json({})

    async def _start(self, exchange: Exchange) -> None:
        msgspec.json.decode(exchange.body, type=GenerateOrder)
        if self.refusals:
            self.refusals -= 1
            exchange.respond_json(NotAccepted('full'), 503)
        elif self.aborts:
            self.aborts -= 1
            exchange.abort()
        else:
            self.starts += 1
            if self.silent_starts:
                await self._send_no_tokens(exchange)
            else:
                await self._stream(exchange, 0)

    async def _send_no_tokens(self, exchange: Exchange) -> None:
        self.silent_starts.pop()
        exchange.set_header('x-generation', 'silent')
        exchange.write(b': accepted\n\n')
        await exchange.wait_disconnected()

    async def _stream(self, exchange: Exchange, index: int) -> None:
        stop = self.cuts.pop(0) if self.cuts else _LENGTH
        exchange.set_header('x-generation', OWN)
        exchange.write(b': accepted\n\n')
        for position in range(index, stop):
            if position >= _PAUSE_INDEX:
                await self.may_continue.wait()
            exchange.write(frame_tokens(position, position + 1))
        if stop < _LENGTH:
            close_early(exchange)
            return
        exchange.write(frame_end(_LENGTH))
        exchange.finish()


class Node:
    """Node whose streams to callers can be cut."""

    def __init__(self, number: int, config: Config) -> None:
        settings = parse_settings(
            build_settings_text(vm=f'vm-{number}'),
            'settings',
        )
        self.state = build_state(settings)
        put_in_force(self.state, config)
        self.entries = Entries((), 60)
        self.cuts: list[int] = []
        self.seen: list[str] = []
        self.aborts_after_cut = False
        self._api = build_caller_api(self.state)

    async def handle(self, exchange: Exchange) -> None:
        if self.aborts_after_cut and 'generate/m' in self.seen:
            exchange.abort()
            return
        self.seen.append('/'.join(exchange.segments[1:]))
        if exchange.segments[1:] == ('entries',):
            exchange.respond_json(self.entries)
            return
        if self.cuts:
            self._cut(exchange, self.cuts.pop(0))
        await self._api.handle(exchange)

    def _cut(self, exchange: Exchange, events: int) -> None:
        cut = CutExchange(exchange, events)
        exchange.write = cut.write  # type: ignore[method-assign]


class CutExchange:
    """Exchange that writes some events and closes at the next one."""

    def __init__(self, exchange: Exchange, events: int) -> None:
        self._exchange = exchange
        self._write = exchange.write
        self._remaining = events

    def write(self, chunk: bytes) -> None:
        """Write events until the limit, then close the connection."""
        frames = chunk.split(b'\n\n')[:-1]
        for frame in frames[: max(0, self._remaining)]:
            self._write(b'%s\n\n' % frame)
        self._remaining -= len(frames)
        if self._remaining < 0:
            close_early(self._exchange)


def close_early(exchange: Exchange) -> None:
    """Close a connection in mid-answer once its writes are flushed."""
    exchange._request.channel.loseConnection()


class Fleet:
    """Engines and nodes, and requests to them."""

    def __init__(self, engines: list[Engine], nodes: list[Node]) -> None:
        self.engines = engines
        self.nodes = nodes
        self.addresses: list[str] = []

    async def generate(self, **fields: object) -> Answer:
        caller = Caller(self.addresses, 'team')
        return await caller.generate('m', {'prompt': 'p', **fields})

    async def post(
        self,
        node: int,
        path: str,
        headers: Mapping[str, str],
    ) -> tuple[Any, bytes]:
        """Send one request without the caller library."""
        response = await self.open(node, path, headers)
        return response, await read_body(response)

    async def open(
        self,
        node: int,
        path: str,
        headers: Mapping[str, str],
    ) -> Any:
        """Send a request and return the response without its body."""
        return await HttpClient(keeps_connections=False).request(
            'POST',
            f'http://{self.addresses[node]}/v1/{path}',
            b'{"prompt": "p"}',
            headers,
        )


def build_config(addresses: list[str]) -> Config:
    raw = {
        'version': 1,
        'data_centres': {'a': {'region': 'r'}},
        'teams': {'team': {}},
        'models': {'m': {}},
        'targets': {
            f'engine-{number}': {
                'address': address,
                'data_centre': 'a',
                'model': 'm',
                'concurrent': 4,
                'memory_tokens': 60_000,
            }
            for number, address in enumerate(addresses)
        },
    }
    return msgspec.convert(raw, Config)


@asynccontextmanager
async def run_fleet(engines: int = 1, nodes: int = 2) -> AsyncIterator[Fleet]:
    async with AsyncExitStack() as stack:
        built = [Engine() for _ in range(engines)]
        config = build_config(
            [
                await stack.enter_async_context(
                    listen(BoundedSite(engine.handle, SERVER_BOUNDS)),
                )
                for engine in built
            ],
        )
        fleet = Fleet(built, [Node(index, config) for index in range(nodes)])
        for node in fleet.nodes:
            site = BoundedSite(node.handle, SERVER_BOUNDS)
            address = await stack.enter_async_context(listen(site))
            fleet.addresses.append(address)
        entries = tuple(
            Entry(VmId(f'vm-{number}'), address)
            for number, address in enumerate(fleet.addresses)
        )
        for node in fleet.nodes:
            node.entries = Entries(entries, 60)
            node.state.fleet.membership.apply_vm_list(
                [
                    PublishedVm(
                        entry.vm, DataCentreId('a'), entry.address, '', ''
                    )
                    for entry in entries
                ],
                now=0,
            )
        yield fleet


def run_with_fleet(
    test: Callable[[Fleet], Awaitable[None]],
    engines: int = 1,
    nodes: int = 2,
) -> None:
    async def check() -> None:
        async with run_fleet(engines, nodes) as fleet:
            await test(fleet)

    run_on_reactor(check())


def assert_whole(answer: Answer) -> None:
    assert tuple(answer.tokens) == _EXPECTED_TOKENS
    assert answer.ending == 'stop'
    assert answer.verdict is RunState.ran


@pytest.mark.parametrize('delivery', ['stream', 'whole'])
@pytest.mark.parametrize('cuts', [[], [2], [0, 3, 3]])
def test_cut_engine_stream_is_resumed(
    delivery: str,
    cuts: list[int],
) -> None:
    async def test(fleet: Fleet) -> None:
        engine = fleet.engines[0]
        engine.cuts = list(cuts)
        assert_whole(await fleet.generate(delivery=delivery))
        assert engine.starts == 1
        assert engine.resumed_from == cuts

    run_with_fleet(test)


@pytest.mark.parametrize('cuts', _NODE_CUTS)
def test_cut_caller_stream_is_resumed(
    cuts: tuple[tuple[int, ...], ...],
) -> None:
    async def test(fleet: Fleet) -> None:
        for node, own in zip(fleet.nodes, cuts, strict=True):
            node.cuts = list(own)
        assert_whole(await fleet.generate())
        assert fleet.engines[0].starts == 1
        assert not fleet.engines[0].cancelled

    run_with_fleet(test)


def test_lost_node_leaves_an_incomplete_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('chicoryshunt.caller.caller._MAX_RESUMES', 2)

    async def test(fleet: Fleet) -> None:
        node = fleet.nodes[0]
        node.cuts = [2]
        node.aborts_after_cut = True
        answer = await fleet.generate()
        assert answer.tokens == list(_EXPECTED_TOKENS[:2])
        assert answer.ending == 'incomplete'
        assert answer.verdict is RunState.ran

    run_with_fleet(test, nodes=1)


def test_progress_resets_the_resume_attempts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('chicoryshunt.caller.caller._MAX_RESUMES', 2)

    async def test(fleet: Fleet) -> None:
        fleet.nodes[0].cuts = [1, 1, 1, 1, 1]
        assert_whole(await fleet.generate())

    run_with_fleet(test, nodes=1)


def test_request_that_may_have_run_is_not_retried() -> None:
    async def test(fleet: Fleet) -> None:
        fleet.nodes[0].cuts = [0]
        answer = await fleet.generate()
        assert answer.verdict is RunState.may_have_run
        assert fleet.engines[0].starts == 1

    run_with_fleet(test)


def test_no_node_is_not_run() -> None:
    async def check() -> None:
        answer = await Caller(['127.0.0.1:1'], 'team').generate('m', {})
        assert answer.verdict is RunState.not_run
        assert '127.0.0.1:1' in answer.detail

    run_on_reactor(check())


def test_unreachable_entry_is_skipped() -> None:
    async def test(fleet: Fleet) -> None:
        dead = Entry(VmId('dead'), '127.0.0.1:1')
        node = fleet.nodes[0]
        node.entries = Entries((dead, *node.entries.entries), 60)
        assert_whole(await fleet.generate())
        assert fleet.engines[0].starts == 1

    run_with_fleet(test)


@pytest.mark.parametrize('repeatable', [True, False])
def test_refused_request_goes_to_another_engine(repeatable: bool) -> None:
    async def test(fleet: Fleet) -> None:
        fleet.engines[0].refusals = 1
        assert_whole(await fleet.generate(repeatable=repeatable))

    run_with_fleet(test, engines=2)


def test_aborted_request_starts_on_another_engine() -> None:
    async def test(fleet: Fleet) -> None:
        fleet.engines[0].aborts = 1
        assert_whole(await fleet.generate())
        assert [engine.starts for engine in fleet.engines] == [0, 1]

    run_with_fleet(test, engines=2)


def test_unrepeatable_request_is_sent_once() -> None:
    async def test(fleet: Fleet) -> None:
        fleet.engines[0].aborts = 1
        answer = await fleet.generate(repeatable=False)
        assert answer.verdict is RunState.may_have_run
        assert answer.reason == 'engine_lost'
        assert [engine.starts for engine in fleet.engines] == [0, 0]

    run_with_fleet(test, engines=2)


def test_resume_stops_the_relay_of_another_node() -> None:
    async def test(fleet: Fleet) -> None:
        engine = fleet.engines[0]
        engine.may_continue.clear()
        live = await fleet.open(0, 'generate/m', {'x-team': 'team'})
        token = live.headers.getRawHeaders('x-resume')[0]
        headers = {'x-resume': token}
        resumed = asyncio.ensure_future(
            fleet.post(1, f'resume?from={_PAUSE_INDEX}', headers),
        )
        with pytest.raises(BrokenError):
            await read_body(live)
        assert 'resume/taken' in fleet.nodes[0].seen
        engine.may_continue.set()
        _, body = await resumed
        assert body.startswith(frame_tokens(_PAUSE_INDEX, _PAUSE_INDEX + 1))
        assert b'"tokens":6' in body
        assert not engine.cancelled

    run_with_fleet(test)


def test_any_node_resumes_with_the_token() -> None:
    async def test(fleet: Fleet) -> None:
        first, _ = await fleet.post(0, 'generate/m', {'x-team': 'team'})
        token = first.headers.getRawHeaders('x-resume')[0]
        headers = {'x-resume': token}
        second, body = await fleet.post(1, 'resume?from=4', headers)
        assert second.code == 200
        frames = body.split(b'\n\n')
        assert frames[:2] == [
            frame_tokens(4, 5).strip(),
            frame_tokens(5, 6).strip(),
        ]
        assert b'"tokens":6' in frames[2]

    run_with_fleet(test)


@pytest.mark.parametrize(
    ('path', 'token', 'reason'),
    [
        ('resume?from=0', '', 'bad_request'),
        ('resume?from=0', 'AAAA', 'token_forged'),
        ('resume?from=-1', 'AAAA', 'bad_request'),
        ('resume?from=1e3', 'AAAA', 'bad_request'),
        ('resume?from=9999999999', 'AAAA', 'bad_request'),
    ],
)
def test_resume_without_valid_token_is_refused(
    path: str,
    token: str,
    reason: str,
) -> None:
    async def test(fleet: Fleet) -> None:
        response, body = await fleet.post(0, path, {'x-resume': token})
        refusal = msgspec.json.decode(body, type=VerdictBody)
        assert refusal.reason == reason
        assert refusal.verdict == 'not_run'
        assert response.code in {400, 403}
        assert not fleet.engines[0].resumed_from

    run_with_fleet(test, nodes=1)


def test_silent_engine_is_hedged_and_cancelled() -> None:
    async def test(fleet: Fleet) -> None:
        silent_starts = ['first start']
        for engine in fleet.engines:
            engine.silent_starts = silent_starts
        assert_whole(await fleet.generate())
        assert [engine.starts for engine in fleet.engines] == [1, 1]
        cancelled = [name for one in fleet.engines for name in one.cancelled]
        assert cancelled == ['silent']

    run_with_fleet(test, engines=2)


def test_unrepeatable_request_is_not_hedged() -> None:
    async def test(fleet: Fleet) -> None:
        silent_starts = ['first start']
        for engine in fleet.engines:
            engine.silent_starts = silent_starts
        request = asyncio.ensure_future(fleet.generate(repeatable=False))
        await asyncio.sleep(_AFTER_HEDGES_SECONDS)
        assert sum(engine.starts for engine in fleet.engines) == 1
        request.cancel()

    run_with_fleet(test, engines=2)
