"""A client resumes a stream, and the runner breaks off its first event."""

import asyncio
import signal

from standins.http import ask, build_chunk, build_head, reset
from standins.runners import Engine
from standins.world import ZONES, build_config, build_headers, run_case

_ROUNDS = 3
# One of so many nodes is killed in each round.
_NODES = 6
_ENGINES = 6
# Other generations, so that 3 answers of more than 150 are broken off.
_OTHERS_PER_SECOND = 5
_PAUSE_SECONDS = 7
_EVENTS_BEFORE_KILL = 12
_DEADLINE_MS = 6000


class BreakingEngine(Engine):
    """Engine that breaks off chosen requests in the middle of an event."""

    broken_off = frozenset()

    async def run(self, request, name, writer):
        """Stream, or break the first run of a chosen request off."""
        if name not in BreakingEngine.broken_off:
            await super().run(request, name, writer)
            return
        BreakingEngine.broken_off -= {name}
        last = int(request.get('Last-Event-Id') or 0)
        self.record.write(
            f'{self.id} runs {name} after event {last}, and breaks off in the '
            f'middle of event {last + 1}'
        )
        head = build_head(
            200,
            [
                *self.get_echo(request),
                ('Content-Type', 'text/event-stream'),
                ('Transfer-Encoding', 'chunked'),
            ],
        )
        await asyncio.sleep(self.first_seconds)
        writer.write(head + build_chunk(b'id: %d\nda' % (last + 1)))
        await writer.drain()
        await asyncio.sleep(0.02)
        reset(writer)


async def play(world, trouble):
    """Return what was broken."""
    for number in range(_ENGINES):
        zone = ZONES[number % len(ZONES)]
        runner = BreakingEngine(f'i-engine-{number}', zone, world.record)
        runner.address = await world.serve(runner.serve)
        world.publish(runner)
    await world.start(_NODES, build_config())
    others = asyncio.ensure_future(_load(world))
    broken = []
    for number in range(_ROUNDS):
        await asyncio.sleep(_PAUSE_SECONDS)
        first, second = world.nodes[number], world.nodes[_ROUNDS + number]
        broken += await _play_round(world, number, first, second, trouble)
    await asyncio.sleep(_PAUSE_SECONDS)
    others.cancel()
    return broken


async def _load(world):
    """Send other generations to all nodes in turn."""
    sending = set()
    number = 0
    while True:
        await asyncio.sleep(1 / _OTHERS_PER_SECOND)
        number += 1
        node = world.nodes[number % len(world.nodes)]
        name = f'{number:08x}dd'
        task = asyncio.ensure_future(_try_send(world, node, name))
        sending.add(task)
        task.add_done_callback(sending.discard)


async def _try_send(world, node, name):
    try:
        await _send(world, node, name, None, [], lambda _: None)
    except TimeoutError:
        world.record.write(f'{name} has no whole answer at its deadline')


async def _play_round(world, number, first, second, trouble):
    """Kill the first node in the middle of a stream; resume at the second."""
    seen = []
    enough = asyncio.Event()

    def count(_):
        if len(seen) >= _EVENTS_BEFORE_KILL:
            enough.set()

    name = f'{number:08x}aa'
    begun = asyncio.ensure_future(_send(world, first, name, None, seen, count))
    if trouble:
        await asyncio.wait_for(enough.wait(), _DEADLINE_MS / 1000)
        first.process.send_signal(signal.SIGKILL)
        world.record.write(f'{first.name} is killed')
    await begun
    if begun.result().end == 'whole':
        return _check(world, name, 0, seen)
    last = seen[-1]
    again = f'{number:08x}bb'
    BreakingEngine.broken_off |= {again}
    rest = []
    await _send(world, second, again, last, rest, lambda _: None)
    return _check(world, again, last, rest)


async def _send(world, node, name, last, seen, notify):
    """Send a request; append the ids of its events to ``seen``."""
    headers = build_headers(name, _DEADLINE_MS, engine=True)
    if last is not None:
        headers.append(('Last-Event-Id', str(last)))
    text = '' if last is None else f' with Last-Event-Id: {last}'
    world.record.write(f'{name} sent to {node.name}{text}')
    buffered = bytearray()

    def read(piece):
        buffered.extend(piece)
        while b'\n\n' in buffered:
            event, _, rest = bytes(buffered).partition(b'\n\n')
            buffered[:] = rest
            seen.append(int(event.split(b'\n')[0].partition(b':')[2]))
        notify(piece)

    answer = await asyncio.wait_for(
        ask(
            node.host,
            world.ports['front'],
            'POST',
            '/verdict/2f',
            headers,
            b'{}',
            on_piece=read,
        ),
        _DEADLINE_MS / 1000,
    )
    world.record.write(
        f'{name} answered: {answer.status} {answer.end}, events {seen}'
    )
    return answer


def _check(world, name, last, seen):
    """Return a line if the events don't go on after ``last``."""
    again = [one for one in seen if one <= last]
    if again:
        return [
            f'ORDER: {name} was to go on after event {last}, and got the events '
            f'{again[0]} to {again[-1]} once more'
        ]
    if seen != list(range(last + 1, last + 1 + len(seen))):
        return [f'ORDER: the events of {name} have a gap: {seen}']
    return []


run_case(play, '.')
