"""One runner sends bytes without end in the body of some answers."""

import asyncio
import time

from standins.http import ask, build_chunk, build_head
from standins.runners import Engine, Runner
from standins.world import ZONES, build_config, build_headers, run_case

_SECONDS = 40
_CALLS_PER_SECOND = 5
_STREAMS_PER_SECOND = 0.5
# The timeout of the route of the calls; their clients wait longer.
_TIMEOUT_SECONDS = 0.6
_CALL_DEADLINE_MS = 2000
_STREAM_DEADLINE_MS = 6000
# Grace of the rule after the timeout.
_SLACK_SECONDS = 0.5
# The rule counts so many requests, and more than this share.
_LATE = 8
_LATE_SHARE = 0.25
# As many engines as at the site; one does so with each third request.
_ENGINES = 6
_ENDLESS = 3
_FILLER = b': ping\n\n' * 8192


class EndlessEngine(Engine):
    """Engine some of whose answers go on without end and without an event."""

    is_endless = False
    received = 0

    async def run(self, request, name, writer):
        """Answer, or send comments until the caller closes the channel."""
        self.received += 1
        if not self.is_endless or self.received % _ENDLESS:
            await super().run(request, name, writer)
            return
        self.record.write(f'{self.id} runs {name}; its body has no end')
        writer.write(
            build_head(
                200,
                [
                    *self.get_echo(request),
                    ('Content-Type', 'text/event-stream'),
                    ('Transfer-Encoding', 'chunked'),
                ],
            )
        )
        sent = 0
        try:
            while True:
                writer.write(build_chunk(_FILLER))
                await writer.drain()
                await asyncio.sleep(0)
                sent += len(_FILLER)
        finally:
            self.record.write(f'{self.id} sent {sent} bytes for {name}')


async def play(world, trouble):
    """Return what was broken."""
    Engine.events = 10
    endless = EndlessEngine('i-engine-0', 'luzon-a', world.record)
    endless.is_endless = trouble
    runners = [endless]
    for number in range(1, _ENGINES):
        zone = ZONES[number % len(ZONES)]
        runners.append(Engine(f'i-engine-{number}', zone, world.record))
    for number, zone in enumerate(ZONES):
        runners.append(Runner(f'i-runner-{number}', zone, world.record))
    for runner in runners:
        runner.address = await world.serve(runner.serve)
        world.publish(runner)
    await world.start(3, build_config())
    until = time.monotonic() + _SECONDS
    loads = []
    for node in world.nodes:
        loads += [
            _load(world, node, until, 1 / _CALLS_PER_SECOND, _call),
            _load(world, node, until, 1 / _STREAMS_PER_SECOND, _stream),
        ]
    took = [one for part in await asyncio.gather(*loads) for one in part]
    calls = [seconds for seconds in took if seconds is not None]
    lasting = [one for one in calls if one > _TIMEOUT_SECONDS]
    late = [one for one in calls if one > _TIMEOUT_SECONDS + _SLACK_SECONDS]
    world.record.write(
        f'{len(lasting)} of {len(calls)} calls lasted longer than their '
        f'timeout; {len(late)} had no final answer 0.5 s after it'
    )
    if len(late) >= _LATE and len(late) > _LATE_SHARE * len(lasting):
        return [
            f'CONFIG: {len(late)} of {len(lasting)} calls that lasted longer '
            f'than timeout_ms had no final answer 0.5 s after it'
        ]
    return []


async def _load(world, node, until, pause, send):
    """Send requests to a node at a steady rate; return what each took."""
    sending = []
    while time.monotonic() < until:
        sending.append(asyncio.ensure_future(send(world, node, len(sending))))
        await asyncio.sleep(pause)
    return await asyncio.gather(*sending)


async def _call(world, node, number):
    """Send a call; return the seconds until its final answer."""
    name = f'{number:08x}{node.host.rpartition(".")[2]}'
    return await _send(world, node, name, 'confirm', _CALL_DEADLINE_MS)


async def _stream(world, node, number):
    """Send a generation, which the check leaves out."""
    name = f'{number:08x}5{node.host.rpartition(".")[2]}'
    await _send(world, node, name, 'verdict', _STREAM_DEADLINE_MS)


async def _send(world, node, name, route, deadline_ms):
    world.record.write(f'{name} ({route}) sent to {node.name}')
    sent = time.monotonic()
    headers = build_headers(name, deadline_ms, engine=route == 'verdict')
    asked = ask(
        node.host, world.ports['front'], 'POST', f'/{route}/2f', headers, b'{}'
    )
    try:
        answer = await asyncio.wait_for(asked, deadline_ms / 1000)
    except TimeoutError:
        world.record.write(f'{name} has no answer when its client leaves')
        return deadline_ms / 1000
    took = time.monotonic() - sent
    world.record.write(
        f'{name} answered after {took:.3f} s: {answer.status} {answer.end}'
    )
    return took


run_case(play, '.')
