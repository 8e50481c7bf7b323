"""Tests of a node's own vote on a target."""

from chicoryshunt.limits.claims import Excess, LeaseTimes
from chicoryshunt.limits.own_vote import KeeperEpoch, KeeperExcess, OwnVote
from chicoryshunt.limits.voters import VoterShare
from chicoryshunt.types import VmId

_TIMES = LeaseTimes(term=4, list_lag=2)
_OWN = VmId('b')
_VOTERS = (VmId('a'), _OWN, VmId('c'))
_FIRST = KeeperEpoch(VmId('a'), 1)
_SECOND = KeeperEpoch(VmId('c'), 1)
_READY = 100.0


def _build_vote() -> OwnVote:
    vote = OwnVote(_OWN, 0, _TIMES)
    vote.update_voters(_VOTERS, 1)
    return vote


def test_one_keeper_at_a_time_has_the_vote() -> None:
    vote = _build_vote()
    assert vote.cast(_FIRST, _READY) == (VoterShare(1, 3),)
    assert vote.cast(_FIRST, _READY + 1) == (VoterShare(1, 3),)
    end = _READY + 1 + _TIMES.vote_term
    assert not vote.cast(_SECOND, end - 0.1)
    assert vote.cast(_SECOND, end)
    assert not vote.cast(_FIRST, end + 0.1)


def test_restarted_keeper_is_another_one() -> None:
    vote = _build_vote()
    assert vote.cast(_FIRST, _READY)
    assert not vote.cast(KeeperEpoch(_FIRST.vm, 2), _READY + 1)


def test_release_frees_the_vote() -> None:
    vote = _build_vote()
    assert vote.cast(_FIRST, _READY)
    vote.release(_SECOND)
    assert not vote.cast(_SECOND, _READY)
    vote.release(_FIRST)
    assert vote.cast(_SECOND, _READY)


def test_started_process_abstains_at_first() -> None:
    vote = _build_vote()
    ready = 1 + _TIMES.list_lag + _TIMES.vote_term
    assert not vote.cast(_FIRST, ready - 0.1)
    assert vote.cast(_FIRST, ready)


def test_changed_list_yields_both_shares() -> None:
    vote = _build_vote()
    vote.update_voters((VmId('a'), _OWN), _READY)
    assert set(vote.cast(_FIRST, _READY)) == {
        VoterShare(1, 3),
        VoterShare(1, 2),
    }
    settled = _READY + _TIMES.list_lag + _TIMES.vote_term
    assert vote.cast(_FIRST, settled) == (VoterShare(1, 2),)


def test_new_voter_waits_for_the_list_lag() -> None:
    vote = _build_vote()
    vote.update_voters((VmId('a'),), _READY)
    assert not vote.cast(_FIRST, _READY)
    vote.update_voters(_VOTERS, _READY + 50)
    assert not vote.cast(_FIRST, _READY + 51)


def test_excess_is_reported_to_other_keepers() -> None:
    vote = _build_vote()
    excess = (Excess(VmId('z'), 1, 3, 0),)
    vote.known_excess = KeeperExcess(_FIRST, 2, excess)
    assert vote.list_inherited(_FIRST) == ()
    assert vote.list_inherited(_SECOND) == excess
    assert vote.list_inherited(KeeperEpoch(_FIRST.vm, 2)) == excess
