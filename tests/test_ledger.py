"""Tests of a keeper's account of one target."""

from chicoryshunt.connection.target_api import LoadReport
from chicoryshunt.invariants import InvariantChecker
from chicoryshunt.limits.claims import Claim, Excess, Grant, LeaseTimes
from chicoryshunt.limits.ledger import Ledger, TargetLimit
from chicoryshunt.limits.voters import VoterShare
from chicoryshunt.metrics import Metrics
from chicoryshunt.policy.slots import Headroom
from chicoryshunt.types import TargetId, VmId

_TARGET = TargetId('t')
_TIMES = LeaseTimes(term=4)
_LOST = Excess(VmId('lost'), 1, 5, 2)
_LIMIT = 12


class Voter:
    """One VM that claims with its vote."""

    def __init__(self, ledger: Ledger, index: int, count: int = 3) -> None:
        self.vm = VmId(f'vm-{index}')
        self.grant: Grant | None = None
        self._ledger = ledger
        self._seat = VoterShare(index, count)
        self._number = 0
        self._account = 0

    def claim(
        self,
        now: float,
        want: int = 0,
        inherited: tuple[Excess, ...] = (),
        *,
        is_fresh: bool = False,
    ) -> int:
        self._number += 1
        grant = self.grant
        claim = Claim(
            _TARGET,
            self._number,
            0,
            0,
            0 if grant is None else grant.slots,
            want,
            0 if grant is None else grant.grant_number,
            () if grant is None else (self._seat,),
            self._account,
            inherited,
            is_fresh,
        )
        self.grant = self._ledger.claim(self.vm, 7, claim, now)
        assert self.grant is not None
        if self.grant.excess is not None:
            self._account = self.grant.excess_version
        return self.grant.slots


def _build_ledger() -> Ledger:
    ledger = Ledger(_TARGET, _TIMES, 1, InvariantChecker(Metrics()))
    ledger.limit = TargetLimit(Headroom(_LIMIT, 0), 600)
    return ledger


def _report(running: int) -> LoadReport:
    return LoadReport(1, 0, running, 0, 0, 0, 0, 0)


def test_first_claim_brings_no_vote() -> None:
    voter = Voter(_build_ledger(), 0)
    assert voter.claim(0) == 0
    assert voter.claim(0.1) == _LIMIT // 3


def test_old_claim_is_ignored() -> None:
    ledger = _build_ledger()
    voter = Voter(ledger, 0)
    voter.claim(0)
    assert ledger.claim(voter.vm, 7, Claim(_TARGET, 1, 0, 0, 0, 0), 1) is None
    earlier = Claim(_TARGET, 9, 0, 0, 0, 0)
    assert ledger.claim(voter.vm, 6, earlier, 1) is None


def test_slots_beyond_a_seat_wait_for_voters() -> None:
    ledger = _build_ledger()
    voters = [Voter(ledger, index) for index in range(3)]
    for now in (0, 0.1):
        for voter in voters:
            voter.claim(now)
    first, *others = voters
    assert first.claim(0.2, want=_LIMIT) == _LIMIT // 3
    for other in others:
        other.claim(0.3)
    assert first.claim(0.4, want=_LIMIT) == _LIMIT // 3
    for other in others:
        other.claim(0.5)
    assert first.claim(0.6, want=_LIMIT) > _LIMIT // 3


def test_inherited_account_is_counted_and_told() -> None:
    ledger = _build_ledger()
    voter = Voter(ledger, 0)
    voter.claim(0, inherited=(_LOST,))
    assert voter.grant is not None
    assert voter.grant.excess == (_LOST,)
    assert voter.claim(0.1) == 0


def test_restarted_vm_lends_once_its_past_is_over() -> None:
    ledger = _build_ledger()
    voter = Voter(ledger, 0)
    voter.claim(0, is_fresh=True)
    assert voter.claim(0.1, is_fresh=True) == 0
    for step in range(1, 12):
        ledger.take_load(_report(0), step)
        ledger.expire(step)
        voter.claim(step, is_fresh=True)
    assert voter.grant is not None
    assert voter.grant.is_clear
    assert voter.grant.slots == _LIMIT // 3


def test_foreign_load_lowers_the_limit() -> None:
    ledger = _build_ledger()
    voters = [Voter(ledger, index) for index in range(3)]
    for now in (0, 0.1):
        for voter in voters:
            voter.claim(now)
    assert ledger.compute_capacity(0.2) == _LIMIT
    ledger.take_load(_report(2 * _LIMIT - 3), 0.2)
    assert ledger.compute_capacity(0.2) <= _LIMIT // 3


def test_lower_limit_is_followed() -> None:
    ledger = _build_ledger()
    voters = [Voter(ledger, index) for index in range(3)]
    for now in (0, 0.1):
        for voter in voters:
            voter.claim(now)
    ledger.limit = TargetLimit(Headroom(3, 0), 600)
    slots = [[voter.claim(now) for voter in voters] for now in (1, 2, 3)]
    assert all(sum(granted) <= 3 for granted in slots)
    assert slots[-1] == [1, 1, 1]
