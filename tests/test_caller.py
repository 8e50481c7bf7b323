"""Tests of callers, nodes and an engine together, over loopback."""

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
_PAST_HEDGES_SECONDS = 1.0
_HELD_AT = 3
_CALLER_CUTS = (
    ((1,), ()),
    ((2, 0, 1), ()),
    ((2, 0), (0,)),
)
_TOKENS = tuple(f't{index}' for index in range(_LENGTH))


class Engine:
    """Engine with one generation that may cut, refuse or die."""

    def __init__(self) -> None:
        self.cuts: list[int] = []
        self.refusals = 0
        self.deaths = 0
        self.starts = 0
        self.silences: list[str] = []
        self.may_go_on = asyncio.Event()
        self.may_go_on.set()
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
        elif self.deaths:
            self.deaths -= 1
            exchange.abort()
        else:
            self.starts += 1
            if self.silences:
                await self._keep_silent(exchange)
            else:
                await self._stream(exchange, 0)

    async def _keep_silent(self, exchange: Exchange) -> None:
        self.silences.pop()
        exchange.set_header('x-generation', 'silent')
        exchange.write(b': accepted\n\n')
        await exchange.wait_disconnected()

    async def _stream(self, exchange: Exchange, index: int) -> None:
        stop = self.cuts.pop(0) if self.cuts else _LENGTH
        exchange.set_header('x-generation', OWN)
        exchange.write(b': accepted\n\n')
        for position in range(index, stop):
            if position >= _HELD_AT:
                await self.may_go_on.wait()
            exchange.write(frame_tokens(position, position + 1))
        if stop < _LENGTH:
            hang_up(exchange)
            return
        exchange.write(frame_end(_LENGTH))
        exchange.finish()


class Node:
    """Node whose streams to callers may be cut."""

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
        self.dies_after_cut = False
        self._api = build_caller_api(self.state)

    async def handle(self, exchange: Exchange) -> None:
        if self.dies_after_cut and 'generate/m' in self.seen:
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
    """Passes on some events and hangs up at the next one."""

    def __init__(self, exchange: Exchange, events: int) -> None:
        self._exchange = exchange
        self._write = exchange.write
        self._left = events

    def write(self, chunk: bytes) -> None:
        """Write whole events while there are some left."""
        frames = chunk.split(b'\n\n')[:-1]
        for frame in frames[: max(0, self._left)]:
            self._write(b'%s\n\n' % frame)
        self._left -= len(frames)
        if self._left < 0:
            hang_up(self._exchange)


def hang_up(exchange: Exchange) -> None:
    """Close a connection in mid-answer, after what was written."""
    exchange._request.channel.loseConnection()


class Fleet:
    """Engines, nodes and a caller."""

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
        """Send one request past the caller library."""
        response = await self.open(node, path, headers)
        return response, await read_body(response)

    async def open(
        self,
        node: int,
        path: str,
        headers: Mapping[str, str],
    ) -> Any:
        """Return a response whose body can be read."""
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
                    listen(BoundedSite(one.handle, SERVER_BOUNDS)),
                )
                for one in built
            ],
        )
        fleet = Fleet(built, [Node(one, config) for one in range(nodes)])
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
                    PublishedVm(one.vm, DataCentreId('a'), one.address, '', '')
                    for one in entries
                ],
                now=0,
            )
        yield fleet


def run_fleet_test(
    test: Callable[[Fleet], Awaitable[None]],
    engines: int = 1,
    nodes: int = 2,
) -> None:
    async def check() -> None:
        async with run_fleet(engines, nodes) as fleet:
            await test(fleet)

    run_on_reactor(check())


def assert_whole(answer: Answer) -> None:
    assert tuple(answer.tokens) == _TOKENS
    assert answer.ending == 'stop'
    assert answer.verdict is RunState.ran


@pytest.mark.parametrize('delivery', ['stream', 'whole'])
@pytest.mark.parametrize('cuts', [[], [2], [0, 3, 3]])
def test_engine_link_that_is_cut_costs_nothing(
    delivery: str,
    cuts: list[int],
) -> None:
    async def test(fleet: Fleet) -> None:
        engine = fleet.engines[0]
        engine.cuts = list(cuts)
        assert_whole(await fleet.generate(delivery=delivery))
        assert engine.starts == 1
        assert engine.resumed_from == cuts

    run_fleet_test(test)


@pytest.mark.parametrize('cuts', _CALLER_CUTS)
def test_caller_link_that_is_cut_costs_nothing(
    cuts: tuple[tuple[int, ...], ...],
) -> None:
    async def test(fleet: Fleet) -> None:
        for node, own in zip(fleet.nodes, cuts, strict=True):
            node.cuts = list(own)
        assert_whole(await fleet.generate())
        assert fleet.engines[0].starts == 1
        assert not fleet.engines[0].cancelled

    run_fleet_test(test)


