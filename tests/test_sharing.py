"""Tests of seats, shares and orphans: parts never exceed the whole."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryshunt.limits.orphans import Orphan, Orphans
from chicoryshunt.limits.sharing import share_slots, spread_evenly
from chicoryshunt.limits.voters import (
    MAX_VOTERS,
    VoterShare,
    choose_voters,
    compute_worth,
)
from chicoryshunt.types import DataCentreId, VmId
from lab.models.network import build_vm

_CENTRE = DataCentreId('luzon-a')


@settings(derandomize=True)
@given(limit=st.integers(0, 300), count=st.integers(1, 12))
def test_seats_sum_up_to_the_limit(limit: int, count: int) -> None:
    seats = [VoterShare(index, count) for index in range(count)]
    assert sum(seat.compute_worth(limit) for seat in seats) == limit


def test_several_seats_are_worth_the_least() -> None:
    assert compute_worth((VoterShare(0, 3), VoterShare(0, 5)), 30) == 6
    assert compute_worth((), 30) == 0


@settings(derandomize=True)
@given(
    total=st.integers(-3, 60),
    demands=st.dictionaries(
        st.text('abcdefgh', min_size=1, max_size=1),
        st.integers(0, 30),
        min_size=1,
    ),
)
def test_shares_are_fair(total: int, demands: dict[str, int]) -> None:
    order = sorted(demands)
    shares = share_slots(total, demands, order)
    assert sum(shares.values()) == max(0, min(total, sum(demands.values())))
    short = [key for key in order if shares[key] < demands[key]]
    for key in short:
        assert shares[key] >= max(shares.values()) - 1
    spread = spread_evenly(total, shares)
    assert sum(spread.values()) == max(0, total)


def test_panel_prefers_its_data_centre_and_region() -> None:
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
    panel = choose_voters('t', _CENTRE, vms, regions)
    assert len(panel) == MAX_VOTERS
    centres = Counter(vm.rsplit('-', 1)[0] for vm in panel)
    assert centres == {'luzon-a': 9, 'luzon-b': 3}
    assert panel[0].startswith('luzon-a')


def test_small_fleet_sits_on_every_panel() -> None:
    vms = [build_vm(f'vm-{one}', f'luzon-{one % 3}') for one in range(9)]
    panel = choose_voters('t', DataCentreId('luzon-0'), vms, {})
    assert set(panel) == {vm.vm for vm in vms}
    assert {panel[0], panel[1], panel[2]} == {'vm-0', 'vm-3', 'vm-6'}


def _build_orphans(*slots: int, since: float = 0) -> Orphans:
    orphans = Orphans()
    for number, count in enumerate(slots):
        vm = VmId(f'vm-{number}')
        orphans.add(Orphan(vm, 1, count, min(4, count), since, 1000))
    return orphans


def _cost(orphans: Orphans) -> int:
    return orphans.compute_cost(lambda _: False)


def test_own_seat_covers_its_holder() -> None:
    orphans = _build_orphans(10, 3)
    assert _cost(orphans) == 6
    assert orphans.compute_cost(lambda vm: vm == 'vm-1') == 9


def test_report_bounds_what_is_lost() -> None:
    orphans = _build_orphans(10, 10)
    orphans.settle(5, seen_at=1)
    assert _cost(orphans) == 3
    orphans.settle(20, seen_at=2)
    assert _cost(orphans) == 3
    orphans.settle(0, seen_at=3)
    assert not orphans


def test_report_from_before_bounds_nothing() -> None:
    orphans = _build_orphans(10, since=5)
    orphans.settle(0, seen_at=4)
    assert _cost(orphans) == 6


def test_later_orphan_lifts_the_bound() -> None:
    orphans = _build_orphans(10)
    orphans.settle(4, seen_at=1)
    orphans.add(Orphan(VmId('late'), 1, 8, 0, 2, 1000))
    assert _cost(orphans) == 3 + 8


def test_orphan_ends_with_its_time() -> None:
    orphans = _build_orphans(10)
    orphans.expire(1000)
    assert not orphans
