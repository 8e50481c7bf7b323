"""What callers and targets must not have seen, whatever failed."""

from collections import Counter
from collections.abc import Iterable, Iterator
from types import MappingProxyType

from lab.soak.callers import Ask, Outcome
from lab.soak.world import World

# How often a request may run; the route of reads allows two attempts.
_MOST_RUNS = MappingProxyType({Ask.filing: 1, Ask.read: 2})


def find_broken(world: World, outcomes: Iterable[Outcome]) -> list[str]:
    """Return every broken promise, in words."""
    runs = _count_runs(world)
    broken: list[str] = []
    for outcome in outcomes:
        found = _check(outcome, runs[outcome.request], world)
        broken.extend(
            f'{outcome.request} {outcome.ask.value} at {outcome.node}: {one}'
            for one in found
        )
    known = {one.request for one in outcomes}
    # A target refuses a request without an id, but should not get it either.
    arrived = {
        one for target in world.list_targets() for one in target.arrivals
    }
    broken.extend(
        f'{request}: nobody sent it{_find_sender(world, request)}'
        for request in sorted({*runs, *arrived} - known)
    )
    broken.extend(
        f'{node.name} sent a head with {line!r}'
        for node in world.nodes
        for line in sorted(node.callers.odd_lines - {b''})
    )
    return broken


def _find_sender(world: World, request: str) -> str:
    """Return what the target recorded of a request, for a message."""
    found = (one.arrivals.get(request) for one in world.list_targets())
    return next((f' ({one})' for one in found if one), '')


def _count_runs(world: World) -> Counter[str]:
    runs: Counter[str] = Counter()
    for service in world.services:
        runs.update(service.runs)
    for engine in world.engines:
        runs.update(set(engine.started))
    return runs


def _check(outcome: Outcome, runs: int, world: World) -> Iterator[str]:
    if runs > _MOST_RUNS.get(outcome.ask, runs):
        yield f'ran {runs} times'
    if outcome.ask is Ask.filing and outcome.is_refused and runs:
        yield f'refused with {outcome.status}, but it has run'
    if outcome.echoed not in {'', outcome.request}:
        yield f'got the answer to {outcome.echoed}'
    if outcome.status in {401, 403, 404}:
        yield f'denied with {outcome.status}'
    if outcome.status == 200:
        yield from _check_body(outcome, world)


def _check_body(outcome: Outcome, world: World) -> Iterator[str]:
    if outcome.ask is Ask.stream:
        yield from _check_stream(outcome, world.engines[0].length)
        return
    method = 'GET' if outcome.ask is Ask.read else 'POST'
    if outcome.is_whole and outcome.body != f'{method} {outcome.path}'.encode():
        yield f'got {outcome.body!r}'


def _check_stream(outcome: Outcome, length: int) -> Iterator[str]:
    *frames, rest = outcome.body.split(b'\n\n')
    for number, frame in enumerate(frames, start=1):
        if frame != b'id: %d\ndata: token %d' % (number, number):
            yield f'event {number} is {frame!r}'
            return
    if outcome.is_whole and (len(frames) != length or rest):
        yield f'whole after {len(frames)} of {length} events'
