"""Node processes with stand-ins of the platform around them, on loopback."""

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Iterator, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from chicoryshunt.connection.loop_transport import open_server
from chicoryshunt.platform.settings import SETTINGS_VARIABLE
from lab.soak.datagrams import Datagrams
from lab.soak.proxy import Proxy
from lab.standins.loopback import take_host
from lab.standins.platform_files import (
    CALLERS,
    PEERS,
    build_config,
    build_entry,
    build_lines,
)
from lab.standins.platform_store import StandInStore
from lab.standins.platform_targets import StandInEngine, StandInService

_ROOT = Path(__file__).resolve().parents[2]
_STOP_SECONDS = 12
# Streams last long enough for moves off an engine that leaves.
_EVENTS = 100
_PLACES = ('luzon-a', 'luzon-b', 'luzon-c')
_POLL_SECONDS = 0.1

Target = StandInService | StandInEngine


@dataclass(frozen=True, slots=True)
class Running:
    """One process of a node, with a log of its own."""

    process: 'subprocess.Popen[bytes]'
    log: Path

    @property
    def is_alive(self) -> bool:
        """Say whether the process has not ended."""
        return self.process.poll() is None

    def has_served(self) -> bool:
        """Say whether the process got as far as serving."""
        return b'event=node_started' in self.log.read_bytes()

    async def wait_end(self) -> int | None:
        """Return the exit status; ``None`` if it had to be killed here."""
        for _ in range(round(_STOP_SECONDS / _POLL_SECONDS)):
            if not self.is_alive:
                return self.process.returncode
            await asyncio.sleep(_POLL_SECONDS)
        self.process.kill()
        self.process.wait()
        return None


@dataclass(slots=True)
class Node:
    """One node, with the proxies before it and before the store."""

    name: str
    host: str
    settings: Path
    callers: Proxy
    store: Proxy
    running: Running | None = None
    starts: int = 0
    is_wanted: bool = False
    early_ends: int = 0

    def has_ended_early(self) -> bool:
        """Say whether the last process ended though nobody stopped it."""
        running = self.running
        is_dead = running is not None and not running.is_alive
        return self.is_wanted and is_dead

    def start(self) -> None:
        """Start the process unless it runs."""
        if self.running is not None and self.running.is_alive:
            return
        self.early_ends += self.has_ended_early()
        self.is_wanted = True
        self.starts += 1
        path = self.settings.with_suffix(f'.{self.starts}.log')
        with path.open('wb') as log:
            process = subprocess.Popen(
                (sys.executable, '-m', 'chicoryshunt.platform'),
                cwd=_ROOT,
                env={**os.environ, SETTINGS_VARIABLE: str(self.settings)},
                stdout=log,
                stderr=log,
            )
        self.running = Running(process, path)

    def signal(self, number: signal.Signals) -> Running | None:
        """Send a signal to the process; return it if it still ran."""
        running = self.running
        if running is None or not running.is_alive:
            return None
        if number in {signal.SIGTERM, signal.SIGKILL}:
            self.is_wanted = False
        running.process.send_signal(number)
        return running


@dataclass(slots=True)
class World:
    """Everything that a soak runs and disturbs."""

    folder: Path
    store: StandInStore = field(default_factory=StandInStore)
    nodes: list[Node] = field(default_factory=list)
    services: list[StandInService] = field(default_factory=list)
    engines: list[StandInEngine] = field(default_factory=list)
    proxies: dict[str, Proxy] = field(default_factory=dict)
    version: int = 1
    # Changes to the configuration that stay until they are removed.
    changes: dict[str, Any] = field(default_factory=dict)
    # None: nodes reach each other without a proxy.
    datagrams: Datagrams | None = None

    def list_targets(self) -> list[Target]:
        """Return services and engines."""
        return [*self.services, *self.engines]

    def publish(self, target: Target, state: str = 'ready') -> None:
        """Write what a target says of itself."""
        kind = 'engines' if target in self.engines else 'plain'
        entry = build_entry(kind, self.proxies[target.name].address, state)
        self.store.put(f'servers/{target.name}', entry)

    def publish_rules(self, **changes: Any) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        config = build_config(self.version, **{**self.changes, **changes})
        self.store.put('op/config', config)

    def find_early_ends(self) -> list[str]:
        """Return the nodes that ended though nobody stopped them."""
        return [
            node.name
            for node in self.nodes
            if node.early_ends or node.has_ended_early()
        ]


