"""Planned stops of real nodes in series: ``python -m lab.soak.stops``."""

import asyncio
import itertools
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import msgspec
from absl import flags

from chicoryshunt.connection.relayed_exchange import RelayedExchange
from chicoryshunt.connection.upstream import (
    Answer,
    BodyEnd,
    CallBounds,
    ConnectionLostError,
    NotSentError,
    OutgoingRequest,
    UpstreamPool,
)
from chicoryshunt.exceptions import ChicoryshuntError
from chicoryshunt.operations import run_until_done
from lab.soak.lost import Sent, Span, Stop, find_lost
from lab.soak.world import Node, World, run_world
from lab.standins.daemon import parse_flags
from lab.standins.platform_files import (
    CALLERS,
    DIRECTORY,
    HOST,
    KEY,
    build_config,
)
from lab.standins.platform_targets import StandInEngine, StandInService

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('seed', 1, 'first seed', flag_values=_FLAGS)
flags.DEFINE_integer('seeds', 1, 'seeds that are played', flag_values=_FLAGS)
flags.DEFINE_float('seconds', 12, 'time of the stops', flag_values=_FLAGS)
flags.DEFINE_integer('nodes', 5, 'node processes', flag_values=_FLAGS)
flags.DEFINE_integer('callers', 40, 'callers at once', flag_values=_FLAGS)
flags.DEFINE_float('gap', 1.3, 'seconds between stops', flag_values=_FLAGS)
flags.DEFINE_string(
    'keep', '', 'folder for logs of seeds that failed', flag_values=_FLAGS
)

_START_SECONDS = 60.0
_POLL_SECONDS = 0.2
_TIMEOUT_SECONDS = 39.0
_CALL_TIMEOUT_SECONDS = 1.0
_CONNECT_SECONDS = 1.0
_IDLE_SECONDS = 8.0
_PAUSE_SECONDS = 0.5
# How many times longer than they are told callers keep a list of addresses.
# Those who get no new list keep the old one.
_KEEP_TIMES = (1, 1, 1, 3, 3, 10)
_EVENT_SECONDS = 0.03
_TOKENS_PER_EVENT = 4
_WORK_SECONDS = 0.045
# Shares of short streams and of calls; the other requests are long streams.
_SHORT_SHARE = 0.2
_CALL_SHARE = 0.4
_SHORT_TOKENS = 12
_LONG_TOKENS = (400, 2000)
_LOOKUP = CallBounds(idle_seconds=0, answer_seconds=1, max_bytes=65536)
_HEADER = 'x-chicoryshunt-request-id'
_TRIES = 3


class Timings:
    """When targets worked on each request."""

    def __init__(self) -> None:
        """Start without requests."""
        self.spans: dict[str, list[Span]] = {}

    @contextmanager
    def measure(self, request: str) -> Iterator[None]:
        """Record the time of the block as work on a request."""
        started = time.monotonic()
        try:
            yield
        finally:
            span = Span(started, time.monotonic())
            self.spans.setdefault(request, []).append(span)


