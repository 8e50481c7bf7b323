"""The soak: a short run of real processes, and checks that can fail."""

import asyncio
import re
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from random import Random

import pytest

from chicoryshunt.address import Address
from chicoryshunt.connection.upstream import (
    ConnectionLostError,
    OutgoingRequest,
    UpstreamPool,
)
from lab.soak.callers import Ask, Outcome
from lab.soak.datagrams import Datagrams
from lab.soak.faults import draw_datagrams, draw_odd_answers, draw_plan
from lab.soak.heads import find_odd_line
from lab.soak.promises import find_broken
from lab.soak.proxy import Proxy, Trouble
from lab.soak.speeds import draw_speeds
from lab.soak.world import Node, World, run_world
from lab.standins.loopback import list_hosts
from lab.standins.odd_answers import Head
from lab.standins.platform_targets import (
    LastAnswer,
    StandInEngine,
    StandInService,
)
from tests.reactor import listen, run_on_reactor

_ROOT = Path(__file__).resolve().parents[1]
# A run takes half a minute; one that hangs is ended long after that.
_MOST_SECONDS = 240


def test_a_short_soak_breaks_no_promise() -> None:
    finished = subprocess.run(
        (
            sys.executable,
            '-m',
            'lab.soak.soak',
            '--seed=7',
            '--seconds=6',
            '--nodes=4',
        ),
        cwd=_ROOT,
        capture_output=True,
        text=True,
        timeout=_MOST_SECONDS,
        check=False,
    )

    assert finished.returncode == 0, finished.stdout + finished.stderr
    disturbed = r'[1-9]\d* lost, [1-9]\d* late, [1-9]\d* cut'
    assert re.search(disturbed, finished.stdout), finished.stdout


def test_a_seed_draws_the_same_faults() -> None:
    one, other = (draw_plan(Random(5), 12, 1.5, 5, 6) for _ in range(2))

    assert one == other
    assert len(one) == 18


def test_a_seed_draws_the_same_odd_answers() -> None:
    one, other = (
        draw_odd_answers(Random(5), 12, 1.5, _build_world()) for _ in range(2)
    )

    assert one == other
    assert len(one) == 9


def test_a_seed_disturbs_the_same_datagrams() -> None:
    one, other = (draw_datagrams(5, 6, 4) for _ in range(2))

    assert one == other
    assert all(planned.at + planned.seconds <= 6 for planned in one)


@pytest.mark.parametrize(
    ('loss', 'side', 'passed', 'count'),
    [
        (0, '', 1, ''),
        (1, '', 0, 'lost'),
        (0, 'a', 0, 'cut'),
        (0, 'ab', 1, ''),
    ],
)
def test_datagrams_are_lost_and_cut(
    loss: float, side: str, passed: int, count: str
) -> None:
    """Guards against a soak that loses datagrams only in name."""
    sent: list[int] = []
    datagrams = Datagrams(Random(1), loss=loss, side=frozenset(side))
    datagrams.pass_on('a', 'b', lambda: sent.append(1))

    assert len(sent) == passed
    assert list(datagrams.counts) == list(filter(None, [count]))


def test_a_seed_slows_the_same_engines() -> None:
    """Guards against a soak whose engines are all of one speed."""

    def list_speeds(seed: int) -> list[float]:
        engines = [StandInEngine(f'e{one}', {}) for one in range(3)]
        draw_speeds(seed, engines)
        return [one.slowness for one in engines]

    drawn = [list_speeds(seed) for seed in range(9)]

    assert drawn == [list_speeds(seed) for seed in range(9)]
    assert all(sorted(one) == [1, 1, 2.4] for one in drawn)
    assert {one.index(2.4) for one in drawn} == {0, 1, 2}


def test_a_slow_engine_takes_longer() -> None:
    """Guards against a speed that has no effect on streams."""
    engine = StandInEngine('e0', {})
    engine.slowness = 20

    async def stream() -> float:
        async with listen(engine.site) as address:
            upstream = await UpstreamPool(1).open(address)
            head = [(b'Host', b'e0'), (b'X-Chicoryshunt-Request-Id', b'q1')]
            started = time.monotonic()
            answer = await upstream.send(
                OutgoingRequest(b'POST', b'/drafts/1', head, b''), 9
            )
            await answer.body.read_all(1 << 20)
            upstream.abort()
            return time.monotonic() - started

    engine.length = 5
    assert run_on_reactor(stream()) >= 5 * 0.01 * engine.slowness


