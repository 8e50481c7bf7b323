"""Load generator that reads many streams and measures their delays."""

import asyncio
import re
import sys
import time
from functools import partial
from typing import cast

import msgspec
from absl import flags
from hdrh.histogram import HdrHistogram

from lab.standins.daemon import parse_flags

_FLAGS = flags.FlagValues()
flags.DEFINE_string('host', '127.0.0.1', 'host', flag_values=_FLAGS)
flags.DEFINE_integer('port', 0, 'port of the relay to load', flag_values=_FLAGS)
flags.DEFINE_integer('streams', 190, 'streams', flag_values=_FLAGS)
flags.DEFINE_integer(
    'slow', 0, 'further streams that do not read', flag_values=_FLAGS
)
flags.DEFINE_float('warm', 1.0, 'warm-up in seconds', flag_values=_FLAGS)
flags.DEFINE_float('seconds', 5.0, 'measurement in seconds', flag_values=_FLAGS)

_REQUEST = (
    b'POST /v1/generate/m HTTP/1.1\r\nHost: a\r\nX-Team: t\r\n'
    b'Content-Length: 35\r\n\r\n{"prompt": "p", "max_tokens": 4096}'
)
_ACCEPTED = b'HTTP/1.1 200'
_RETRY_SECONDS = 0.5
_OPEN_TIMEOUT_SECONDS = 120.0
_INDEX_AND_TIME = re.compile(rb'"i":(\d+),"t":\["(\d+)"\]')
_HEAD_BYTES = 128
_MAX_DELAY_US = 10_000_000


class LoadReading(msgspec.Struct, frozen=True):
    """Results of one run; ``wrong`` counts tokens out of order."""

    tokens: int
    seconds: float
    wrong: int
    p50_ms: float
    p99_ms: float


class Load:
    """Counters of all streams of one run."""

    def __init__(self) -> None:
        """Start with counters at zero."""
        self.tokens = 0
        self.wrong = 0
        self.delays = HdrHistogram(1, _MAX_DELAY_US, 3)
        self.is_counting = False

    def record_delays(self, delays: list[int]) -> None:
        """Record tokens that arrived with delays in microseconds."""
        self.tokens += len(delays)
        for delay in delays:
            self.delays.record_value(max(1, delay))


class Caller(asyncio.Protocol):
    """Reader of one stream; checks that each token comes once, in order."""

    def __init__(self, load: Load) -> None:
        """Record into the counters of a load."""
        self.is_open: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._load = load
        self._next = 0
        self._unparsed = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.write(_REQUEST)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report a connection that closed before it was accepted."""
        self._set_open(is_open=False)

    def data_received(self, data: bytes) -> None:
        """Check the indexes of tokens and record their delays."""
        now = time.monotonic_ns() // 1000
        if not self.is_open.done():
            self._set_open(is_open=data.startswith(_ACCEPTED))
        text = self._unparsed + data
        found = list(_INDEX_AND_TIME.finditer(text))
        for one in found:
            self._check(int(one[1]))
        read = found[-1].end() if found else 0
        self._unparsed = text[max(read, len(text) - _HEAD_BYTES) :]
        if self._load.is_counting:
            self._load.record_delays([now - int(event[2]) for event in found])

    def close(self) -> None:
        """Close the connection."""
        self._transport.close()

    def _set_open(self, *, is_open: bool) -> None:
        if not self.is_open.done():
            self.is_open.set_result(is_open)

    def _check(self, index: int) -> None:
        if index != self._next:
            self._load.wrong += 1
        self._next = index + 1


class SlowCaller(Caller):
    """Caller that stops reading once it is accepted."""

    def _set_open(self, *, is_open: bool) -> None:
        super()._set_open(is_open=is_open)
        if is_open:
            self._transport.pause_reading()


async def open_stream(kind: type[Caller], load: Load) -> None:
    """Send a request; retry until it is accepted."""
    while True:
        _, caller = await asyncio.get_running_loop().create_connection(
            partial(kind, load),
            _FLAGS.host,
            _FLAGS.port,
        )
        if await caller.is_open:
            return
        caller.close()
        await asyncio.sleep(_RETRY_SECONDS)


async def run_load() -> LoadReading:
    """Open the streams, warm up, measure and return the results."""
    load = Load()
    kinds = (Caller,) * _FLAGS.streams + (SlowCaller,) * _FLAGS.slow
    opening = asyncio.gather(*(open_stream(kind, load) for kind in kinds))
    await asyncio.wait_for(opening, _OPEN_TIMEOUT_SECONDS)
    await asyncio.sleep(_FLAGS.warm)
    print('counting', flush=True)
    load.is_counting = True
    started = time.monotonic()
    await asyncio.sleep(_FLAGS.seconds)
    seconds = time.monotonic() - started
    load.is_counting = False
    return LoadReading(
        load.tokens,
        seconds,
        load.wrong,
        load.delays.get_value_at_percentile(50) / 1000,
        load.delays.get_value_at_percentile(99) / 1000,
    )


def main() -> None:
    """Run the load and print the results as JSON."""
    parse_flags(_FLAGS)
    reading = asyncio.run(run_load())
    sys.stdout.write(msgspec.json.encode(reading).decode())
    sys.stdout.flush()


if __name__ == '__main__':
    main()
