"""Decides how long requests that have time leave engines to urgent ones."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from chicoryshunt.dispatch.engines import Placed
from chicoryshunt.rules.model import RequestType, Route
from chicoryshunt.types import ServiceId

# A request can wait for others if its target latency is this many times theirs.
_MIN_LATENCY_RATIO = 2
# Share of the shorter target latency that backlog may take; the rest is for
# the prompt of the urgent request itself and for its way through the fleet.
_BACKLOG_SHARE = 0.5
# Share of the own target latency that is left when a hold ends. It covers the
# polls, the announcement and prompts placed meanwhile by other nodes.
_MARGIN_SHARE = 0.1


class HoldReason(Enum):
    """Why a request waits although an engine has room."""

    backlog = 'backlog'
    room_for_moves = 'room_for_moves'


@dataclass(frozen=True, slots=True)
class Reserve:
    """What a request leaves to others while it can wait.

    ``max_backlog`` is the backlog in seconds that it may cause, and
    ``latest_event`` the monotonic time in seconds at which its first event
    has to be expected.
    """

    max_backlog: float
    latest_event: float

    def can_wait(self, placed: Placed, now: float) -> bool:
        """Return whether a later placement would still be in time."""
        return now + placed.backlog < self.latest_event

    def find_hold(
        self, placed: Placed, now: float, moving_tokens: float = 0
    ) -> HoldReason | None:
        """Return why a request waits, ``None`` if it may be placed.

        ``moving_tokens`` is the memory that runs may need which have to move.
        Only runs that are present can move, so an idle fleet holds nothing
        back.
        """
        if not self.can_wait(placed, now):
            return None
        if placed.exceeds_backlog:
            return HoldReason.backlog
        if placed.free_tokens < min(moving_tokens, placed.held_tokens):
            return HoldReason.room_for_moves
        return None


def find_reserve(
    routes: Iterable[Route],
    service: ServiceId,
    own: Route,
    priority: int,
    received: float,
    patience: float,
) -> Reserve | None:
    """Return what a request leaves to more urgent routes of its service.

    ``priority`` is that of the request, which may differ from its route's.
    ``None`` if there is no such route with a much shorter target latency.
    ``received`` is in monotonic seconds; the run has to start within
    ``patience`` seconds after it, or its caller leaves.
    """
    shorter = [
        route.target_latency
        for route in routes
        if route.request_type is RequestType.generation
        and route.priority < priority
        and own.target_latency >= _MIN_LATENCY_RATIO * route.target_latency
        and any(share.service == service for share in route.shares)
    ]
    if not shorter:
        return None
    limit = min(own.target_latency, patience)
    return Reserve(
        min(shorter) * _BACKLOG_SHARE,
        received + limit * (1 - _MARGIN_SHARE),
    )
