"""DRAIN by a server's own word while the store is down (see claim.txt)."""

import asyncio
import sys
import time
from collections import defaultdict
from pathlib import Path

from world import DRAIN_S, STABLE_S, TROUBLE, Unready, World, run_case

_BEFORE_S = 8.0
_DOWN_S = 8.0
_LEAVES_AFTER_S = 1.0
_LINGER_S = 3.0


async def play(world: World) -> list[str]:
    await asyncio.sleep(STABLE_S + 1)
    world.start_clients(24, 0.3)
    await asyncio.sleep(_BEFORE_S)
    if TROUBLE:
        world.note('the store is down')
        world.store.go_away()
    await asyncio.sleep(_LEAVES_AFTER_S)
    server = world.servers[0]
    world.spawn(server.leave(_LINGER_S))
    await asyncio.sleep(_DOWN_S - _LEAVES_AFTER_S)
    if TROUBLE:
        world.store.come_back()
        world.note('the store is back, with all that it held')
    until = time.monotonic() + 20
    while not server.has_ended and time.monotonic() < until:
        await asyncio.sleep(0.1)
    if not all(node.is_running() for node in world.nodes):
        raise Unready('a node has ended')
    return judge(world, server.name)


def judge(world: World, name: str) -> list[str]:
    """Return the requests that each machine sent too late, by its answers."""
    told: dict[str, float] = {}
    for one in world.attempts.values():
        if one.is_leaving and one.is_whole:
            known = told.get(one.node, one.answered_at)
            told[one.node] = min(known, one.answered_at)
    late: dict[str, list[float]] = defaultdict(list)
    lost = 0
    for run in world.runs:
        attempt = world.attempts[run.request]
        since = told.get(attempt.node)
        if run.server != name or since is None:
            continue
        if attempt.sent_at > since + DRAIN_S:
            late[attempt.node].append(attempt.sent_at - since)
            lost += not (attempt.is_whole and attempt.status == 200)
    if not late:
        return []
    count = sum(map(len, late.values()))
    longest = max(map(max, late.values()))
    return [
        f'DRAIN: {count} requests reached {name} from {len(late)} machines '
        f'later than {DRAIN_S:g} s after the machine had passed on an answer '
        f'with Server-Leaving, the last one {longest:.2f} s after it; {lost} of '
        'them were cut off by its end and not served',
    ]


if __name__ == '__main__':
    sys.exit(run_case(play, Path(__file__).resolve().parent))
