"""Another writer keeps an entry with a field of another type."""

import asyncio
import random
import uuid

from standins.http import ask
from standins.runners import Engine, Runner
from standins.world import build_config, build_headers, run_case

_SECONDS = 30
_HEARTBEAT_SECONDS = 1.2
_CALLS_PER_SECOND = 5
# The rule counts machines, two at least, on which so many processes end.
_ENDS = 3
_MACHINES = 2


async def play(world, trouble):
    """Return what was broken."""
    rng = random.Random(1)
    for number, zone in enumerate(('luzon-a', 'luzon-b', 'luzon-c')):
        for kind in (Runner, Engine):
            name = f'i-{kind.__name__.lower()}-{number}'
            runner = kind(name, zone, world.record)
            runner.address = await world.serve(runner.serve)
            world.publish(runner)
    await world.start(3, build_config())
    loads = [asyncio.ensure_future(_load(world, node)) for node in world.nodes]
    for number in range(round(_SECONDS / _HEARTBEAT_SECONDS)):
        _write_other_entry(world, number, rng, trouble)
        await asyncio.sleep(_HEARTBEAT_SECONDS)
    for load in loads:
        load.cancel()
    ends = {node.name: node.own_ends for node in world.nodes}
    world.record.write(f'processes that ended by themselves: {ends}')
    failing = [name for name, count in ends.items() if count >= _ENDS]
    if len(failing) < _MACHINES:
        return []
    return [
        f'Fault: processes ended by themselves three times or more on '
        f'{len(failing)} of {len(ends)} machines: {ends}'
    ]


def _write_other_entry(world, number, rng, trouble):
    """Write the entry of another writer, which names no runner to use."""
    # The field holds an identifier of 128 bits instead of a number of slots.
    identifier = uuid.UUID(int=rng.getrandbits(128), version=4).int
    entry = {
        'service': 'another-service',
        'address': '127.0.0.1:9',
        'zone': 'luzon-a',
        'version': 'v1',
        'slots': identifier if trouble else number + 1,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'sequence': number,
        'born': 1700000000000,
    }
    world.store.put('servers/other-writer', entry)
    world.record.write(f'another writer writes its entry: {entry}')


async def _load(world, node):
    """Send calls to a node, as its clients do."""
    tasks = set()
    number = 0
    while True:
        await asyncio.sleep(1 / _CALLS_PER_SECOND)
        number += 1
        task = asyncio.ensure_future(_send(world, node, number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def _send(world, node, number):
    name = f'{number:08x}{node.host.rpartition(".")[2]}'
    world.record.write(f'{name} sent to {node.name}')
    asked = ask(
        node.host,
        world.ports['front'],
        'POST',
        '/confirm/2f',
        build_headers(name, 600),
        b'{}',
    )
    try:
        answer = await asyncio.wait_for(asked, 0.6)
    except TimeoutError:
        world.record.write(f'{name} has no answer at its deadline')
        return
    world.record.write(f'{name} answered: {answer.status} {answer.end}')


run_case(play, '.')
