"""Tests of shares, allocations and lost holders: no limit is exceeded."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryshunt.limits.allocation import allocate_fairly, spread_evenly
from chicoryshunt.limits.lost_holders import LostHolder, LostHolders
from chicoryshunt.limits.voters import (
    MAX_VOTERS,
    VoterShare,
    choose_voters,
    compute_least_slots,
)
from chicoryshunt.types import DataCentreId, VmId
from lab.models.network import build_vm

_CENTRE = DataCentreId('luzon-a')


@settings(derandomize=True)
@given(limit=st.integers(0, 300), count=st.integers(1, 12))
def test_shares_sum_up_to_the_limit(limit: int, count: int) -> None:
    shares = [VoterShare(index, count) for index in range(count)]
    assert sum(share.compute_slots(limit) for share in shares) == limit


def test_smallest_share_counts() -> None:
    assert compute_least_slots((VoterShare(0, 3), VoterShare(0, 5)), 30) == 6
    assert compute_least_slots((), 30) == 0


@settings(derandomize=True)
@given(
    total=st.integers(-3, 60),
    demands=st.dictionaries(
        st.text('abcdefgh', min_size=1, max_size=1),
        st.integers(0, 30),
        min_size=1,
    ),
)
def test_allocations_are_fair(total: int, demands: dict[str, int]) -> None:
    order = sorted(demands)
    shares = allocate_fairly(total, demands, order)
    assert sum(shares.values()) == max(0, min(total, sum(demands.values())))
    short = [key for key in order if shares[key] < demands[key]]
    for key in short:
        assert shares[key] >= max(shares.values()) - 1
    spread = spread_evenly(total, shares)
    assert sum(spread.values()) == max(0, total)


def test_voters_are_ranked_by_centre_and_region() -> None:
    regions = {
        DataCentreId(name): region
        for name, region in (
            ('luzon-a', 'north'),
            ('luzon-b', 'north'),
            ('cebu-a', 'south'),
        )
    }
    vms = [
        build_vm(f'{centre}-{number}', centre)
        for centre in regions
        for number in range(20)
    ]
    voters = choose_voters('t', _CENTRE, vms, regions)
    assert len(voters) == MAX_VOTERS
    counts = Counter(vm.rsplit('-', 1)[0] for vm in voters)
    assert counts == {'luzon-a': 9, 'luzon-b': 3}
    assert voters[0].startswith('luzon-a')


def test_every_vm_of_a_small_fleet_votes() -> None:
    vms = [build_vm(f'vm-{one}', f'luzon-{one % 3}') for one in range(9)]
    voters = choose_voters('t', DataCentreId('luzon-0'), vms, {})
    assert set(voters) == {vm.vm for vm in vms}
    assert {voters[0], voters[1], voters[2]} == {'vm-0', 'vm-3', 'vm-6'}


def _build_lost(*slots: int, since: float = 0) -> LostHolders:
    lost = LostHolders()
    for number, count in enumerate(slots):
        vm = VmId(f'vm-{number}')
        lost.add(LostHolder(vm, 1, count, min(4, count), since, 1000))
    return lost


def _cost(lost: LostHolders) -> int:
    return lost.compute_cost(lambda _: False)


def test_own_share_covers_a_lost_holder() -> None:
    lost = _build_lost(10, 3)
    assert _cost(lost) == 6
    assert lost.compute_cost(lambda vm: vm == 'vm-1') == 9


def test_report_bounds_lost_holders() -> None:
    lost = _build_lost(10, 10)
    lost.apply_report(5, observed_at=1)
    assert _cost(lost) == 3
    lost.apply_report(20, observed_at=2)
    assert _cost(lost) == 3
    lost.apply_report(0, observed_at=3)
    assert not lost


def test_earlier_report_bounds_nothing() -> None:
    lost = _build_lost(10, since=5)
    lost.apply_report(0, observed_at=4)
    assert _cost(lost) == 6


def test_later_lost_holder_raises_the_cost() -> None:
    lost = _build_lost(10)
    lost.apply_report(4, observed_at=1)
    lost.add(LostHolder(VmId('late'), 1, 8, 0, 2, 1000))
    assert _cost(lost) == 3 + 8


def test_lost_holder_expires() -> None:
    lost = _build_lost(10)
    lost.expire(1000)
    assert not lost