def _build_world() -> World:
    world = World(_ROOT)
    world.services.append(StandInService('p0'))
    world.engines.append(StandInEngine('e0', {}))
    return world


def _build_stream(count: int, first: int = 1) -> bytes:
    return b''.join(
        b'id: %d\ndata: token %d\n\n' % (one, one)
        for one in range(first, first + count)
    )


@pytest.mark.parametrize(
    ('ask', 'status', 'body', 'runs', 'broken'),
    [
        (Ask.filing, 502, b'', 2, 'ran 2 times'),
        (Ask.filing, 503, b'', 1, 'but it has run'),
        (Ask.read, 200, b'GET /reads/1', 3, 'ran 3 times'),
        (Ask.read, 200, b'GET /another', 1, 'got'),
        (Ask.read, 404, b'', 0, 'denied'),
        (Ask.stream, 200, _build_stream(39), 1, 'whole after 39'),
        (Ask.stream, 200, _build_stream(40, first=2), 1, 'event 1'),
        (Ask.stream, 200, b'%bid: 4' % _build_stream(40), 1, 'whole after'),
    ],
)
def test_the_soak_sees_a_broken_promise(
    ask: Ask,
    status: int,
    body: bytes,
    runs: int,
    broken: str,
) -> None:
    world = _build_world()
    outcome = Outcome('q1', ask, 'node-0', '/reads/1', status, 'q1', body)
    outcome.is_whole = True
    world.services[0].runs['q1'] = runs

    found = find_broken(world, [outcome])

    assert any(broken in one for one in found)


def test_what_went_well_breaks_nothing() -> None:
    world = _build_world()
    streamed = Outcome('q1', Ask.stream, 'node-0', '/drafts/1', 200, 'q1')
    streamed.body = _build_stream(40)
    streamed.is_whole = True

    assert not find_broken(world, [streamed])


def test_a_request_that_nobody_sent_is_seen() -> None:
    world = _build_world()
    world.services[0].runs['forged'] = 1

    assert find_broken(world, []) == ['forged: nobody sent it']


def test_who_sent_a_request_without_an_id_is_told() -> None:
    """Replays a run that a request without an id began."""
    world = _build_world()

    async def send() -> None:
        async with listen(world.engines[0].site) as address:
            upstream = await UpstreamPool(1).open(address)
            head = [(b'Host', b'another.example')]
            sent = OutgoingRequest(b'POST', b'/odd', head, b'')
            answer = await upstream.send(sent, 9)
            assert answer.status == 400
            assert answer.get(b'X-Chicoryshunt-Not-Executed')
            upstream.abort()

    run_on_reactor(send())

    assert not world.engines[0].started
    found = ' '.join(find_broken(world, []))
    assert found.startswith(': nobody sent it (POST /odd from 127.0.0.1:')
    assert 'Host: another.example' in found


def test_no_address_of_the_soak_is_shared(tmp_path: Path) -> None:
    """Replays a client of an ended test that reached an engine of the soak."""

    async def list_addresses() -> list[Address | str]:
        async with run_world(tmp_path, 0) as world:
            proxies = world.proxies.values()
            return [
                *(one.address for one in proxies),
                *(one.destination for one in proxies),
            ]

    addresses = run_on_reactor(list_addresses())
    hosts = {str(one).partition(':')[0] for one in addresses}

    assert len(hosts) == len(addresses)
    assert '127.0.0.1' not in hosts


def test_two_runs_share_no_address() -> None:
    """Replays two processes whose ids lead to the same addresses."""
    one, other = list_hosts(7), list_hosts(7)

    assert next(one) != next(other)


