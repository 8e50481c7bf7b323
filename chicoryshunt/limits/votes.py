"""Votes of a target's panel, as its keeper counts them."""

from dataclasses import dataclass

from chicoryshunt.limits.voters import VoterShare, compute_worth
from chicoryshunt.types import VmId


@dataclass(frozen=True, slots=True)
class Vote:
    """Seats that one process lends until a second.

    ``account`` is the number of the account that the process knows.
    """

    epoch: int
    seats: tuple[VoterShare, ...]
    until: float
    account: int


class Votes:
    """The latest vote of each VM."""

    def __init__(self) -> None:
        """Start without votes."""
        self._votes: dict[VmId, Vote] = {}

    def find(self, vm: VmId) -> Vote | None:
        """Return the vote of a VM."""
        return self._votes.get(vm)

    def record(self, vm: VmId, vote: Vote) -> None:
        """Keep a vote in place of an older one."""
        self._votes[vm] = vote

    def expire(self, now: float) -> None:
        """Forget votes that ended."""
        for vm, vote in tuple(self._votes.items()):
            if vote.until <= now:
                self._votes.pop(vm)

    def list_voters(self) -> list[VmId]:
        """Return the VMs that vote."""
        return list(self._votes)

    def list_valid(self, until: float) -> list[Vote]:
        """Return the votes that last until a second or longer."""
        return [vote for vote in self._votes.values() if vote.until >= until]

    def compute_worth(self, limit: int, until: float) -> int:
        """Return the part of a limit that all votes lend until a second."""
        return sum(
            compute_worth(vote.seats, limit) for vote in self.list_valid(until)
        )

    def compute_cover(self, vm: VmId, limit: int, until: float) -> int:
        """Return the part of a limit that one VM lends until a second."""
        vote = self._votes.get(vm)
        if vote is None or vote.until < until:
            return 0
        return compute_worth(vote.seats, limit)
