"""To whom this node lends its seats, one keeper at a time for a target."""

from collections import deque
from dataclasses import dataclass

from chicoryshunt.limits.claims import Excess, LeaseTimes
from chicoryshunt.limits.panel import Seat, find_seat
from chicoryshunt.types import VmId


@dataclass(frozen=True, slots=True)
class KeeperEpoch:
    """One process of a VM that keeps a target, since an epoch."""

    vm: VmId
    epoch: int


@dataclass(frozen=True, slots=True)
class CastVote:
    """The keeper that a seat is lent to, until a second."""

    keeper: KeeperEpoch
    until: float


@dataclass(frozen=True, slots=True)
class KeeperExcess:
    """What a keeper told that it lends beyond the holders' seats."""

    keeper: KeeperEpoch
    version: int
    excess: tuple[Excess, ...]


@dataclass(frozen=True, slots=True)
class _Sighting:
    since: float
    voters: tuple[VmId, ...]


class OwnVote:
    """This node's vote on one target."""

    def __init__(self, own: VmId, started: float, times: LeaseTimes) -> None:
        """Start with what an earlier process may have promised."""
        self.known_excess: KeeperExcess | None = None
        self._own = own
        self._times = times
        self._cast_vote: CastVote | None = None
        self._silent_until = started + times.vote_term
        self._sightings: deque[_Sighting] = deque()
        self._sightings.append(_Sighting(started, ()))

    def update_voters(self, panel: tuple[VmId, ...], now: float) -> None:
        """Follow the panel as the published list changes it."""
        if self._sightings[-1].voters != panel:
            self._sightings.append(_Sighting(now, panel))

    def cast(self, keeper: KeeperEpoch, now: float) -> tuple[Seat, ...]:
        """Promise the seat to a keeper; return nothing if it is not free."""
        promise = self._cast_vote
        is_free = promise is None or promise.until <= now
        if promise is not None and promise.keeper == keeper:
            is_free = True
        if not is_free or now < self._silent_until:
            return ()
        seats = self._list_shares(now)
        if seats:
            until = now + self._times.vote_term
            self._cast_vote = CastVote(keeper, until)
        return seats

    def release(self, keeper: KeeperEpoch) -> None:
        """Take the seat back from a keeper that grants no more."""
        if self._cast_vote is not None and self._cast_vote.keeper == keeper:
            self._cast_vote = None

    def list_inherited(self, keeper: KeeperEpoch) -> tuple[Excess, ...]:
        """Return what another keeper lent, for the one that follows it."""
        if self.known_excess is None or self.known_excess.keeper == keeper:
            return ()
        return self.known_excess.excess

    def _list_shares(self, now: float) -> tuple[Seat, ...]:
        """Return the seats by every list that others may still go by."""
        settled = now - self._times.list_lag - self._times.vote_term
        while len(self._sightings) > 1 and self._sightings[1].since <= settled:
            self._sightings.popleft()
        seats = [
            find_seat(sighting.voters, self._own)
            for sighting in self._sightings
        ]
        if None in seats:
            return ()
        return tuple({seat for seat in seats if seat is not None})
