"""Helpers that run a node with a store, services and engines."""

import asyncio
import base64
import json
from collections.abc import AsyncIterator, Iterable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import Any

from chicoryshunt.connection.upstream import (
    Answer,
    BodyEnd,
    OutgoingRequest,
    UpstreamPool,
)
from chicoryshunt.platform import items
from chicoryshunt.platform.node import Node
from chicoryshunt.platform.settings import parse_settings
from lab.standins.loopback import take_host
from lab.standins.platform_files import (
    CALLERS,
    HOST,
    KEY,
    READINESS,
    build_config,
    build_entry,
    build_lines,
)
from lab.standins.platform_store import StandInStore
from lab.standins.platform_targets import StandInEngine, StandInService
from tests.reactor import listen

# Longer than a test may take, however busy the machine is.
LONG_TIMEOUT_MS = 600000
# A stall of the test process longer than the connect timeout of nodes would
# make a target that accepts connections unreachable.
_LONG_CONNECT_SECONDS = 600


@dataclass
class SmallPlatform:
    """A node with its store, two services and two engines."""

    store: StandInStore
    services: list[StandInService]
    engines: list[StandInEngine]
    addresses: dict[str, str]
    host: str
    pool: UpstreamPool
    running: asyncio.Future[None]

    async def ask(
        self,
        path: str,
        request: str = 'r1',
        method: str = 'GET',
        **headers: str,
    ) -> tuple[Answer, bytes]:
        """Send a caller's request and return the whole answer."""
        answer = await self.open(path, request, method, **headers)
        body = await answer.body.read_all(1 << 20)
        return answer, body if isinstance(body, bytes) else b'(cut)'

    async def open(
        self,
        path: str,
        request: str = 'r1',
        method: str = 'GET',
        **headers: str,
    ) -> Answer:
        """Send a caller's request and return the answer's headers."""
        named = {
            'Host': HOST,
            'Authorization': f'Bearer {KEY}',
            'X-Chicoryshunt-Request-Id': request,
            'X-Chicoryshunt-Deadline-Ms': '5000',
        }
        for name, text in headers.items():
            named[name.replace('_', '-')] = text
        upstream = await self.pool.open(f'{self.host}:{CALLERS}')
        outgoing = OutgoingRequest(
            method.encode(),
            path.encode(),
            [(one.encode(), text.encode()) for one, text in named.items()],
            b'the body' if method == 'POST' else b'',
        )
        return await upstream.send(outgoing, 10)

    def leave(self, name: str) -> None:
        """Publish that a target is leaving."""
        kind = 'engines' if name.startswith('e') else 'plain'
        entry = build_entry(kind, self.addresses[name], 'draining')
        self.store.put(f'servers/{name}', entry)


@asynccontextmanager
async def run_platform(
    store_down_seconds: float = 0,
    config: dict[str, Any] | None = None,
    later_config: dict[str, Any] | None = None,
    replaced: Mapping[str, str] | None = None,
    leaving: str = '',
) -> AsyncIterator[SmallPlatform]:
    """Run one node until the block ends; it is ready at the start.

    The store is down for the first ``store_down_seconds``. Stale reads of it
    do not have the ``later_config``. Targets that are ``replaced`` have
    another address; the one named ``leaving`` takes no requests.
    """
    fleet: dict[str, int] = {}
    services = [StandInService(f'p{one}') for one in range(2)]
    engines = [StandInEngine(f'e{one}', fleet) for one in range(2)]
    store = StandInStore()
    async with AsyncExitStack() as stack:
        addresses = {}
        for service in services:
            addresses[service.name] = await stack.enter_async_context(
                listen(service.site),
            )
        for engine in engines:
            await engine.server.start()
            stack.callback(engine.server.close)
            addresses[engine.name] = engine.server.address
        addresses.update(replaced or {})
        _publish(store, addresses, config or build_patient_config(), leaving)
        if later_config is not None:
            store.keep_snapshot()
            store.put('op/config', later_config)
        store_address = await stack.enter_async_context(listen(store.site))
        host = take_host()
        settings = parse_settings(build_lines(store_address, host), 'test')
        node = Node(settings, _LONG_CONNECT_SECONDS)
        running = await stack.enter_async_context(_run(node))
        platform = SmallPlatform(
            store,
            services,
            engines,
            addresses,
            host,
            UpstreamPool(1),
            running,
        )
        stack.callback(platform.pool.close_idle)
        store.is_down = bool(store_down_seconds)
        await asyncio.sleep(store_down_seconds)
        store.is_down = False
        await _wait_ready(host, platform.pool, running)
        yield platform


def build_patient_config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration whose routes never time out during a test."""
    config = build_config(version, **changes)
    for route in config['routes']:
        route['timeout_ms'] = LONG_TIMEOUT_MS
    return config


def build_item(key: str, entry: Any) -> items.Item:
    """Return an item of the store that holds an entry as JSON."""
    content = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
    return items.Item(
        key=key,
        value=base64.b64encode(content).decode(),
        revision=7,
    )


def build_generation(*parts: str) -> dict[str, str]:
    """Return the headers of a generation with these parts of its prompt."""
    return {
        'X_Chicoryshunt_Model': 'm',
        'X_Chicoryshunt_Token_Count': '1000,160',
        'X_Chicoryshunt_Prefix_Hash': ','.join(f'{part}:80' for part in parts),
        'X_Chicoryshunt_Deadline_Ms': str(LONG_TIMEOUT_MS),
    }


async def read_until_end(answer: Answer) -> tuple[bytes, BodyEnd]:
    """Return what arrives of a body, and whether it is whole."""
    received = bytearray()
    while True:
        piece = await answer.body.read()
        if isinstance(piece, BodyEnd):
            return bytes(received), piece
        received += piece


@asynccontextmanager
async def _run(node: Node) -> AsyncIterator[asyncio.Future[None]]:
    """Run a node, and end what it started: its own tasks outlive it."""
    earlier = asyncio.all_tasks()
    running = asyncio.ensure_future(node.run())
    try:
        yield running
    finally:
        await _cancel(asyncio.all_tasks() - earlier)


async def _cancel(tasks: Iterable[asyncio.Task[Any]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _publish(
    store: StandInStore,
    addresses: dict[str, str],
    config: dict[str, Any],
    leaving: str,
) -> None:
    store.put('op/config', config)
    for name, address in addresses.items():
        kind = 'engines' if name.startswith('e') else 'plain'
        state = 'draining' if name == leaving else 'ready'
        store.put(f'servers/{name}', build_entry(kind, address, state))


async def _wait_ready(
    host: str,
    pool: UpstreamPool,
    running: asyncio.Future[None],
) -> None:
    outgoing = OutgoingRequest(
        b'GET', b'/chicoryshunt/ready', [(b'Host', b'node')]
    )
    while True:
        if running.done():
            running.result()
        await asyncio.sleep(0.02)
        try:
            upstream = await pool.open(f'{host}:{READINESS}')
        except Exception:
            continue
        answer = await upstream.send(outgoing, 1)
        upstream.abort()
        if answer.status == 200:
            return
