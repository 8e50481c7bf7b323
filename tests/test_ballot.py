"""Tests of the vote that lends a seat."""

from chicoryshunt.limits.ballot import Account, Ballot, Process
from chicoryshunt.limits.claims import Excess, LeaseTimes
from chicoryshunt.limits.voters import VoterShare
from chicoryshunt.types import VmId

_TIMES = LeaseTimes(term=4, list_lag=2)
_OWN = VmId('b')
_PANEL = (VmId('a'), _OWN, VmId('c'))
_FIRST = Process(VmId('a'), 1)
_SECOND = Process(VmId('c'), 1)
_READY = 100.0


def _build_ballot() -> Ballot:
    ballot = Ballot(_OWN, 0, _TIMES)
    ballot.learn(_PANEL, 1)
    return ballot


def test_seat_is_lent_to_one_keeper_at_a_time() -> None:
    ballot = _build_ballot()
    assert ballot.vote(_FIRST, _READY) == (VoterShare(1, 3),)
    assert ballot.vote(_FIRST, _READY + 1) == (VoterShare(1, 3),)
    end = _READY + 1 + _TIMES.vote_term
    assert not ballot.vote(_SECOND, end - 0.1)
    assert ballot.vote(_SECOND, end)
    assert not ballot.vote(_FIRST, end + 0.1)


def test_restarted_keeper_is_another_one() -> None:
    ballot = _build_ballot()
    assert ballot.vote(_FIRST, _READY)
    assert not ballot.vote(Process(_FIRST.vm, 2), _READY + 1)


def test_release_frees_the_seat() -> None:
    ballot = _build_ballot()
    assert ballot.vote(_FIRST, _READY)
    ballot.release(_SECOND)
    assert not ballot.vote(_SECOND, _READY)
    ballot.release(_FIRST)
    assert ballot.vote(_SECOND, _READY)


def test_started_process_is_silent_at_first() -> None:
    ballot = _build_ballot()
    silent = 1 + _TIMES.list_lag + _TIMES.vote_term
    assert not ballot.vote(_FIRST, silent - 0.1)
    assert ballot.vote(_FIRST, silent)


def test_changed_list_counts_by_its_least_seat() -> None:
    ballot = _build_ballot()
    ballot.learn((VmId('a'), _OWN), _READY)
    assert set(ballot.vote(_FIRST, _READY)) == {
        VoterShare(1, 3),
        VoterShare(1, 2),
    }
    settled = _READY + _TIMES.list_lag + _TIMES.vote_term
    assert ballot.vote(_FIRST, settled) == (VoterShare(1, 2),)


def test_vm_that_joins_a_panel_waits_for_the_lag() -> None:
    ballot = _build_ballot()
    ballot.learn((VmId('a'),), _READY)
    assert not ballot.vote(_FIRST, _READY)
    ballot.learn(_PANEL, _READY + 50)
    assert not ballot.vote(_FIRST, _READY + 51)


def test_account_is_told_to_another_keeper_only() -> None:
    ballot = _build_ballot()
    excess = (Excess(VmId('z'), 1, 3, 0),)
    ballot.account = Account(_FIRST, 2, excess)
    assert ballot.list_inherited(_FIRST) == ()
    assert ballot.list_inherited(_SECOND) == excess
    assert ballot.list_inherited(Process(_FIRST.vm, 2)) == excess