class TimedEngine(StandInEngine):
    """Engine that writes as many tokens as a request asks for."""

    def __init__(self, name: str, timings: Timings) -> None:
        """Record its work in ``timings``."""
        super().__init__(name, {})
        self._timings = timings

    async def _stream(
        self, exchange: RelayedExchange, request: str, last: int
    ) -> None:
        tokens = int(
            exchange.get_header('x-chicoryshunt-token-count').split(',')[1]
        )
        with self._timings.measure(request):
            for number in range(last, tokens // _TOKENS_PER_EVENT):
                if not exchange.is_open:
                    return
                exchange.write(b'id: %d\ndata: tokens\n\n' % (number + 1))
                await asyncio.sleep(_EVENT_SECONDS)
        exchange.finish()


class TimedService(StandInService):
    """Service that works for some time on each call."""

    def __init__(self, name: str, timings: Timings) -> None:
        """Record its work in ``timings``."""
        super().__init__(name)
        self._timings = timings

    async def _answer(self, exchange: RelayedExchange, request: str) -> None:
        with self._timings.measure(request):
            await asyncio.sleep(_WORK_SECONDS)
        await super()._answer(exchange, request)


class Directory(msgspec.Struct):
    """Answer of a node to a caller that asks where to connect."""

    addresses: list[str]
    ttl_s: float


@dataclass(slots=True)
class Caller:
    """Sends requests to the nodes that a directory names, one by one."""

    world: World
    rng: Random
    name: str
    sent: list[Sent] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    pool: UpstreamPool = field(
        default_factory=lambda: UpstreamPool(_CONNECT_SECONDS)
    )
    addresses: list[str] = field(default_factory=list)
    asked_until: float = 0

    async def keep_asking(self, until: float) -> None:
        """Send requests until a time."""
        times = self.rng.choice(_KEEP_TIMES)
        for number in itertools.count():
            if time.monotonic() > until:
                break
            if time.monotonic() > self.asked_until:
                await self._resolve(times)
            if self.addresses:
                await self._ask(f'{self.name}-{number}')
            await asyncio.sleep(self.rng.random() * _PAUSE_SECONDS)
        self.pool.close_idle()

    async def _resolve(self, times: int) -> None:
        """Ask for addresses; keep the old ones if no node answers."""
        nodes = self.rng.sample(self.world.nodes, _TRIES)
        for node in nodes:
            try:
                found = await self._look_up(node)
            except ChicoryshuntError:
                continue
            self.addresses = found.addresses
            self.asked_until = time.monotonic() + found.ttl_s * times
            return

    async def _look_up(self, node: Node) -> Directory:
        uri = f'/chicoryshunt/resolve?name={HOST}&zone=luzon-a&region=r'
        _, body = await self.pool.call(
            f'{node.host}:{DIRECTORY}',
            OutgoingRequest(b'GET', uri.encode(), [(b'Host', b'node')]),
            _LOOKUP,
        )
        return msgspec.json.decode(body, type=Directory)

    async def _ask(self, request: str) -> None:
        draw = self.rng.random()
        if draw < _CALL_SHARE:
            kind = self.rng.choice((b'GET /reads/', b'POST /filings/'))
            outgoing = _build_request(kind, request, _CALL_TIMEOUT_SECONDS)
            await self._send(request, outgoing, _CALL_TIMEOUT_SECONDS)
            return
        tokens = self.rng.randint(*_LONG_TOKENS)
        if draw < _CALL_SHARE + _SHORT_SHARE:
            tokens = _SHORT_TOKENS
        outgoing = _build_request(
            b'POST /drafts/', request, _TIMEOUT_SECONDS, tokens
        )
        await self._send(request, outgoing, _TIMEOUT_SECONDS)

    async def _send(
        self, request: str, outgoing: OutgoingRequest, seconds: float
    ) -> None:
        address = self.rng.choice(self.addresses)
        try:
            upstream = await self.pool.acquire(address, _IDLE_SECONDS)
        except NotSentError:
            self.addresses.remove(address)
            return
        started = time.monotonic()
        status = 0
        try:
            answer = await upstream.send(outgoing, seconds)
        except (NotSentError, ConnectionLostError):
            upstream.abort()
        else:
            status = await _read_status(answer, seconds)
        self.statuses[status] += 1
        self.sent.append(
            Sent(
                request,
                address,
                Span(started, time.monotonic()),
                started + seconds,
                is_answered=bool(status),
            )
        )


async def _read_status(answer: Answer, seconds: float) -> int:
    """Return the status of a whole answer, 0 if it is cut."""
    try:
        async with asyncio.timeout(seconds):
            while True:
                piece = await answer.body.read()
                if isinstance(piece, BodyEnd):
                    return answer.status if piece is BodyEnd.whole else 0
    except TimeoutError:
        return 0


def _build_request(
    kind: bytes, request: str, seconds: float, tokens: int = 0
) -> OutgoingRequest:
    method, prefix = kind.split()
    headers = {
        'Host': HOST,
        'Authorization': f'Bearer {KEY}',
        _HEADER: request,
        'X-Chicoryshunt-Deadline-Ms': str(round(seconds * 1000)),
    }
    if tokens:
        headers |= {
            'X-Chicoryshunt-Model': 'm',
            'X-Chicoryshunt-Token-Count': f'200,{tokens}',
            'X-Chicoryshunt-Length-Hint': str(tokens),
            'X-Chicoryshunt-Prefix-Hash': f'ab:80,{request}:120',
        }
    return OutgoingRequest(
        method,
        prefix + request.encode(),
        [(name.encode(), text.encode()) for name, text in headers.items()],
        b'' if method == b'GET' else b'the body',
    )


@dataclass(frozen=True, slots=True)
class Size:
    """How much is run and stopped; times are in seconds."""

    seconds: float
    nodes: int
    callers: int
    gap: float


@dataclass(slots=True)
class Findings:
    """What a seed came to; status 0 counts requests without an answer."""

    lost: list[str]
    stops: int
    statuses: Counter[int]


async def soak(seed: int, size: Size, folder: Path) -> Findings:
    """Stop nodes one after the other, with callers who know of none."""
    rng = Random(seed)
    timings = Timings()
    async with _run_fleet(folder, size.nodes, timings) as world:
        await _wait_started(world)
        until = time.monotonic() + size.seconds
        callers = [
            Caller(world, Random(rng.random()), f'c{number}')
            for number in range(size.callers)
        ]
        asking = [
            asyncio.ensure_future(one.keep_asking(until)) for one in callers
        ]
        stops = await _stop_in_turn(world, rng, until, size.gap)
        await asyncio.gather(*asking)
    statuses: Counter[int] = Counter()
    for caller in callers:
        statuses.update(caller.statuses)
    requests = itertools.chain.from_iterable(one.sent for one in callers)
    return Findings(
        find_lost(requests, stops, timings.spans), len(stops), statuses
    )


@asynccontextmanager
async def _run_fleet(
    folder: Path, nodes: int, timings: Timings
) -> AsyncIterator[World]:
    config = build_config()
    for route in config['routes']:
        route['timeout_ms'] = _TIMEOUT_SECONDS * 1000
    services = [TimedService(f'p{one}', timings) for one in range(3)]
    engines = [TimedEngine(f'e{one}', timings) for one in range(6)]
    async with run_world(folder, nodes, [*services, *engines], config) as world:
        yield world


async def _wait_started(world: World) -> None:
    until = time.monotonic() + _START_SECONDS
    while not all(
        node.running is not None and node.running.has_served()
        for node in world.nodes
    ):
        if time.monotonic() > until:
            raise ChicoryshuntError('the nodes did not start')
        await asyncio.sleep(_POLL_SECONDS)


async def _stop_in_turn(
    world: World, rng: Random, until: float, gap: float
) -> list[Stop]:
    """Send SIGTERM to a random serving node now and then; restart it."""
    stops = []
    restarting = []
    while time.monotonic() < until:
        await asyncio.sleep(gap * rng.uniform(0.5, 1.5))
        serving = [
            node
            for node in world.nodes
            if node.is_wanted and node.running and node.running.has_served()
        ]
        if not serving:
            continue
        node = rng.choice(serving)
        stops.append(Stop(f'{node.host}:{CALLERS}', time.monotonic()))
        node.signal(signal.SIGTERM)
        restarting.append(asyncio.ensure_future(_restart(node)))
    await asyncio.gather(*restarting)
    return stops


async def _restart(node: Node) -> None:
    if node.running is not None:
        await node.running.wait_end()
    node.start()


async def _soak_in_turn(seeds: range, size: Size, keep: str) -> bool:
    all_held = True
    for seed in seeds:
        with tempfile.TemporaryDirectory() as name:
            findings = await soak(seed, size, Path(name))
            if findings.lost and keep:
                shutil.copytree(name, Path(keep) / f'stops-{seed}')
        all_held = all_held and not findings.lost
        print(
            f'seed {seed}: {findings.stops} stops, '
            + f'{dict(findings.statuses)}, {len(findings.lost)} lost',
            flush=True,
        )
        for text in findings.lost:
            print(f'    {text}', flush=True)
    return all_held


def main() -> None:
    """Play the seeds; exit 1 when a request was lost."""
    parse_flags(_FLAGS)
    size = Size(_FLAGS.seconds, _FLAGS.nodes, _FLAGS.callers, _FLAGS.gap)
    seeds = range(_FLAGS.seed, _FLAGS.seed + _FLAGS.seeds)
    all_held = run_until_done(lambda: _soak_in_turn(seeds, size, _FLAGS.keep))
    sys.exit(0 if all_held else 1)


if __name__ == '__main__':
    main()
