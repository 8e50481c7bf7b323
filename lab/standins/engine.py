"""Stand-in process for a model engine."""

import asyncio
import random
import time
from collections import deque
from http import HTTPStatus

import msgspec
from absl import flags

from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.target_api import (
    Accepted,
    CacheEvent,
    CacheEvents,
    GenerateOrder,
    LoadReport,
    NotAccepted,
)
from lab.standins.batching import Batch, Ending, EngineSpec, Job, Step
from lab.standins.daemon import parse_flags, serve_stand_in
from lab.standins.engine_orders import OrderExecutor
from lab.standins.engine_stream import Generation, TokenStream
from lab.standins.faults import FaultKind, Faults
from lab.standins.runs import RunLedger

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('port', 0, 'port on loopback', flag_values=_FLAGS)
flags.DEFINE_integer('seed', 1, 'seed of random lengths', flag_values=_FLAGS)
flags.DEFINE_integer('slots', 64, 'maximum of running jobs', flag_values=_FLAGS)
flags.DEFINE_integer('memory', 60_000, 'memory in tokens', flag_values=_FLAGS)
flags.DEFINE_integer(
    'cold', 250, 'steps until the engine is warm', flag_values=_FLAGS
)
flags.DEFINE_float('step', 0.02, 'seconds per step', flag_values=_FLAGS)
flags.DEFINE_float(
    'lag', 0.5, 'delay of load reports in seconds', flag_values=_FLAGS
)
flags.DEFINE_float('load', 0, 'seconds to execute an order', flag_values=_FLAGS)
flags.DEFINE_string(
    'weights', '', 'URL of the weight store', flag_values=_FLAGS
)
flags.DEFINE_boolean(
    'fenced', True, 'refuse orders with an old fence', flag_values=_FLAGS
)

_LENGTH_MU = 5.5
_LENGTH_SIGMA = 1.3
_MAX_LENGTH = 30_000
_MAX_GENERATIONS = 4096
_IDLE_SECONDS = 0.002
_EVENT_LOSS_PROBABILITY = 0.1
_LENGTH_PREFIX = 'length='
_KEY_PREFIX = 'key='
_NS_PER_MICROSECOND = 1000


