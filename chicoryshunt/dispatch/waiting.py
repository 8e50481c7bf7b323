"""Which of the waiting requests may take room that has come up."""

from dataclasses import dataclass, field

from chicoryshunt.types import RequestId

# A large request that has waited for this part of its target latency is not
# passed by smaller ones any more, or it would never find room.
_PASSING_PART = 0.4


@dataclass(slots=True)
class WaitingRequest:
    """One waiting request; times are in monotonic seconds."""

    request: RequestId
    priority: int
    since: float
    target_latency: float
    is_blocked: bool = field(default=False, compare=False)

    def may_be_passed(self, now: float) -> bool:
        """Say whether a later request that fits may go first."""
        waited = now - self.since
        return self.is_blocked and waited < self.target_latency * _PASSING_PART

    def is_late(self, now: float) -> bool:
        """Say whether the request has missed its target latency."""
        return now - self.since > self.target_latency


class WaitQueue:
    """Requests that found no engine with room, on this node.

    Load pattern: a burst fills all memory for seconds. Urgent requests go
    first; among equals, those that can still be on time go before those that
    cannot, or all would be late. Nobody is refused for being late: a late
    answer is still worth something, and later there is room.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._tickets: dict[RequestId, WaitingRequest] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._tickets)

    def add(self, ticket: WaitingRequest) -> None:
        """Let a request wait."""
        self._tickets[ticket.request] = ticket

    def remove(self, ticket: WaitingRequest) -> None:
        """Drop a request that goes or gives up."""
        self._tickets.pop(ticket.request, None)

    def may_proceed(self, ticket: WaitingRequest, now: float) -> bool:
        """Say whether a request that fits may go now."""
        rank = _rank(ticket, now)
        return all(
            _rank(other, now) >= rank or other.may_be_passed(now)
            for other in self._tickets.values()
        )


def _rank(
    ticket: WaitingRequest, now: float
) -> tuple[int, bool, float, RequestId]:
    return ticket.priority, ticket.is_late(now), ticket.since, ticket.request
