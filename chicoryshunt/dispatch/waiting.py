"""Decides which waiting request may take memory that became free."""

import math
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from chicoryshunt.dispatch.forecast import RunView
from chicoryshunt.dispatch.service_order import (
    Claim,
    NoteKey,
    TeamHash,
    WaitingGroup,
    YieldBudget,
)
from chicoryshunt.types import RequestId, ServiceId

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


@dataclass(slots=True, kw_only=True)
class FleetWaiter(WaitingRequest):
    """A waiting request that has a place in the order of the fleet.

    ``is_passed_over`` is set once others went first for its team's share.
    """

    claim: Claim
    service: ServiceId
    view: RunView
    yields: YieldBudget = field(default_factory=YieldBudget)
    is_passed_over: bool = False
    key: NoteKey | None = None
    looked_at: float = -math.inf
    room_since: float = math.inf

    def record_room(self, now: float, *, has_room: bool) -> None:
        """Record whether an engine has room; without room, a yield ends."""
        self.is_blocked = not has_room
        self.looked_at = now
        if has_room:
            self.room_since = min(self.room_since, now)
        else:
            self.room_since = math.inf
            self.yields.stop(now)

    def has_missed(self, room_since: float) -> bool:
        """Return whether it has not looked since room became free."""
        return self.is_blocked and self.looked_at < room_since

    def build_group(self) -> WaitingGroup:
        """Return the request as a group of one."""
        return WaitingGroup(
            self.claim, 1, self.view.prompt_tokens, self.view.expected_tokens
        )

    def is_next(
        self,
        others: Iterable['FleetWaiter'],
        over: Collection[TeamHash],
        now: float,
    ) -> bool:
        """Return whether it precedes the others of its service and node."""
        key = self.claim.build_key(over, now)
        return all(
            other.claim.service != self.claim.service
            or other.claim.build_key(over, now) >= key
            or other.may_be_overtaken(now)
            or (other.is_held and not self.can_wait)
            for other in others
        )


_Waiter = TypeVar('_Waiter', bound=WaitingRequest)


class WaitQueue(Generic[_Waiter]):
    """Requests of this node that found no engine with room.

    A burst may fill all memory for seconds. Requests go in order of priority;
    within a priority, those still within their target latency go before late
    ones, since otherwise all would become late. Late requests are not
    refused: a late answer is still useful, and memory becomes free later.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting: dict[RequestId, _Waiter] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def __iter__(self) -> Iterator[_Waiter]:
        """Iterate over the waiting requests."""
        return iter(self._waiting.values())

    def add(self, entry: _Waiter) -> None:
        """Add a waiting request."""
        self._waiting[entry.request] = entry

    def remove(self, entry: _Waiter) -> None:
        """Remove a request that was placed or abandoned."""
        self._waiting.pop(entry.request, None)

    def may_proceed(self, entry: _Waiter, now: float) -> bool:
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
