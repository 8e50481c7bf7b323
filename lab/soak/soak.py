"""Real nodes under randomized faults: ``python -m lab.soak.soak --seed=1``."""

import asyncio
import shutil
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random

from absl import flags

from chicoryshunt.operations import run_until_done
from lab.soak.callers import Ask, Callers
from lab.soak.datagrams import Datagrams
from lab.soak.faults import (
    Planned,
    draw_datagrams,
    draw_odd_answers,
    draw_plan,
    play,
)
from lab.soak.promises import find_broken
from lab.soak.regressions import REGRESSIONS
from lab.soak.speeds import draw_speeds
from lab.soak.world import World, run_world
from lab.standins.daemon import parse_flags

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('seed', 1, 'first seed', flag_values=_FLAGS)
flags.DEFINE_integer('seeds', 1, 'seeds that are played', flag_values=_FLAGS)
flags.DEFINE_float('seconds', 8, 'faults of a seed', flag_values=_FLAGS)
flags.DEFINE_integer('nodes', 5, 'node processes', flag_values=_FLAGS)
flags.DEFINE_integer('callers', 12, 'callers at once', flag_values=_FLAGS)
flags.DEFINE_float('rate', 1.5, 'faults a second', flag_values=_FLAGS)
flags.DEFINE_bool(
    'regressions',
    default=False,
    help='play the seeds that once failed',
    flag_values=_FLAGS,
)
flags.DEFINE_string(
    'keep', '', 'folder for logs of seeds that failed', flag_values=_FLAGS
)

# Every node has to serve again so long after the last fault.
_RECOVERY_SECONDS = 20.0
_START_SECONDS = 20.0
_POLL_SECONDS = 0.2
# Runs that were begun for callers who left have ended after this time.
_SETTLE_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class Size:
    """How much a soak runs and breaks; times are in seconds."""

    seconds: float
    nodes: int
    callers: int
    rate: float


@dataclass(slots=True)
class Findings:
    """What a seed came to."""

    broken: list[str]
    requests: int
    served: int
    faults: Counter[str]
    datagrams: Counter[str]


async def soak(seed: int, size: Size, folder: Path) -> Findings:
    """Play the faults of a seed and check every promise."""
    rng = Random(seed)
    datagrams = Datagrams(Random(f'losses {seed}'))
    async with run_world(folder, size.nodes, datagrams=datagrams) as world:
        draw_speeds(seed, world.engines)
        callers = Callers(world, Random(rng.random()))
        broken = await _wait_served(callers, _START_SECONDS, 'after the start')
        plan = draw_plan(
            rng,
            size.seconds,
            size.rate,
            size.nodes,
            len(world.list_targets()),
        )
        plan += draw_odd_answers(rng, size.seconds, size.rate, world)
        plan += draw_datagrams(seed, size.seconds, size.nodes)
        broken += await _disturb(world, callers, plan, size.callers)
        broken += await _wait_served(
            callers,
            _RECOVERY_SECONDS,
            'after the last fault',
        )
        await asyncio.sleep(_SETTLE_SECONDS)
        broken += find_broken(world, callers.outcomes)
        ended = world.find_early_ends()
        broken += [f'{name}: ended by itself' for name in ended]
        callers.pool.close_idle()
    return Findings(
        broken,
        len(callers.outcomes),
        sum(one.is_served for one in callers.outcomes),
        Counter(type(one.fault).__name__ for one in plan),
        datagrams.counts,
    )


async def _disturb(
    world: World,
    callers: Callers,
    plan: list[Planned],
    count: int,
) -> list[str]:
    asking = [
        asyncio.ensure_future(callers.keep_asking()) for _ in range(count)
    ]
    try:
        played = await asyncio.gather(*(play(world, one) for one in plan))
    finally:
        callers.is_stopping = True
    await asyncio.gather(*asking)
    return [text for found in played for text in found]


async def _wait_served(
    callers: Callers,
    seconds: float,
    when: str,
) -> list[str]:
    """Ask every node for everything until it serves it."""
    until = time.monotonic() + seconds
    missing = [(node, ask) for node in callers.world.nodes for ask in Ask]
    while missing and time.monotonic() < until:
        answers = await asyncio.gather(
            *(callers.ask(node, ask) for node, ask in missing),
        )
        missing = [
            one
            for one, outcome in zip(missing, answers, strict=True)
            if not outcome.is_served
        ]
        await asyncio.sleep(_POLL_SECONDS)
    return [
        f'{node.name} does not serve a {ask.value} {when}'
        for node, ask in missing
    ]


async def soak_in_turn(seeds: Sequence[int], size: Size, keep: str) -> bool:
    """Play seeds and print what they came to; say whether all held.

    Logs of a seed that failed are kept in a folder, if one is named.
    """
    all_held = True
    for seed in seeds:
        with tempfile.TemporaryDirectory() as name:
            findings = await soak(seed, size, Path(name))
            if findings.broken and keep:
                shutil.copytree(name, Path(keep) / f'seed-{seed}')
        all_held = all_held and not findings.broken
        _show(seed, findings)
    return all_held


def _show(seed: int, findings: Findings) -> None:
    print(
        f'seed {seed}: {findings.requests} requests, '
        + f'{findings.served} served, {findings.faults.total()} faults, '
        + f'{len(findings.broken)} promises broken; datagrams: '
        + ', '.join(
            f'{findings.datagrams[kind]} {kind}'
            for kind in ('lost', 'late', 'cut')
        ),
        flush=True,
    )
    for text in findings.broken:
        print(f'    {text}', flush=True)


def main() -> None:
    """Play the seeds; exit 1 when a promise was broken."""
    parse_flags(_FLAGS)
    size = Size(_FLAGS.seconds, _FLAGS.nodes, _FLAGS.callers, _FLAGS.rate)
    seeds: Sequence[int] = range(_FLAGS.seed, _FLAGS.seed + _FLAGS.seeds)
    if _FLAGS.regressions:
        seeds = [one.seed for one in REGRESSIONS]
    all_held = run_until_done(lambda: soak_in_turn(seeds, size, _FLAGS.keep))
    sys.exit(0 if all_held else 1)


if __name__ == '__main__':
    main()
