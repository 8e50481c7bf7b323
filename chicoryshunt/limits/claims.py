"""Messages between holders of leases and keepers of targets."""

from dataclasses import dataclass

import msgspec

from chicoryshunt.limits.voters import VoterShare
from chicoryshunt.policy.slots import LoadSnapshot
from chicoryshunt.types import TargetId, VmId

_RENEWAL_TERMS = 0.45
_VOTE_TERMS = 2.25


class Excess(msgspec.Struct, frozen=True, array_like=True):
    """Slots that one process may have beyond its seat."""

    vm: VmId
    epoch: int
    slots: int
    covered: int


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """What a holder has and wants on one target.

    From sending it on, the holder uses at most ``held`` slots until the
    answer to this ``number`` arrives. ``used`` counts slots by requests or by
    their memory, whichever is more; ``low`` is the least number of requests
    since the last answered claim. ``seats`` is the vote: empty, or the seats
    that the holder has by the lists of the last while. ``answer`` is the
    number of the keeper's last message, from which the keeper counts the
    vote's term.
    ``is_fresh`` says that an earlier process of the holder may have left
    requests behind.
    """

    target: TargetId
    number: int
    used: int
    low: int
    held: int
    want: int
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
    """A keeper's answer to one claim, or a change of it.

    The lease ends a term after the claim of this ``number`` was sent.
    ``account`` numbers the keeper's account of what is lent beyond the
    holders' own seats; ``excess`` is that account when it is new. ``epoch``
    grows each time that the keeper starts to keep the target. ``is_clear``
    says that nothing is left of the holder's earlier process.
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
    """A keeper that grants no more gives a vote back."""

    target: TargetId
    epoch: int
    excess_version: int
    excess: tuple[Excess, ...]


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Terms and bounds of leases, in seconds.

    ``list_lag`` bounds how long VM lists can differ, ``load_lag`` how old a
    target's load report is when it is read.
    """

    term: float = 4
    list_lag: float = 5
    load_lag: float = 2

    @property
    def interval(self) -> float:
        """Return how often a claim is renewed."""
        return self.term * _RENEWAL_TERMS

    @property
    def vote_term(self) -> float:
        """Return how long a vote binds its voter."""
        return self.term * _VOTE_TERMS
