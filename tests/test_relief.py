"""Runs that are spread before their engine has to leave."""

from hypothesis import given
from hypothesis import strategies as st

from chicoryshunt.dispatch.handover import (
    DEFAULT_NOTICE_SECONDS,
    Leaving,
    Link,
)
from chicoryshunt.dispatch.relief import Crowd, plan_relief
from chicoryshunt.types import RequestId
from tests.fleet_builders import build_engine, build_run

PACE = 100.0
LINK = Link(bytes_per_token=262144, bytes_per_second=4.75e9)


def _build_crowd(name: str, count: int, age: float = 2) -> Crowd:
    runs = [build_run(age=age) for _ in range(count)]
    leaving = [
        Leaving(RequestId(f'{name}-{one}'), run) for one, run in enumerate(runs)
    ]
    return Crowd(build_engine(name, *runs), tuple(leaving))


def test_a_new_engine_relieves_the_fullest() -> None:
    """Replays full engines beside one that has just been added.

    The next one that is reclaimed would lose half of its runs.
    """
    crowds = [_build_crowd('full', 9), _build_crowd('half', 5)]
    crowds.append(_build_crowd('new', 0))

    reliefs = plan_relief(crowds, LINK, PACE)

    assert reliefs[0].source == 'full'
    assert reliefs[0].destination == 'new'


def test_engines_that_empty_in_time_stay() -> None:
    few = _build_crowd('few', 3)
    assert few.measure_emptying(LINK, PACE) <= DEFAULT_NOTICE_SECONDS

    assert not plan_relief([few, _build_crowd('new', 0)], LINK, PACE)


def test_equally_full_engines_are_left_alone() -> None:
    crowds = [_build_crowd('one', 8), _build_crowd('other', 8)]

    assert not plan_relief(crowds, LINK, PACE)


def test_runs_that_are_nearly_done_stay() -> None:
    crowds = [_build_crowd('full', 9, age=21.9), _build_crowd('new', 0)]

    assert not plan_relief(crowds, LINK, PACE)


@given(
    counts=st.lists(st.integers(0, 12), min_size=2, max_size=9),
    age=st.integers(0, 20),
)
def test_moves_make_engines_more_alike(counts: list[int], age: int) -> None:
    crowds = [
        _build_crowd(f'e{index}', count, age)
        for index, count in enumerate(counts)
    ]
    by_name = {one.engine.target: one for one in crowds}

    reliefs = plan_relief(crowds, LINK, PACE)

    links = [one.source for one in reliefs]
    links += [one.destination for one in reliefs]
    assert len(set(links)) == len(links)
    for relief in reliefs:
        source = by_name[relief.source]
        destination = by_name[relief.destination]
        assert len(destination.runs) + 1 < len(source.runs)
