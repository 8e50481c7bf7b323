"""Decides which requests a node that stops still accepts."""

from dataclasses import dataclass
from typing import Final

from chicoryshunt.types import Reason, Seconds
from chicoryshunt.verdict import Verdict, refuse

# The process ends this long before it is killed, in a short grace for a share.
_MAX_MARGIN_SECONDS: Final = 0.5
_MARGIN_SHARE: Final = 0.0625
# The last answers are written in this time before connections are closed.
ANSWER_SECONDS: Final = 0.3
# Another node may serve the request at once.
_RETRY_AFTER_SECONDS: Final = Seconds(0)


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop of this node; times are in monotonic seconds.

    Callers may use a list of nodes from before the stop until
    ``lists_expire``; answers must be complete by ``end``.
    """

    lists_expire: float
    end: float

    def accepts(
        self, received: float, expected_end: float, deadline: float
    ) -> bool:
        """Return whether a request can be answered before the node ends.

        Load pattern: a fleet is stopped node by node. Callers come with old
        lists, on kept connections until the end, and a long stream that is
        begun here is cut, although another node could serve it whole. Nothing
        is assumed of a request that comes after the lists have expired but
        that it ends by its deadline.
        """
        if received > self.lists_expire:
            return deadline <= self.end
        return expected_end <= self.end


def find_last_moment(started: float, grace: float) -> float:
    """Return when a node closes its connections in a planned stop.

    It is killed ``grace`` seconds after ``started``.
    """
    return started + grace - min(_MAX_MARGIN_SECONDS, grace * _MARGIN_SHARE)


def refuse_stopping() -> Verdict:
    """Refuse a request that this node could not answer before it ends."""
    return refuse(Reason.draining, 'the node stops', _RETRY_AFTER_SECONDS)
