"""Tests of the lease that a node holds on one target."""

from chicoryshunt.limits.claims import Excess, Grant, LeaseTimes, Release
from chicoryshunt.limits.held_lease import HeldLease
from chicoryshunt.limits.own_vote import OwnVote
from chicoryshunt.policy.slots import Headroom, Shortage, Slot
from chicoryshunt.types import TargetId, VmId

_TIMES = LeaseTimes(term=4)
_TARGET = TargetId('t')
_KEEPER = VmId('a')
_OTHER = VmId('c')
_OTHER_EPOCH = 9


def _build_lease() -> HeldLease:
    vote = OwnVote(VmId('b'), 0, _TIMES)
    lease = HeldLease(_TARGET, vote, _TIMES, 0)
    lease.set_keeper(_KEEPER, 100)
    return lease


def _grant(
    lease: HeldLease,
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
    lease.accept(sender, grant, now)


def test_lease_term_starts_with_the_claim() -> None:
    lease = _build_lease()
    lease.claim(100)
    _grant(lease, 1, 2, 103)
    assert lease.find_headroom(103.9) == Headroom(2, 200)
    assert lease.acquire_slot(10, 104) is Shortage.no_lease


def test_slots_and_memory_are_bounded() -> None:
    lease = _build_lease()
    lease.claim(100)
    _grant(lease, 1, 2, 100)
    assert lease.acquire_slot(250, 101) is Shortage.memory_used_up
    first = lease.acquire_slot(150, 101)
    assert isinstance(first, Slot)
    assert lease.find_headroom(101) == Headroom(0, 50)
    lease.acquire_slot(50, 101)
    assert lease.acquire_slot(0, 101) is Shortage.lease_used_up
    lease.usage.release(first)
    lease.usage.release(first)
    assert lease.find_headroom(101) == Headroom(1, 150)


def test_missing_memory_is_claimed_as_slots() -> None:
    lease = _build_lease()
    lease.claim(100)
    _grant(lease, 1, 2, 100)
    lease.acquire_slot(550, 100)
    assert lease.claim(100).wanted == 6


def test_grant_of_an_earlier_claim_is_ignored() -> None:
    lease = _build_lease()
    lease.claim(100)
    lease.claim(101)
    _grant(lease, 1, 5, 101)
    assert lease.find_headroom(101).slots == 0
    _grant(lease, 2, 5, 101, epoch=_OTHER_EPOCH)
    assert lease.find_headroom(101).slots == 0


def test_late_grant_does_not_undo_a_later_one() -> None:
    lease = _build_lease()
    lease.claim(100)
    _grant(lease, 1, 2, 100, answer=6)
    _grant(lease, 1, 5, 100, answer=5)
    assert lease.find_headroom(100).slots == 2


def test_pause_ends_the_lease() -> None:
    lease = _build_lease()
    lease.claim(100)
    _grant(lease, 1, 2, 100)
    lease.suspend(101.5)
    assert lease.acquire_slot(0, 101.5) is Shortage.paused


def test_new_keeper_does_not_shorten_a_lease() -> None:
    lease = _build_lease()
    lease.claim(100)
    _grant(lease, 1, 5, 100)
    lease.set_keeper(_OTHER, 101)
    assert lease.claim(101).held == 5
    _grant(lease, 2, 0, 101, epoch=_OTHER_EPOCH)
    assert lease.find_headroom(101).slots == 5
    lease.claim(104)
    _grant(lease, 3, 1, 104, epoch=_OTHER_EPOCH, answer=2)
    assert lease.find_headroom(104).slots == 1


def test_excess_is_stored_for_the_next_keeper() -> None:
    lease = _build_lease()
    excess = (Excess(VmId('z'), 1, 3, 0),)
    lease.claim(100)
    _grant(lease, 1, 1, 100, excess=excess)
    lease.claim(101)
    _grant(lease, 2, 1, 101, excess=(), epoch=8)
    assert lease.claim(102).inherited == excess
    _grant(lease, 3, 1, 102, excess=(), epoch=8, answer=2)
    assert not lease.claim(103).inherited


def test_release_passes_the_excess_on() -> None:
    lease = _build_lease()
    lease.claim(100)
    _grant(lease, 1, 1, 100)
    excess = (Excess(VmId('z'), 1, 3, 0),)
    lease.release(_KEEPER, Release(_TARGET, 7, 4, excess), 101)
    lease.set_keeper(_OTHER, 101)
    assert lease.claim(101).inherited == excess
