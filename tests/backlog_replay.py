"""Replays a rush of long answers on a virtual clock, without a network."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from random import Random
from unittest.mock import MagicMock

from chicoryshunt.dispatch.engines import (
    PREFILL_TOKENS_PER_SECOND,
    Engine,
    Placed,
    choose_engine,
)
from chicoryshunt.dispatch.forecast import RunView
from chicoryshunt.dispatch.reserve import Reserve, find_reserve
from chicoryshunt.dispatch.waiting import WaitingRequest, WaitQueue
from chicoryshunt.metrics import Metrics
from chicoryshunt.relay.placing import Placer
from chicoryshunt.rules.model import RequestType, Route, RouteId
from chicoryshunt.rules.routing import AdmittedRequest, RuleIndex
from chicoryshunt.types import RequestId, ServiceId
from tests.fleet_builders import (
    HOME,
    build_engine,
    build_fact,
    build_route,
    build_rules,
    build_run,
)

SERVICE = ServiceId('plain')
TOKEN_RATE = 100.0
STEP = 0.03
_ENGINES = tuple(f'e{one}' for one in range(8))


def build_stream_route(target_latency: float, priority: int) -> Route:
    """Return the route of a generation."""
    return build_route(
        f'/{priority}/',
        request_type=RequestType.generation,
        target_latency=target_latency,
        priority=priority,
    )


LONG = build_stream_route(4, 2)
SHORT = build_stream_route(1.5, 0)


@dataclass(slots=True)
class Arrival:
    """A request, when it was placed and when its prompt is prefilled."""

    route: Route
    view: RunView
    waiting: WaitingRequest
    reserve: Reserve | None
    placed: float = -1
    first_event: float = field(default=0)

    def is_late(self) -> bool:
        """Return whether the first event misses the target latency."""
        due = self.waiting.since + self.route.target_latency
        return self.first_event > due


def draw_rush(routes: tuple[Route, ...]) -> Iterator[Arrival]:
    """Yield 8 s of requests; prefilling them takes 1.2 times as long."""
    rng = Random(7)
    now: float = 0
    while now < 8:
        now += rng.expovariate(25.6)
        route, view = SHORT, build_run(rng.randint(400, 1800), 24, 60)
        if rng.random() * 10 < 7:
            route, view = LONG, build_run(rng.randint(1500, 4500), 300, 700)
        name = RequestId(f'{now:09.5f}')
        waiting = WaitingRequest(
            name, route.priority, now, route.target_latency
        )
        reserve = find_reserve(routes, SERVICE, route, route.priority, now, 8)
        yield Arrival(route, view, waiting, reserve)


def replay(routes: tuple[Route, ...] = ()) -> list[Arrival]:
    """Place a rush on 8 engines; return the requests, all placed."""
    arrivals = list(draw_rush(routes))
    queue: WaitQueue[WaitingRequest] = WaitQueue()
    busy_until = dict.fromkeys(_ENGINES, float(0))
    runs: dict[str, list[Arrival]] = {name: [] for name in _ENGINES}
    left = list(arrivals)
    now: float = 0
    while left:
        now += STEP
        arrived = [one for one in left if one.waiting.since <= now]
        for one in arrived:
            target = _place(one, queue, runs, now)
            if target is None:
                continue
            left.remove(one)
            queue.remove(one.waiting)
            one.placed = now
            prefill = one.view.prompt_tokens / PREFILL_TOKENS_PER_SECOND
            one.first_event = max(now, busy_until[target]) + prefill
            busy_until[target] = one.first_event
            runs[target].append(one)
        for name, present in runs.items():
            runs[name] = [one for one in present if _is_running(one, now)]
    return arrivals


def count_late(arrivals: list[Arrival]) -> Counter[RouteId]:
    """Return how many answers of each route are late."""
    return Counter(one.route.name for one in arrivals if one.is_late())


def _place(
    one: Arrival,
    queue: WaitQueue[WaitingRequest],
    runs: dict[str, list[Arrival]],
    now: float,
) -> str | None:
    queue.add(one.waiting)
    engines = [
        build_engine(
            name,
            *(replace(run.view, age=now - run.placed) for run in present),
        )
        for name, present in runs.items()
    ]
    bound = None if one.reserve is None else one.reserve.max_backlog
    choice = choose_engine(engines, one.view, HOME, TOKEN_RATE, bound)
    one.waiting.is_blocked = not isinstance(choice, Placed)
    if not isinstance(choice, Placed):
        return None
    held = one.reserve and one.reserve.find_hold(choice, now)
    one.waiting.can_wait = bool(
        one.reserve and one.reserve.can_wait(choice, now)
    )
    if held or not queue.may_proceed(one.waiting, now):
        return None
    return choice.target


def _is_running(one: Arrival, now: float) -> bool:
    generating = one.view.expected_tokens / TOKEN_RATE
    return now < one.first_event + generating


def build_context(*runs: RunView, is_refilled: bool = False) -> MagicMock:
    """Return what a placer needs of its context, with one engine.

    Its runs age unless others replace them.
    """
    get_time = asyncio.get_running_loop().time
    context = MagicMock(
        metrics=Metrics(),
        planned_stop=None,
        data_centre=HOME,
        token_rate=TOKEN_RATE,
    )
    context.clock.now = get_time
    context.catalog.rules = RuleIndex(build_rules(LONG, SHORT))
    context.prompt_guard.find_refusal.return_value = None
    context.list_candidates.return_value = [build_fact('e1')]
    context.workload.list_runs = list

    def build_engines(*_: object) -> list[Engine]:
        passed = 0 if is_refilled else get_time()
        aged = [replace(run, age=run.age + passed) for run in runs]
        return [build_engine('e1', *aged, memory=90000)]

    context.build_planned_engines = build_engines
    return context


async def find_engine(
    context: MagicMock, prompt: int = 3000, patience: float = 8
) -> object:
    """Return what a placer finds for a request that arrives now."""
    now = context.clock.now()
    stream = MagicMock(
        request=RequestId('r1'),
        service=SERVICE,
        view=build_run(prompt),
        route=LONG,
        deadline=now + 10,
        placed_at=0,
    )
    stream.admitted = AdmittedRequest(LONG, None)
    stream.incoming.received_at = now
    stream.find_latest_start = lambda: now + patience
    stream.find_latest_end = lambda *_: now + 8
    return await Placer(context).find_engine(stream, ())
