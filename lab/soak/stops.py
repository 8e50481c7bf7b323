"""Planned stops of real nodes in series: ``python -m lab.soak.stops``."""

import asyncio
import itertools
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from absl import flags

from chicoryshunt.exceptions import ChicoryshuntError
from chicoryshunt.operations import run_until_done
from lab.soak.lost import GRACE_SECONDS, Reload, Stop, find_lost
from lab.soak.stop_callers import TIMEOUT_SECONDS, Caller
from lab.soak.stop_targets import TimedEngine, TimedService, Timings
from lab.soak.world import Node, World, run_world
from lab.standins.daemon import parse_flags
from lab.standins.platform_files import CALLERS, build_config

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
_END_POLL_SECONDS = 0.02
# Share of stops that follow a restart of the same node.
_SOON_SHARE = 0.4
_RELOADS_PER_STOP = 3


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

    lost: list[str] = field(default_factory=list)
    stops: int = 0
    kills: int = 0
    statuses: Counter[int] = field(default_factory=Counter)


async def soak(seed: int, size: Size, folder: Path) -> Findings:
    """Stop nodes one after the other, with callers who know of none."""
    rng = Random(seed)
    findings = Findings()
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
        sent = await _stop_in_turn(world, rng, until, size.gap, findings)
        await asyncio.gather(*asking)
        findings.lost += [
            f'{name} ended early' for name in world.find_early_ends()
        ]
    for caller in callers:
        findings.statuses.update(caller.statuses)
    requests = itertools.chain.from_iterable(one.sent for one in callers)
    findings.lost += find_lost(requests, sent, timings.spans)
    return findings


@asynccontextmanager
async def _run_fleet(
    folder: Path, nodes: int, timings: Timings
) -> AsyncIterator[World]:
    config = build_config()
    for route in config['routes']:
        route['timeout_ms'] = TIMEOUT_SECONDS * 1000
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
    world: World, rng: Random, until: float, gap: float, findings: Findings
) -> list[Stop | Reload]:
    """Send SIGTERM to a random serving node now and then; restart it.

    SIGHUP goes to any node, also while it starts or ends.
    """
    sent: list[Stop | Reload] = []
    restarting = []
    while time.monotonic() < until:
        for _ in range(_RELOADS_PER_STOP):
            await asyncio.sleep(gap * rng.uniform(0.5, 1.5) / _RELOADS_PER_STOP)
            sent.append(_reload(rng.choice(world.nodes)))
        serving = [node for node in world.nodes if _is_serving(node)]
        if not serving:
            continue
        node = rng.choice(serving)
        is_soon = rng.random() < _SOON_SHARE
        if is_soon:
            # The one that was restarted last is stopped once more.
            node = max(serving, key=_count_starts)
        findings.stops += 1
        sent.append(Stop(f'{node.host}:{CALLERS}', time.monotonic()))
        node.signal(signal.SIGTERM)
        restarting.append(asyncio.ensure_future(_restart(node, findings)))
    await asyncio.gather(*restarting)
    return sent


def _count_starts(node: Node) -> int:
    return node.starts


def _is_serving(node: Node) -> bool:
    running = node.running
    return node.is_wanted and running is not None and running.has_served()


def _reload(node: Node) -> Reload:
    reload = Reload(f'{node.host}:{CALLERS}', time.monotonic())
    if node.running is not None and node.running.log.stat().st_size:
        node.signal(signal.SIGHUP)
    return reload


async def _restart(node: Node, findings: Findings) -> None:
    """Kill a node after its grace, as the platform does, and start it."""
    running = node.running
    if running is None:
        return
    until = time.monotonic() + GRACE_SECONDS
    while running.is_alive and time.monotonic() < until:
        await asyncio.sleep(_END_POLL_SECONDS)
    if running.is_alive:
        findings.kills += 1
        running.process.kill()
    elif running.process.returncode:
        findings.lost.append(
            f'{node.name} ended with {running.process.returncode}'
        )
    await running.wait_end()
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
            + f'{findings.kills} kills, {dict(findings.statuses)}, '
            + f'{len(findings.lost)} lost',
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
