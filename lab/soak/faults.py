"""The faults of a soak, drawn from a seed."""

import asyncio
import signal
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random

from lab.soak.proxy import Proxy, Trouble
from lab.soak.splits import DisturbDatagrams, Split, disturb_datagrams
from lab.soak.world import Node, Running, Target, World
from lab.standins.odd_answers import Head
from lab.standins.platform_targets import (
    LastAnswer,
    StandInEngine,
    StandInService,
)

_MODES = ('fail', 'cut', 'foreign', 'full', 'stall')
_LEAST_SECONDS = 0.3
_MOST_SECONDS = 2.5
# Nodes and targets that a fault may hit at the same time.
_MOST_HIT = 2
# A stream of an engine that is not slow lasts about so long; all are unframed
# after this time.
_STREAM_SECONDS = 1.0
# Shares of datagrams that are lost, and of the others that are late.
_LEAST_SHARE = 0.05
_MOST_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class Signal:
    """Stop, kill or pause nodes, and let them go on later."""

    nodes: tuple[int, ...]
    number: signal.Signals


@dataclass(frozen=True, slots=True)
class Disturb:
    """Disturb the connections to nodes, to targets or to the store."""

    place: str
    indices: tuple[int, ...]
    trouble: Trouble


@dataclass(frozen=True, slots=True)
class Misbehave:
    """Let a target fail."""

    target: int
    mode: str


@dataclass(frozen=True, slots=True)
class Leave:
    """Let a target announce its end, go, and come back."""

    target: int


@dataclass(frozen=True, slots=True)
class LoseStore:
    """Let the store turn everyone away, and forget its history."""


@dataclass(frozen=True, slots=True)
class ChangeRules:
    """Publish another version."""


@dataclass(frozen=True, slots=True)
class AnswerOddly:
    """Let a target send heads that are not correct."""

    target: int
    head: Head


@dataclass(frozen=True, slots=True)
class LeaveUnframed:
    """Let an engine leave whose streams end with their connections."""

    engine: int
    last_answer: LastAnswer


Fault = (
    Signal
    | Disturb
    | Misbehave
    | Leave
    | LoseStore
    | ChangeRules
    | AnswerOddly
    | LeaveUnframed
    | DisturbDatagrams
    | Split
)


@dataclass(frozen=True, slots=True)
class Planned:
    """A fault with its time and length, in seconds."""

    at: float
    seconds: float
    fault: Fault


def draw_plan(
    rng: Random,
    seconds: float,
    rate: float,
    nodes: int,
    targets: int,
) -> list[Planned]:
    """Return ``rate`` faults a second, overlapping and in series."""
    plan = []
    for _ in range(round(seconds * rate)):
        length = rng.uniform(_LEAST_SECONDS, _MOST_SECONDS)
        at = rng.uniform(0, max(seconds - length, 0))
        plan.append(Planned(at, length, _draw(rng, nodes, targets)))
    return sorted(plan, key=lambda one: one.at)


def draw_odd_answers(
    rng: Random,
    seconds: float,
    rate: float,
    world: World,
) -> list[Planned]:
    """Return half as many faults of answers.

    They are drawn apart, so that the other faults of a seed stay the same.
    """
    heads = [one for one in Head if one not in {Head.correct, Head.unframed}]
    plan = []
    for _ in range(round(seconds * rate / 2)):
        length = rng.uniform(_LEAST_SECONDS, _MOST_SECONDS)
        at = rng.uniform(0, max(seconds - length - _STREAM_SECONDS, 0))
        choices: tuple[Fault, ...] = (
            AnswerOddly(
                rng.randrange(len(world.list_targets())), rng.choice(heads)
            ),
            LeaveUnframed(
                rng.randrange(len(world.engines)), rng.choice(tuple(LastAnswer))
            ),
        )
        plan.append(Planned(at, length, rng.choice(choices)))
    return plan