@asynccontextmanager
async def run_world(
    folder: Path,
    node_count: int,
    targets: Sequence[Target] = (),
    config: dict[str, Any] | None = None,
    datagrams: Datagrams | None = None,
) -> AsyncIterator[World]:
    """Start everything and stop it by its ids, however the block ends.

    By default there are three services and three engines.
    """
    world = World(folder, datagrams=datagrams)
    for target in targets or _build_targets():
        if isinstance(target, StandInEngine):
            world.engines.append(target)
        else:
            world.services.append(target)
    async with AsyncExitStack() as stack:
        for target in world.list_targets():
            address = await _serve(stack, target.site)
            proxy = Proxy(address)
            await stack.enter_async_context(proxy.listen())
            world.proxies[target.name] = proxy
            world.publish(target)
        world.store.put('op/config', config or build_config())
        store = await _serve(stack, world.store.site)
        hosts = await _take_hosts(stack, datagrams, node_count)
        for number in range(node_count):
            node = await _build_node(stack, world, store, hosts, number)
            world.nodes.append(node)
        stack.push_async_callback(_stop, world)
        for node in world.nodes:
            node.start()
        yield world


def _build_targets() -> Iterator[Target]:
    copies: dict[str, int] = {}
    yield from (StandInService(f'p{one}') for one in range(3))
    for one in range(3):
        engine = StandInEngine(f'e{one}', copies)
        engine.length = _EVENTS
        yield engine


async def _serve(stack: AsyncExitStack, site: Any) -> str:
    server = await open_server(site, take_host(), 0)
    stack.callback(server.close)
    host, port = server.sockets[0].getsockname()
    return f'{host}:{port}'


async def _take_hosts(
    stack: AsyncExitStack, datagrams: Datagrams | None, count: int
) -> dict[str, str]:
    """Return the hosts where nodes listen, each with what it announces."""
    hosts = {}
    for _ in range(count):
        host = take_host()
        hosts[host] = host
        if datagrams is not None:
            listening = datagrams.listen(host)
            hosts[host] = await stack.enter_async_context(listening)
    return hosts


async def _build_node(
    stack: AsyncExitStack,
    world: World,
    store: str,
    hosts: Mapping[str, str],
    number: int,
) -> Node:
    """Build a node; ``hosts`` maps where nodes listen to what they announce."""
    host = tuple(hosts)[number]
    announced = hosts[host]
    callers = Proxy(f'{host}:{CALLERS}')
    await stack.enter_async_context(callers.listen())
    to_store = Proxy(store)
    await stack.enter_async_context(to_store.listen())
    seeds = [f'{one}:{PEERS}' for one in tuple(hosts.values())[:3]]
    addresses = {'ip': announced, 'listen.control': f'{announced}:{PEERS}'}
    lines = build_lines(
        to_store.address,
        host,
        node_name=f'node-{number}',
        zone=_PLACES[number % len(_PLACES)],
        seeds=','.join(seeds),
        **addresses,
    )
    settings = world.folder / f'node-{number}.conf'
    settings.write_text(lines, encoding='utf-8')
    return Node(f'node-{number}', host, settings, callers, to_store)


async def _stop(world: World) -> None:
    for node in world.nodes:
        node.signal(signal.SIGCONT)
        running = node.signal(signal.SIGKILL)
        if running is not None:
            await running.wait_end()
