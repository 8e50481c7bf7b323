"""Tests of what a node holds on one target."""

from chicoryshunt.limits.ballot import Ballot
from chicoryshunt.limits.claims import Excess, Grant, LeaseTimes, Release
from chicoryshunt.limits.held_lease import HeldLease
from chicoryshunt.policy.slots import Headroom, Shortage, Slot
from chicoryshunt.types import TargetId, VmId

_TIMES = LeaseTimes(term=4)
_TARGET = TargetId('t')
_KEEPER = VmId('a')
_OTHER = VmId('c')
_OTHER_EPOCH = 9


def _build_tenure() -> HeldLease:
    ballot = Ballot(VmId('b'), 0, _TIMES)
    tenure = HeldLease(_TARGET, ballot, _TIMES, 0)
    tenure.follow(_KEEPER, 100)
    return tenure


def _grant(
    tenure: HeldLease,
    number: int,
    slots: int,
    now: float,
    *,
    answer: int = 1,
    excess: tuple[Excess, ...] | None = None,
    epoch: int = 7,
) -> None:
    grant = Grant(_TARGET, number, epoch, answer, slots, 100, 1, excess)
    sender = _OTHER if epoch == _OTHER_EPOCH else _KEEPER
    tenure.accept(sender, grant, now)


def test_lease_counts_from_its_claim() -> None:
    tenure = _build_tenure()
    tenure.claim(100)
    _grant(tenure, 1, 2, 103)
    assert tenure.find_headroom(103.9) == Headroom(2, 200)
    assert tenure.acquire_slot(10, 104) is Shortage.no_lease


def test_slots_and_memory_are_bounded() -> None:
    tenure = _build_tenure()
    tenure.claim(100)
    _grant(tenure, 1, 2, 100)
    assert tenure.acquire_slot(250, 101) is Shortage.memory_used_up
    first = tenure.acquire_slot(150, 101)
    assert isinstance(first, Slot)
    assert tenure.find_headroom(101) == Headroom(0, 50)
    tenure.acquire_slot(50, 101)
    assert tenure.acquire_slot(0, 101) is Shortage.lease_used_up
    tenure.usage.give_back(first)
    tenure.usage.give_back(first)
    assert tenure.find_headroom(101) == Headroom(1, 150)


def test_missing_memory_is_claimed_as_slots() -> None:
    tenure = _build_tenure()
    tenure.claim(100)
    _grant(tenure, 1, 2, 100)
    tenure.acquire_slot(550, 100)
    assert tenure.claim(100).want == 6


def test_grant_of_an_earlier_claim_is_ignored() -> None:
    tenure = _build_tenure()
    tenure.claim(100)
    tenure.claim(101)
    _grant(tenure, 1, 5, 101)
    assert tenure.find_headroom(101).slots == 0
    _grant(tenure, 2, 5, 101, epoch=_OTHER_EPOCH)
    assert tenure.find_headroom(101).slots == 0


def test_late_grant_does_not_undo_a_later_one() -> None:
    tenure = _build_tenure()
    tenure.claim(100)
    _grant(tenure, 1, 2, 100, answer=6)
    _grant(tenure, 1, 5, 100, answer=5)
    assert tenure.find_headroom(100).slots == 2


def test_pause_ends_the_lease() -> None:
    tenure = _build_tenure()
    tenure.claim(100)
    _grant(tenure, 1, 2, 100)
    tenure.wake(101.5)
    assert tenure.acquire_slot(0, 101.5) is Shortage.paused


def test_new_keeper_does_not_cut_a_lease_short() -> None:
    tenure = _build_tenure()
    tenure.claim(100)
    _grant(tenure, 1, 5, 100)
    tenure.follow(_OTHER, 101)
    assert tenure.claim(101).held == 5
    _grant(tenure, 2, 0, 101, epoch=_OTHER_EPOCH)
    assert tenure.find_headroom(101).slots == 5
    tenure.claim(104)
    _grant(tenure, 3, 1, 104, epoch=_OTHER_EPOCH, answer=2)
    assert tenure.find_headroom(104).slots == 1


def test_account_is_kept_for_the_next_keeper() -> None:
    tenure = _build_tenure()
    excess = (Excess(VmId('z'), 1, 3, 0),)
    tenure.claim(100)
    _grant(tenure, 1, 1, 100, excess=excess)
    tenure.claim(101)
    _grant(tenure, 2, 1, 101, excess=(), epoch=8)
    assert tenure.claim(102).inherited == excess
    _grant(tenure, 3, 1, 102, excess=(), epoch=8, answer=2)
    assert not tenure.claim(103).inherited


def test_release_hands_the_account_on() -> None:
    tenure = _build_tenure()
    tenure.claim(100)
    _grant(tenure, 1, 1, 100)
    excess = (Excess(VmId('z'), 1, 3, 0),)
    tenure.release(_KEEPER, Release(_TARGET, 7, 4, excess), 101)
    tenure.follow(_OTHER, 101)
    assert tenure.claim(101).inherited == excess
