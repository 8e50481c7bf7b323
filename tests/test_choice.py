"""Tests of the choice of a target and of refusing early."""

from dataclasses import replace

from chicoryshunt.policy.admission import Fit, Limit, NoMemory, NoSlot
from chicoryshunt.policy.choice import (
    Candidate,
    PrefixHints,
    choose_target,
    compute_overflow_chance,
)
from chicoryshunt.policy.occupancy import predict_occupancy
from chicoryshunt.policy.overload import (
    DrainRate,
    WaitAccepted,
    WaitTooLong,
    check_wait,
)
from chicoryshunt.policy.placement import Demand, Misfit, check_room
from chicoryshunt.policy.shares import TeamShares
from chicoryshunt.policy.slots import Headroom
from chicoryshunt.policy.survival import LengthEstimator
from chicoryshunt.policy.tracker import (
    Closed,
    Exclusive,
    Granted,
    Leased,
    Quota,
    TargetTracker,
    get_target_memory,
)
from chicoryshunt.types import RequestId, Seconds, TargetId, TeamId
from tests.builders import build_running, build_spec

FREE = Candidate(
    target=TargetId('free'),
    part_used=0.5,
    overflow_chance=0,
    pending_tokens=0,
    waiting=0,
    step_seconds=Seconds(0.025),
)
LIMIT = Limit(64, 60_000)


def choose(*candidates: Candidate, prompt_tokens: int = 500) -> str:
    choice = choose_target(candidates, prompt_tokens)
    assert choice is not None
    return choice.target


def test_avoids_what_makes_a_request_stall() -> None:
    other = replace(FREE, target=TargetId('other'))
    for worse in (
        replace(other, pending_tokens=5000),
        replace(other, waiting=5),
        replace(other, step_seconds=Seconds(0.2)),
        replace(other, overflow_chance=0.5),
        replace(other, is_local=False),
        replace(other, part_used=0.9),
    ):
        assert choose(worse, FREE) == 'free'


def test_a_cached_prefix_beats_a_little_load() -> None:
    cached = replace(FREE, target=TargetId('cached'), cached_chance=0.9)
    busier = replace(cached, part_used=0.7)
    assert choose(FREE, busier, prompt_tokens=2000) == 'cached'
    assert choose(FREE, busier, prompt_tokens=20) == 'free'


def test_no_candidates_no_choice() -> None:
    assert choose_target((), 100) is None


def test_less_room_is_more_risk() -> None:
    chances = [compute_overflow_chance(free) for free in (0, 1, 2, 4)]
    assert chances == sorted(chances, reverse=True)


def test_hints_fade_and_are_bounded() -> None:
    hints = PrefixHints()
    hints.record('a', 0, held=True)
    assert hints.estimate('a', 0) == 1
    assert hints.estimate('a', 30) < 1
    hints.record('a', 31, held=False)
    assert not hints.estimate('a', 31)
    for number in range(1000):
        hints.record(f'p{number}', 40, held=True)
    assert not hints.estimate('p0', 40)
    hints.clear()
    assert not hints.estimate('p999', 40)


def test_refuses_what_would_wait_past_its_use() -> None:
    assert isinstance(check_wait(Seconds(1), Seconds(3)), WaitAccepted)
    verdict = check_wait(Seconds(5), Seconds(3))
    assert isinstance(verdict, WaitTooLong)
    assert verdict.retry_after == Seconds(2)
    endless = check_wait(Seconds(1e6), Seconds(3))
    assert isinstance(endless, WaitTooLong)
    assert endless.retry_after <= 30


def test_predicts_waits_from_what_was_drained() -> None:
    drain = DrainRate()
    assert not drain.predict_wait(10_000)
    for tenth in range(100):
        drain.record(10, tenth / 10, is_waiting=True)
    assert 8 < drain.predict_wait(1000) < 13


def test_idle_time_is_no_slowness() -> None:
    drain = DrainRate()
    for tenth in range(20):
        drain.record(10, tenth / 10, is_waiting=True)
    before = drain.predict_wait(1000)
    drain.record(0, 1000, is_waiting=False)
    assert drain.predict_wait(1000) == before


def check(room: Quota, max_tokens: int = 30_000) -> type[Fit | Misfit]:
    book = TargetTracker(TargetId('t'), LengthEstimator())
    book.quota = room
    request = predict_occupancy([build_running(0, 100)])
    demand = Demand(build_spec(max_tokens=max_tokens), request, margin=1)
    return type(check_room(book, demand, 0))


def test_rooms_decide_by_lease_or_limit() -> None:
    assert check(Closed('out')) is Closed
    assert check(Exclusive(LIMIT)) is Fit
    assert check(Leased(Headroom(1, 5000), LIMIT)) is Fit
    assert check(Leased(Headroom(0, 5000), LIMIT)) is NoSlot
    assert check(Leased(Headroom(1, 50), LIMIT)) is NoMemory


def test_a_leased_part_is_judged_over_time() -> None:
    """Counting expected peaks alone admits more than the part can hold."""
    book = TargetTracker(TargetId('t'), LengthEstimator())
    book.quota = Leased(Headroom(30, 5000), LIMIT)
    request = predict_occupancy([build_running(0, 100)])
    demand = Demand(build_spec(), request, margin=1)
    assert isinstance(check_room(book, demand, 0), Fit)
    for number in range(10):
        name = RequestId(f'r{number}')
        book.start(name, build_running(0, 100), request)
        book.record_tokens(name, 1500)
    assert isinstance(check_room(book, demand, 1), NoMemory)


def test_grants_keep_slots_for_short_requests() -> None:
    room = Granted(Headroom(0, 0), LIMIT, short_slots=1)
    assert check(room) is NoSlot
    assert check(room, max_tokens=16) is Fit
    assert get_target_memory(room) == LIMIT.memory_tokens


def test_a_team_may_be_over_its_share() -> None:
    shares = TeamShares()
    large, small = TeamId('large'), TeamId('small')
    shares.see(large, 1, 0)
    shares.add(large, 900)
    assert not shares.judge(large, 1000).is_over
    shares.see(small, 1, 0)
    assert shares.judge(large, 1000).is_over
    assert not shares.judge(small, 1000).is_over
    shares.see(large, 1, 100)
    assert not shares.judge(large, 1000).is_over
