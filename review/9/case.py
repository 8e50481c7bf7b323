"""DRAIN: a late write of an earlier heartbeat (see claim.txt)."""

import asyncio
import random
import sys
import time
from pathlib import Path

from world import (
    DRAIN_S,
    HEARTBEAT_S,
    STABLE_S,
    TROUBLE,
    Server,
    Unready,
    World,
    run_case,
)

_BEFORE_S = 6.0
_LOST_S = 4.5
_LOST_SHARE = 0.35
# Writes that are not answered are done 1 to 6 s later; this one is the last
# heartbeat of the server that leaves soon after the store is stable again.
_LATE_S = 5.3
_LINGER_S = 0.65


async def play(world: World) -> list[str]:
    server = world.servers[0]
    await asyncio.sleep(STABLE_S + 1)
    world.start_clients(24, 0.3)
    await asyncio.sleep(_BEFORE_S)
    if TROUBLE:
        await lose_answers(world, server)
    else:
        await asyncio.sleep(_LOST_S)
    await asyncio.sleep(STABLE_S + 0.05)
    await server.leave(_LINGER_S)
    await asyncio.sleep(1)
    if not all(node.is_running() for node in world.nodes):
        raise Unready('a node has ended')
    return judge(world, server)


async def lose_answers(world: World, server: Server) -> None:
    """Lose the answers of a share of the writes for some seconds."""
    world.note(f'the store loses answers of {_LOST_SHARE:.0%} of the writes')
    until = time.monotonic() + _LOST_S

    def draw() -> float | None:
        if random.random() < _LOST_SHARE:
            return random.uniform(1, 6)
        return None

    def draw_own() -> float | None:
        is_last = time.monotonic() + HEARTBEAT_S > until
        return _LATE_S if is_last else draw()

    for one in world.servers:
        one.find_lateness = draw
    server.find_lateness = draw_own
    written = server.written
    while time.monotonic() < until:
        written = server.written
        if time.monotonic() + HEARTBEAT_S > until and written > 0:
            break
        await asyncio.sleep(0.01)
    # The trouble ends right after that heartbeat, at the latest in time.
    while server.written == written and time.monotonic() < until:
        await asyncio.sleep(0.01)
    for one in world.servers:
        one.find_lateness = lambda: None
    world.note('the store answers all writes')


def judge(world: World, server: Server) -> list[str]:
    """Return the requests that came later than ``drain_ms`` after the ack."""
    if server.acknowledged_at is None:
        raise Unready('the report was not acknowledged')
    bound = server.acknowledged_at + DRAIN_S
    late = [
        run
        for run in world.runs
        if run.server == server.name
        and world.attempts[run.request].sent_at > bound
    ]
    if not late:
        return []
    attempts = [world.attempts[run.request] for run in late]
    last = max(run.at for run in late) - server.acknowledged_at
    lost = [one for one in attempts if not one.is_whole or one.status != 200]
    return [
        f'DRAIN: {len(late)} requests reached {server.name} later than '
        f'{DRAIN_S:g} s after its draining was acknowledged, the last one '
        f'{last:.2f} s after it; {len(lost)} of them were cut off by its end '
        'and not served',
    ]


if __name__ == '__main__':
    sys.exit(run_case(play, Path(__file__).resolve().parent))
