"""Votes of a target's voters, as its keeper counts them."""

from dataclasses import dataclass

from chicoryshunt.limits.voters import VoterShare, compute_least_slots
from chicoryshunt.types import VmId


@dataclass(frozen=True, slots=True)
class Vote:
    """Shares that one process lends until a time in seconds.

    ``excess_version`` is the version of the excess that the process knows.
    """

    epoch: int
    shares: tuple[VoterShare, ...]
    until: float
    excess_version: int


class Votes:
    """The latest vote of each VM."""

    def __init__(self) -> None:
        """Start without votes."""
        self._votes: dict[VmId, Vote] = {}

    def find(self, vm: VmId) -> Vote | None:
        """Return the vote of a VM."""
        return self._votes.get(vm)

    def record(self, vm: VmId, vote: Vote) -> None:
        """Replace the vote of a VM."""
        self._votes[vm] = vote

    def expire(self, now: float) -> None:
        """Drop votes that expired."""
        for vm, vote in tuple(self._votes.items()):
            if vote.until <= now:
                self._votes.pop(vm)

    def list_voters(self) -> list[VmId]:
        """Return the VMs that vote."""
        return list(self._votes)

    def list_valid(self, until: float) -> list[Vote]:
        """Return the votes that are valid until a time or longer."""
        return [vote for vote in self._votes.values() if vote.until >= until]

    def compute_total(self, limit: int, until: float) -> int:
        """Return the slots of a limit that all votes lend until a time."""
        return sum(
            compute_least_slots(vote.shares, limit)
            for vote in self.list_valid(until)
        )

    def compute_lent(self, vm: VmId, limit: int, until: float) -> int:
        """Return the slots of a limit that one VM lends until a time."""
        vote = self._votes.get(vm)
        if vote is None or vote.until < until:
            return 0
        return compute_least_slots(vote.shares, limit)
