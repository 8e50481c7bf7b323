"""Decides which waiting request may take memory that became free."""

from dataclasses import dataclass, field

from chicoryshunt.types import RequestId

# After this fraction of its target latency, a large request is no longer
# overtaken by smaller ones; otherwise it would starve.
_OVERTAKE_FRACTION = 0.4


@dataclass(slots=True)
class WaitingRequest:
    """A waiting request; times are in monotonic seconds.

    ``is_blocked`` is set while no engine has room for it, and ``can_wait``
    while it leaves engines to more urgent requests.
    """

    request: RequestId
    priority: int
    since: float
    target_latency: float
    is_blocked: bool = field(default=False, compare=False)
    can_wait: bool = field(default=False, compare=False)

    @property
    def is_held(self) -> bool:
        """Return whether it waits although an engine has room."""
        return self.can_wait and not self.is_blocked

    def may_be_overtaken(self, now: float) -> bool:
        """Return whether a later request that fits may go first."""
        waited = now - self.since
        return (
            self.is_blocked
            and waited < self.target_latency * _OVERTAKE_FRACTION
        )

    def is_late(self, now: float) -> bool:
        """Return whether the request has missed its target latency."""
        return now - self.since > self.target_latency


class WaitQueue:
    """Requests of this node that found no engine with room.

    A burst may fill all memory for seconds. Requests go in order of priority;
    within a priority, those still within their target latency go before late
    ones, since otherwise all would become late. Late requests are not
    refused: a late answer is still useful, and memory becomes free later.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting: dict[RequestId, WaitingRequest] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def add(self, entry: WaitingRequest) -> None:
        """Add a waiting request."""
        self._waiting[entry.request] = entry

    def remove(self, entry: WaitingRequest) -> None:
        """Remove a request that was placed or abandoned."""
        self._waiting.pop(entry.request, None)

    def may_proceed(self, entry: WaitingRequest, now: float) -> bool:
        """Return whether a request that fits may be placed now.

        Requests that are held back keep their order among each other, and
        delay no others.
        """
        key = _sort_key(entry, now)
        return all(
            _sort_key(other, now) >= key
            or other.may_be_overtaken(now)
            or (other.is_held and not entry.can_wait)
            for other in self._waiting.values()
        )


def _sort_key(
    entry: WaitingRequest, now: float
) -> tuple[int, bool, float, RequestId]:
    return entry.priority, entry.is_late(now), entry.since, entry.request
