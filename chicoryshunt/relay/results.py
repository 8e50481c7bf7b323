"""Results of a request and of its attempts."""

from dataclasses import dataclass

from chicoryshunt.connection.upstream import RawHeaders
from chicoryshunt.types import TargetId
from chicoryshunt.verdict import Verdict


@dataclass(frozen=True, slots=True)
class Delivered:
    """The complete answer of a target, which may be an error."""

    target: TargetId
    status: int
    headers: RawHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request provably did not run at a target.

    ``was_sent``: the target may have received it, and refused it.
    """

    target: TargetId
    detail: str
    was_sent: bool = True


@dataclass(frozen=True, slots=True)
class Doubtful:
    """The request may have run at a target, but its answer is lost."""

    target: TargetId
    detail: str
    is_timeout: bool = False


@dataclass(frozen=True, slots=True)
class Streamed:
    """The answer was streamed to the caller, complete or cut.

    Times are in seconds; ``leg_count`` includes legs that no engine accepted.
    """

    is_whole: bool
    events: int
    first_event_seconds: float
    longest_gap_seconds: float
    leg_count: int


Attempt = Delivered | NotRun | Doubtful
Result = Delivered | Streamed | Verdict