@pytest.mark.parametrize(
    ('head', 'odd'),
    [
        (b'HTTP/1.1 200 OK\r\nX-Of: a b\r\n\r\nX odd: 1', b''),
        (b'HTTP/1.1 0 Unknown Status\r\n\r\n', b'HTTP/1.1 0 Unknown Status'),
        (b'HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n', b'X Odd: 1'),
        (b'HTTP/1.1 200 OK\r\nX-\x01Odd: 1\r\n\r\n', b'X-\x01Odd: 1'),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n'
            + b'Transfer-Encoding: chunked\r\n\r\n',
            b'two lengths',
        ),
    ],
)
def test_the_soak_sees_an_odd_head(head: bytes, odd: bytes) -> None:
    """Guards against heads of targets that a node passes on unchecked."""
    world = _build_world()
    callers = Proxy('a:1')
    callers.odd_lines.add(find_odd_line(head))
    world.nodes.append(Node('n', 'h', _ROOT, callers, Proxy('a:1')))

    expected = [f'n sent a head with {odd!r}'] if odd else []
    assert find_broken(world, []) == expected


@pytest.mark.parametrize('head', Head)
def test_stand_ins_write_odd_heads(head: Head) -> None:
    """Guards against a soak whose targets only send correct heads."""
    world = _build_world()
    site = world.services[0].site
    site.head = head

    async def ask() -> bytes:
        async with listen(site) as address:
            host, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b'GET /reads/1 HTTP/1.1\r\nHost: p0\r\n'
                + b'X-Chicoryshunt-Request-Id: q1\r\n'
                + b'X-Chicoryshunt-Expect-Instance: p0\r\n\r\n',
            )
            answer = await reader.readuntil(b'\r\n\r\n')
            writer.close()
            return answer

    is_correct = head in {Head.correct, Head.unframed}
    assert (find_odd_line(run_on_reactor(ask())) == b'') is is_correct


@pytest.mark.parametrize('answer', LastAnswer)
def test_an_unframed_stream_stops_in_order(answer: LastAnswer) -> None:
    """Guards against a soak whose engines do not stop as they are told."""
    engine = StandInEngine('e0', {})
    engine.site.head = Head.unframed
    engine.last_answer = answer

    async def stop() -> bytes:
        async with listen(engine.site) as address:
            host, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b'GET /drafts/1 HTTP/1.1\r\nHost: e0\r\n'
                + b'X-Chicoryshunt-Request-Id: q1\r\n\r\n',
            )
            received = await reader.readuntil(b'id: 1')
            ordering = await UpstreamPool(1).open(address)
            order = OutgoingRequest(
                b'POST',
                b'/chicoryshunt/kv-move',
                [(b'Host', b'e0')],
                b'{"id": "q1", "to": "h:1", "last": true}',
            )
            with suppress(ConnectionLostError):
                await ordering.send(order, 9)
            ordering.abort()
            received += await reader.read()
            writer.close()
            return received

    head, _, body = run_on_reactor(stop()).partition(b'\r\n\r\n')
    assert b'Connection: close' in head
    assert b'Transfer-Encoding' not in head
    assert body == _build_stream(body.count(b'id: '))
    assert body.count(b'id: ') < engine.length


def test_a_reset_does_not_look_like_an_end() -> None:
    """Guards against a soak in which a body without a length seems whole."""

    async def read() -> bytes:
        async with listen(_build_world().services[0].site) as address:
            proxy = Proxy(address)
            async with proxy.listen():
                host, _, port = proxy.address.rpartition(':')
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b'GET / HTTP/1.1\r\n\r\n')
                await reader.readuntil(b'\r\n\r\n')
                proxy.disturb(Trouble.reset)
                return await reader.read()

    with pytest.raises(ConnectionResetError):
        run_on_reactor(read())


def test_a_crash_before_another_start_is_seen(tmp_path: Path) -> None:
    """Replays a node that crashed and was started anew by a signal fault."""
    settings = tmp_path / 'node.conf'
    node = Node('n', '127.0.0.1', settings, Proxy('a:1'), Proxy('a:1'))
    # Without a settings file the process ends by itself.
    node.start()
    assert node.running is not None
    node.running.process.wait(_MOST_SECONDS)

    node.start()

    assert node.running is not None
    node.running.process.wait(_MOST_SECONDS)
    assert node.early_ends == 1
