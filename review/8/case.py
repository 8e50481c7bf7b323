"""DRAIN after the store came back from a copy (see claim.txt)."""

import asyncio
import sys
from pathlib import Path

from world import DRAIN_S, STABLE_S, TROUBLE, Server, Unready, World, run_case

_BEFORE_S = 6.5
# The servers of the plain service are replaced one after the other.
_RELEASE_GAP_S = 1.5
_RELEASE_LINGER_S = 0.65
_CALM_S = 0.5
_AWAY_S = 1.0
_COPY_AGE_S = 6.5
_LINGER_S = 4.0


async def play(world: World) -> list[str]:
    await asyncio.sleep(STABLE_S + 1)
    world.start_clients(24, 0.3)
    await asyncio.sleep(_BEFORE_S)
    for old in world.servers[:3]:
        newest = await world.replace_server(old, _RELEASE_LINGER_S)
        await asyncio.sleep(_RELEASE_GAP_S)
    while not all(old.has_ended for old in world.servers[:3]):
        await asyncio.sleep(0.05)
    await asyncio.sleep(_CALM_S)
    if TROUBLE:
        world.note(f'the store is away, at revision {world.store.revision}')
        world.store.go_away()
        await asyncio.sleep(_AWAY_S)
        world.store.come_back(_COPY_AGE_S)
        world.note(
            f'the store is back from a copy that is {_COPY_AGE_S:g} s old: '
            f'era {world.store.era}, revision {world.store.revision}'
        )
    # The store has been stable, and so every machine in touch, since then.
    await asyncio.sleep(STABLE_S + 0.2)
    await newest.leave(_LINGER_S, reports=False)
    await asyncio.sleep(1)
    if not all(node.is_running() for node in world.nodes):
        raise Unready('a node has ended')
    return judge(world, newest)


def judge(world: World, server: Server) -> list[str]:
    """Return the requests that came later than ``drain_ms`` after the ack."""
    if server.acknowledged_at is None:
        raise Unready('the removal was not acknowledged')
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
        f'{DRAIN_S:g} s after the removal of its entry was acknowledged, the '
        f'last one {last:.2f} s after it; {len(lost)} of them were cut off by '
        'its end and not served',
    ]


if __name__ == '__main__':
    sys.exit(run_case(play, Path(__file__).resolve().parent))
