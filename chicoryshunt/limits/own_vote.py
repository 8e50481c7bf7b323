"""This node's vote on a target, given to one keeper at a time."""

from collections import deque
from dataclasses import dataclass

from chicoryshunt.limits.claims import Excess, LeaseTimes
from chicoryshunt.limits.voters import VoterShare, find_share
from chicoryshunt.types import VmId


@dataclass(frozen=True, slots=True)
class KeeperEpoch:
    """One period in which a VM keeps a target."""

    vm: VmId
    epoch: int


@dataclass(frozen=True, slots=True)
class CastVote:
    """The keeper that has the vote, until a time in seconds."""

    keeper: KeeperEpoch
    until: float


@dataclass(frozen=True, slots=True)
class KeeperExcess:
    """Slots that a keeper leased beyond the voters' own shares."""

    keeper: KeeperEpoch
    version: int
    excess: tuple[Excess, ...]


@dataclass(frozen=True, slots=True)
class _VoterList:
    since: float
    voters: tuple[VmId, ...]


class OwnVote:
    """Tracks this node's vote on one target."""

    def __init__(self, own: VmId, started: float, times: LeaseTimes) -> None:
        """Abstain while a vote of an earlier process may be valid."""
        self.known_excess: KeeperExcess | None = None
        self._own = own
        self._times = times
        self._cast_vote: CastVote | None = None
        self._abstains_until = started + times.vote_term
        self._voter_lists: deque[_VoterList] = deque()
        self._voter_lists.append(_VoterList(started, ()))

    def update_voters(self, voters: tuple[VmId, ...], now: float) -> None:
        """Record the voters when a published VM list changes them."""
        if self._voter_lists[-1].voters != voters:
            self._voter_lists.append(_VoterList(now, voters))

    def cast(self, keeper: KeeperEpoch, now: float) -> tuple[VoterShare, ...]:
        """Vote for a keeper; return no shares if another has the vote."""
        cast_vote = self._cast_vote
        is_free = cast_vote is None or cast_vote.until <= now
        if cast_vote is not None and cast_vote.keeper == keeper:
            is_free = True
        if not is_free or now < self._abstains_until:
            return ()
        shares = self._list_shares(now)
        if shares:
            until = now + self._times.vote_term
            self._cast_vote = CastVote(keeper, until)
        return shares

    def release(self, keeper: KeeperEpoch) -> None:
        """Withdraw the vote from a keeper that grants no more."""
        if self._cast_vote is not None and self._cast_vote.keeper == keeper:
            self._cast_vote = None

    def list_inherited(self, keeper: KeeperEpoch) -> tuple[Excess, ...]:
        """Return what the previous keeper leased, for its successor."""
        if self.known_excess is None or self.known_excess.keeper == keeper:
            return ()
        return self.known_excess.excess

    def _list_shares(self, now: float) -> tuple[VoterShare, ...]:
        """Return the shares by every VM list that others may still use."""
        settled = now - self._times.list_lag - self._times.vote_term
        while (
            len(self._voter_lists) > 1 and self._voter_lists[1].since <= settled
        ):
            self._voter_lists.popleft()
        shares = [
            find_share(listed.voters, self._own) for listed in self._voter_lists
        ]
        if None in shares:
            return ()
        return tuple({share for share in shares if share is not None})