def draw_datagrams(seed: int, seconds: float, nodes: int) -> list[Planned]:
    """Return lost and late datagrams, and a split into halves.

    They are drawn apart, so that the other faults of a seed stay the same.
    """
    rng = Random(f'datagrams {seed}')
    share = rng.uniform(_LEAST_SHARE, _MOST_SHARE)
    side = tuple(rng.sample(range(nodes), nodes // 2))
    length = rng.uniform(seconds / 3, seconds / 2)
    return [
        Planned(0, seconds, DisturbDatagrams(share)),
        Planned(rng.uniform(0, seconds - length), length, Split(side)),
    ]


def _draw(rng: Random, nodes: int, targets: int) -> Fault:
    hit = tuple(rng.sample(range(nodes), rng.randint(1, _MOST_HIT)))
    troubles = [one for one in Trouble if one is not Trouble.none]
    place = rng.choice(('callers', 'store', 'target'))
    choices: tuple[Fault, ...] = (
        Signal(hit, signal.SIGKILL),
        Signal(hit, signal.SIGTERM),
        Signal(hit, signal.SIGSTOP),
        Disturb(place, hit, rng.choice(troubles)),
        Disturb(place, hit, rng.choice(troubles)),
        Misbehave(rng.randrange(targets), rng.choice(_MODES)),
        Leave(rng.randrange(targets)),
        LoseStore(),
        ChangeRules(),
    )
    return rng.choice(choices)


async def play(world: World, planned: Planned) -> list[str]:
    """Cause a fault and undo it; return what was broken by itself."""
    await asyncio.sleep(planned.at)
    match planned.fault:
        case Signal(indices, number):
            hit = [world.nodes[index] for index in indices]
            return await _play_signal(hit, number, planned.seconds)
        case Disturb():
            await _play_disturbance(world, planned.fault, planned.seconds)
        case Misbehave(index, mode):
            target = world.list_targets()[index]
            _misbehave(target, mode)
            await asyncio.sleep(planned.seconds)
            _misbehave(target, 'well')
        case Leave(index):
            target = world.list_targets()[index]
            await _play_leaving(world, target, planned.seconds)
        case LoseStore():
            world.store.is_down = True
            await asyncio.sleep(planned.seconds)
            world.store.compact()
            world.store.is_down = False
        case ChangeRules():
            world.publish_rules()
        case DisturbDatagrams() | Split():
            with disturb_datagrams(world, planned.fault):
                await asyncio.sleep(planned.seconds)
        case AnswerOddly() | LeaveUnframed():
            await _play_answers(world, planned.fault, planned.seconds)
    return []


async def _play_answers(
    world: World, fault: AnswerOddly | LeaveUnframed, seconds: float
) -> None:
    match fault:
        case AnswerOddly(index, head):
            with _set_head(world.list_targets()[index], head):
                await asyncio.sleep(seconds)
        case LeaveUnframed(index, last_answer):
            engine = world.engines[index]
            with _set_head(engine, Head.unframed):
                await asyncio.sleep(_STREAM_SECONDS * engine.slowness)
                engine.last_answer = last_answer
                await _play_leaving(world, engine, seconds)
            engine.last_answer = LastAnswer.whole


async def _play_signal(
    nodes: list[Node],
    number: signal.Signals,
    seconds: float,
) -> list[str]:
    signalled = [(node, node.signal(number)) for node in nodes]
    await asyncio.sleep(seconds)
    if number is signal.SIGSTOP:
        for node in nodes:
            node.signal(signal.SIGCONT)
        return []
    broken = []
    for node, running in signalled:
        status = None if running is None else await running.wait_end()
        if running is not None and not _is_orderly(running, number, status):
            broken.append(f'{node.name}: ended with {status} after {number}')
        node.start()
    return broken


def _is_orderly(
    running: Running,
    number: signal.Signals,
    status: int | None,
) -> bool:
    """Say whether a process ended as it should after a signal.

    One that is still loading has no handler for SIGTERM yet and serves
    nobody; one that another fault killed meanwhile could not help it.
    """
    if status == -signal.SIGTERM:
        return number is signal.SIGTERM and not running.has_served()
    return status in {0, -signal.SIGKILL}


async def _play_disturbance(
    world: World,
    fault: Disturb,
    seconds: float,
) -> None:
    proxies = list(_list_proxies(world, fault))
    for proxy in proxies:
        proxy.disturb(fault.trouble)
    await asyncio.sleep(seconds)
    for proxy in proxies:
        proxy.disturb(Trouble.none)


def _list_proxies(world: World, fault: Disturb) -> Iterator[Proxy]:
    targets = world.list_targets()
    for index in fault.indices:
        match fault.place:
            case 'callers':
                yield world.nodes[index].callers
            case 'store':
                yield world.nodes[index].store
            case _:
                target = targets[index % len(targets)]
                yield world.proxies[target.name]


def _misbehave(target: Target, mode: str) -> None:
    match target:
        case StandInService():
            target.mode = mode
        case StandInEngine():
            target.breaks_off = mode in {'cut', 'fail'}
            target.has_room = mode != 'full'
            # A false health check: the report says that the engine stays.
            target.is_healthy = mode != 'foreign'


@contextmanager
def _set_head(target: Target, head: Head) -> Iterator[None]:
    target.site.head = head
    try:
        yield
    finally:
        target.site.head = Head.correct


async def _play_leaving(world: World, target: Target, seconds: float) -> None:
    _tell_state(target, 'draining')
    world.publish(target, 'draining')
    await asyncio.sleep(seconds)
    world.store.delete(f'servers/{target.name}')
    await asyncio.sleep(_LEAST_SECONDS)
    _tell_state(target, 'ready')
    world.publish(target)


def _tell_state(target: Target, state: str) -> None:
    """Let an engine tell the same as its entry, for the store may be away."""
    if isinstance(target, StandInEngine):
        target.is_healthy = state == 'ready'
        target.reported_state = state
