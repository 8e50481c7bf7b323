"""Engine process that sends events on each stream at a fixed interval."""

import asyncio
import time
from dataclasses import dataclass

from absl import flags

from chicoryshunt.connection.caller_api import GENERATION_HEADER
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.target_api import LoadReport
from lab.standins.daemon import parse_flags, serve_stand_in
from lab.standins.faults import Faults

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('port', 0, 'port on loopback', flag_values=_FLAGS)
flags.DEFINE_integer('size', 57, 'bytes per event', flag_values=_FLAGS)
flags.DEFINE_float('beat', 0.028, 'seconds between events', flag_values=_FLAGS)

_MEMORY_TOKENS = 1_000_000
_EVENT = b'data: {"g":"%s","i":%d,"t":["%d"]}'


@dataclass(eq=False, slots=True)
class Stream:
    """Stream to one reader, with the index of its next token."""

    exchange: Exchange
    name: bytes
    index: int = 0

    def step(self, now: int) -> None:
        """Send the next token, whose text is the time in microseconds."""
        self.exchange.write(build_event(self.name, self.index, now))
        self.index += 1


class Metronome:
    """Sends one event to every stream at each interval."""

    def __init__(self, faults: Faults) -> None:
        """Schedule the loop that sends events."""
        self._streams: set[Stream] = set()
        self._last_number = 0
        asyncio.get_event_loop().call_soon(self._spawn)

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request."""
        if exchange.segments == ('load',):
            exchange.respond_json(self._build_report())
            return
        if exchange.method != 'POST':
            exchange.respond_json({})
            return
        self._last_number += 1
        name = f'g{self._last_number:05}'
        exchange.set_header('content-type', 'text/event-stream')
        exchange.set_header(GENERATION_HEADER, name)
        exchange.write(b': accepted\n\n')
        stream = Stream(exchange, name.encode())
        self._streams.add(stream)
        await exchange.wait_disconnected()
        self._streams.discard(stream)

    def _build_report(self) -> LoadReport:
        return LoadReport(
            start=1,
            at=time.monotonic(),
            running=len(self._streams),
            waiting=0,
            memory_used=sum(stream.index for stream in self._streams),
            memory_tokens=_MEMORY_TOKENS,
            step_ms=_FLAGS.beat * 1000,
            preemptions=0,
        )

    def _spawn(self) -> None:
        self._stepper = asyncio.ensure_future(self._step_forever())

    async def _step_forever(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += _FLAGS.beat
            await asyncio.sleep(due - loop.time())
            now = time.monotonic_ns() // 1000
            for stream in tuple(self._streams):
                stream.step(now)


def build_event(name: bytes, index: int, now: int) -> bytes:
    """Return an event, padded with spaces to the size in the flags."""
    event = _EVENT % (name, index, now)
    return b'%s\n\n' % event.ljust(_FLAGS.size - len(b'\n\n'))


def main() -> None:
    """Run the engine."""
    parse_flags(_FLAGS)
    serve_stand_in(
        'metronome',
        _FLAGS.port,
        lambda faults: Metronome(faults).handle,
    )


if __name__ == '__main__':
    main()
