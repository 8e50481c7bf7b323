"""Messages between holders of leases and keepers of targets."""

from dataclasses import dataclass

import msgspec

from chicoryshunt.limits.voters import VoterShare
from chicoryshunt.policy.slots import LoadSnapshot
from chicoryshunt.types import TargetId, VmId

_RENEWAL_TERM_RATIO = 0.45
_VOTE_TERM_RATIO = 2.25


class Excess(msgspec.Struct, frozen=True, array_like=True):
    """Slots that one process may have beyond its own voter share."""

    vm: VmId
    epoch: int
    slots: int
    covered: int


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """What a holder has and wants on one target.

    Once it is sent, the holder uses at most ``held`` slots until the grant
    for this ``number`` arrives. ``used`` counts slots by requests or by their
    memory, whichever is more; ``min_running`` is the minimum of running
    requests since the last answered claim. ``shares`` is the vote: empty, or
    the holder's shares by recent VM lists. ``grant_number`` is that of the
    keeper's last grant; the vote's term counts from the time of that grant.
    ``is_fresh`` says that requests of an earlier process of the holder may
    still run.
    """

    target: TargetId
    number: int
    used: int
    min_running: int
    held: int
    wanted: int
    grant_number: int = 0
    shares: tuple[VoterShare, ...] = ()
    excess_version: int = 0
    inherited: tuple[Excess, ...] = ()
    is_fresh: bool = False
    curve: tuple[int, ...] = ()


class Claims(msgspec.Struct, frozen=True, array_like=True, tag='lc'):
    """Claims of one process on targets of the same keeper."""

    epoch: int
    claims: tuple[Claim, ...]


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """A keeper's answer to one claim, or a later change of it.

    The lease ends one term after the claim ``claim_number`` was sent.
    ``epoch`` grows each time that the keeper starts to keep the target.
    ``excess_version`` is the version of the slots leased beyond the voters'
    own shares; ``excess`` lists them unless the holder knows that version.
    ``is_clear`` says that no request of the holder's earlier process is left.
    """

    target: TargetId
    claim_number: int
    epoch: int
    grant_number: int
    slots: int
    memory_tokens: int
    excess_version: int = 0
    excess: tuple[Excess, ...] | None = None
    load: LoadSnapshot | None = None
    is_clear: bool = False


class Grants(msgspec.Struct, frozen=True, array_like=True, tag='lg'):
    """Grants of one keeper."""

    grants: tuple[Grant, ...]


class Release(msgspec.Struct, frozen=True, array_like=True, tag='lr'):
    """Notice that a keeper grants no more and returns a vote."""

    target: TargetId
    epoch: int
    excess_version: int
    excess: tuple[Excess, ...]


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations and bounds of leases, in seconds.

    ``term`` is the duration of a lease; ``list_lag`` bounds how long VM lists
    can differ, ``load_lag`` how old a target's load report is when it is read.
    """

    term: float = 4
    list_lag: float = 5
    load_lag: float = 2

    @property
    def interval(self) -> float:
        """Return the interval between renewals of a claim."""
        return self.term * _RENEWAL_TERM_RATIO

    @property
    def vote_term(self) -> float:
        """Return how long a vote binds its voter."""
        return self.term * _VOTE_TERM_RATIO