class Engine:
    """State and HTTP interface of the engine."""

    def __init__(self, faults: Faults) -> None:
        """Schedule the loop that runs the steps of the batch."""
        self.faults = faults
        spec = EngineSpec(
            slots=_FLAGS.slots,
            memory_tokens=_FLAGS.memory,
            step_seconds=_FLAGS.step,
            cold_steps=_FLAGS.cold,
        )
        self._rng = random.Random(_FLAGS.seed)
        self.batch = Batch(spec, self._rng)
        self.started = 0
        self.orders = OrderExecutor(
            self.batch.make_cold,
            is_fenced=_FLAGS.fenced,
            load_seconds=_FLAGS.load,
            weights_url=_FLAGS.weights,
        )
        self.start_count = time.time_ns() // _NS_PER_MICROSECOND
        self.ledger = RunLedger()
        self._generations: dict[str, Generation] = {}
        self._events: deque[CacheEvent] = deque(maxlen=1024)
        self._reports: deque[LoadReport] = deque(maxlen=1024)
        asyncio.get_event_loop().call_soon(self._spawn)

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request."""
        method = exchange.method
        match (method, *exchange.segments):
            case ('POST', 'generate'):
                await self._generate(exchange)
            case ('GET', 'generations', name):
                await self._resume(exchange, name)
            case ('DELETE', 'generations', name):
                self._cancel(exchange, name)
            case ('GET', 'load'):
                exchange.respond_json(self._find_report())
            case ('GET', 'cache-events'):
                exchange.respond_json(CacheEvents(tuple(self._events)))
            case ('GET', 'ledger'):
                exchange.respond_json(self.ledger)
            case ('POST', 'orders'):
                await self.orders.execute(exchange)
            case ('GET', 'orders'):
                exchange.respond_json(self.orders.ledger)
            case _:
                exchange.respond_json(None, status=HTTPStatus.NOT_FOUND)

    def _spawn(self) -> None:
        self._stepper = asyncio.ensure_future(self._step_forever())

    async def _step_forever(self) -> None:
        while True:
            if self.faults.is_on(FaultKind.cold):
                self.batch.make_cold()
            step = self.batch.step()
            await asyncio.sleep(step.seconds if step.emitted else _IDLE_SECONDS)
            self._publish(step)

    def _publish(self, step: Step) -> None:
        for emitted in step.emitted:
            generation = self._generations[emitted.name]
            generation.append(f't{emitted.produced - 1}')
        for finished in step.finished:
            self.ledger.end()
            self._generations[finished.name].end(_find_ending(finished))
        for cached in step.cached:
            self._record_cache_event(cached, held=True)
        for evicted in step.evicted:
            self._record_cache_event(evicted, held=False)
        self._reports.append(self._build_report(step.seconds))

    def _record_cache_event(self, prefix: str, *, held: bool) -> None:
        if self._rng.random() > _EVENT_LOSS_PROBABILITY:
            self._events.append(CacheEvent(prefix, held))

    def _build_report(self, step_seconds: float) -> LoadReport:
        return LoadReport(
            start=self.start_count,
            at=asyncio.get_event_loop().time(),
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            memory_used=self.batch.memory_used,
            memory_tokens=self.batch.spec.memory_tokens,
            step_ms=step_seconds * 1000,
            preemptions=self.batch.preemptions,
            tokens=self.batch.tokens,
            fence=self.orders.fence,
            role=self.orders.role,
            model_version=self.orders.model_version,
            adapters=self.orders.adapters,
            is_loading=self.orders.is_loading,
        )

    def _find_report(self) -> LoadReport:
        oldest = asyncio.get_event_loop().time() - _FLAGS.lag
        while len(self._reports) > 1 and self._reports[1].at <= oldest:
            self._reports.popleft()
        return self._reports[0] if self._reports else self._build_report(0)

    async def _generate(self, exchange: Exchange) -> None:
        try:
            order = msgspec.json.decode(exchange.body, type=GenerateOrder)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            exchange.respond_json(
                NotAccepted(str(error)),
                HTTPStatus.BAD_REQUEST,
            )
            return
        if self.faults.is_on(FaultKind.refuse):
            exchange.respond_json(
                NotAccepted('told to refuse'),
                HTTPStatus.SERVICE_UNAVAILABLE,
            )
            return
        generation = self._start(order)
        await self._stream(exchange, generation, 0)

    def _start(self, order: GenerateOrder) -> Generation:
        self.started += 1
        name = f'{self.start_count:08x}-{self.started}'
        job = Job(
            name=name,
            prompt_tokens=max(1, order.prompt_tokens),
            length=self._draw_length(order.prompt),
            max_tokens=order.max_tokens,
            priority=order.priority,
            prefix=order.prefix,
            submitted=asyncio.get_event_loop().time(),
        )
        generation = Generation(name, job)
        self._generations[name] = generation
        self._drop_ended()
        self.ledger.begin(_find_key(order.prompt))
        self.batch.submit(job)
        return generation

    def _drop_ended(self) -> None:
        if len(self._generations) <= _MAX_GENERATIONS:
            return
        for name, generation in self._generations.items():
            if generation.ending is not None:
                self._generations.pop(name)
                return

    def _draw_length(self, prompt: str) -> int:
        if prompt.startswith(_LENGTH_PREFIX):
            return int(prompt.removeprefix(_LENGTH_PREFIX).split()[0])
        drawn = self._rng.lognormvariate(_LENGTH_MU, _LENGTH_SIGMA)
        return max(1, min(_MAX_LENGTH, int(drawn)))

    async def _resume(self, exchange: Exchange, name: str) -> None:
        generation = self._generations.get(name)
        if generation is None:
            exchange.respond_json(
                NotAccepted('unknown generation'),
                HTTPStatus.NOT_FOUND,
            )
            return
        start = int(exchange.get_query('from', '0'))
        await self._stream(exchange, generation, start)

    def _cancel(self, exchange: Exchange, name: str) -> None:
        if self.batch.cancel(name):
            self.ledger.end()
        generation = self._generations.get(name)
        if generation is not None:
            generation.end(Ending.cancelled)
        exchange.respond_json(Accepted(name))

    async def _stream(
        self,
        exchange: Exchange,
        generation: Generation,
        start: int,
    ) -> None:
        stream = TokenStream(exchange, generation, start, self.faults)
        await stream.serve()


def _find_key(prompt: str) -> str:
    _, _, rest = prompt.partition(_KEY_PREFIX)
    return rest.split(maxsplit=1)[0] if rest else ''


def _find_ending(job: Job) -> Ending:
    return Ending.length if job.length > job.max_tokens else Ending.stop


def main() -> None:
    """Run the engine."""
    parse_flags(_FLAGS)
    serve_stand_in(
        'engine',
        _FLAGS.port,
        lambda faults: Engine(faults).handle,
    )


if __name__ == '__main__':
    main()