def test_lost_nodes_leave_what_was_received(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('chicoryshunt.caller.caller._MAX_RESUMES', 2)

    async def test(fleet: Fleet) -> None:
        node = fleet.nodes[0]
        node.cuts = [2]
        node.dies_after_cut = True
        answer = await fleet.generate()
        assert answer.tokens == list(_TOKENS[:2])
        assert answer.ending == 'incomplete'
        assert answer.verdict is RunState.ran

    run_fleet_test(test, nodes=1)


def test_progress_renews_the_attempts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('chicoryshunt.caller.caller._MAX_RESUMES', 2)

    async def test(fleet: Fleet) -> None:
        fleet.nodes[0].cuts = [1, 1, 1, 1, 1]
        assert_whole(await fleet.generate())

    run_fleet_test(test, nodes=1)


def test_answer_lost_in_doubt_is_not_asked_again() -> None:
    async def test(fleet: Fleet) -> None:
        fleet.nodes[0].cuts = [0]
        answer = await fleet.generate()
        assert answer.verdict is RunState.may_have_run
        assert fleet.engines[0].starts == 1

    run_fleet_test(test)


def test_no_node_is_not_run() -> None:
    async def check() -> None:
        answer = await Caller(['127.0.0.1:1'], 'team').generate('m', {})
        assert answer.verdict is RunState.not_run
        assert '127.0.0.1:1' in answer.detail

    run_on_reactor(check())


def test_unreachable_entry_is_passed_over() -> None:
    async def test(fleet: Fleet) -> None:
        dead = Entry(VmId('dead'), '127.0.0.1:1')
        node = fleet.nodes[0]
        node.entries = Entries((dead, *node.entries.entries), 60)
        assert_whole(await fleet.generate())
        assert fleet.engines[0].starts == 1

    run_fleet_test(test)


@pytest.mark.parametrize('repeatable', [True, False])
def test_refusing_engine_is_passed_over(repeatable: bool) -> None:
    async def test(fleet: Fleet) -> None:
        fleet.engines[0].refusals = 1
        assert_whole(await fleet.generate(repeatable=repeatable))

    run_fleet_test(test, engines=2)


def test_undelivered_request_starts_elsewhere() -> None:
    async def test(fleet: Fleet) -> None:
        fleet.engines[0].deaths = 1
        assert_whole(await fleet.generate())
        assert [one.starts for one in fleet.engines] == [0, 1]

    run_fleet_test(test, engines=2)


def test_unrepeatable_request_is_sent_once() -> None:
    async def test(fleet: Fleet) -> None:
        fleet.engines[0].deaths = 1
        answer = await fleet.generate(repeatable=False)
        assert answer.verdict is RunState.may_have_run
        assert answer.reason == 'engine_lost'
        assert [one.starts for one in fleet.engines] == [0, 0]

    run_fleet_test(test, engines=2)


def test_node_that_relayed_before_stops() -> None:
    async def test(fleet: Fleet) -> None:
        engine = fleet.engines[0]
        engine.may_go_on.clear()
        live = await fleet.open(0, 'generate/m', {'x-team': 'team'})
        token = live.headers.getRawHeaders('x-resume')[0]
        headers = {'x-resume': token}
        resumed = asyncio.ensure_future(
            fleet.post(1, f'resume?from={_HELD_AT}', headers),
        )
        with pytest.raises(BrokenError):
            await read_body(live)
        assert 'resume/taken' in fleet.nodes[0].seen
        engine.may_go_on.set()
        _, body = await resumed
        assert body.startswith(frame_tokens(_HELD_AT, _HELD_AT + 1))
        assert b'"tokens":6' in body
        assert not engine.cancelled

    run_fleet_test(test)


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

    run_fleet_test(test)


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
def test_resume_without_right_is_refused(
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

    run_fleet_test(test, nodes=1)


def test_silent_engine_is_hedged_and_cancelled() -> None:
    async def test(fleet: Fleet) -> None:
        silences = ['first start']
        for engine in fleet.engines:
            engine.silences = silences
        assert_whole(await fleet.generate())
        assert [engine.starts for engine in fleet.engines] == [1, 1]
        cancelled = [name for one in fleet.engines for name in one.cancelled]
        assert cancelled == ['silent']

    run_fleet_test(test, engines=2)


def test_unrepeatable_request_is_not_hedged() -> None:
    async def test(fleet: Fleet) -> None:
        silences = ['first start']
        for engine in fleet.engines:
            engine.silences = silences
        asking = asyncio.ensure_future(fleet.generate(repeatable=False))
        await asyncio.sleep(_PAST_HEDGES_SECONDS)
        assert sum(engine.starts for engine in fleet.engines) == 1
        asking.cancel()

    run_fleet_test(test, engines=2)
