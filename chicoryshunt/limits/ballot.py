"""To whom this node lends its seats, one keeper at a time for a target."""

from collections import deque
from dataclasses import dataclass

from chicoryshunt.limits.claims import Excess, LeaseTimes
from chicoryshunt.limits.voters import VoterShare, find_share
from chicoryshunt.types import VmId


@dataclass(frozen=True, slots=True)
class Process:
    """One process of a VM that keeps a target, since an epoch."""

    vm: VmId
    epoch: int


@dataclass(frozen=True, slots=True)
class Promise:
    """The keeper that a seat is lent to, until a second."""

    keeper: Process
    until: float


@dataclass(frozen=True, slots=True)
class Account:
    """What a keeper told that it lends beyond the holders' seats."""

    keeper: Process
    number: int
    excess: tuple[Excess, ...]


@dataclass(frozen=True, slots=True)
class _Sighting:
    since: float
    panel: tuple[VmId, ...]


class Ballot:
    """This node's vote on one target."""

    def __init__(self, own: VmId, started: float, times: LeaseTimes) -> None:
        """Start with what an earlier process may have promised."""
        self.account: Account | None = None
        self._own = own
        self._times = times
        self._promise: Promise | None = None
        self._silent_until = started + times.vote_term
        self._panels: deque[_Sighting] = deque()
        self._panels.append(_Sighting(started, ()))

    def learn(self, panel: tuple[VmId, ...], now: float) -> None:
        """Follow the panel as the published list changes it."""
        if self._panels[-1].panel != panel:
            self._panels.append(_Sighting(now, panel))

    def vote(self, keeper: Process, now: float) -> tuple[VoterShare, ...]:
        """Promise the seat to a keeper; return nothing if it is not free."""
        promise = self._promise
        is_free = promise is None or promise.until <= now
        if promise is not None and promise.keeper == keeper:
            is_free = True
        if not is_free or now < self._silent_until:
            return ()
        seats = self._list_seats(now)
        if seats:
            until = now + self._times.vote_term
            self._promise = Promise(keeper, until)
        return seats

    def release(self, keeper: Process) -> None:
        """Take the seat back from a keeper that grants no more."""
        if self._promise is not None and self._promise.keeper == keeper:
            self._promise = None

    def list_inherited(self, keeper: Process) -> tuple[Excess, ...]:
        """Return what another keeper lent, for the one that follows it."""
        if self.account is None or self.account.keeper == keeper:
            return ()
        return self.account.excess

    def _list_seats(self, now: float) -> tuple[VoterShare, ...]:
        """Return the seats by every list that others may still go by."""
        settled = now - self._times.list_lag - self._times.vote_term
        while len(self._panels) > 1 and self._panels[1].since <= settled:
            self._panels.popleft()
        seats = [
            find_share(sighting.panel, self._own) for sighting in self._panels
        ]
        if None in seats:
            return ()
        return tuple({seat for seat in seats if seat is not None})
