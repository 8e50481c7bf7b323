"""How a request ended, as the relay tells the caller's side."""

from dataclasses import dataclass

from chicoryshunt.connection.upstream import RawHeaders
from chicoryshunt.types import TargetId
from chicoryshunt.verdict import Verdict


@dataclass(frozen=True, slots=True)
class Delivered:
    """The whole answer of a target, a failure of its own included."""

    target: TargetId
    status: int
    headers: RawHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request provably did not run at a target."""

    target: TargetId
    detail: str


@dataclass(frozen=True, slots=True)
class Doubtful:
    """The request may have run at a target, and its answer is lost."""

    target: TargetId
    detail: str
    is_timeout: bool = False


@dataclass(frozen=True, slots=True)
class Streamed:
    """The answer was streamed to the caller, whole or cut.

    Times are in seconds; ``legs`` counts the engines that were asked.
    """

    is_whole: bool
    events: int
    first_event_seconds: float
    longest_gap_seconds: float
    leg_count: int


Attempt = Delivered | NotRun | Doubtful
Result = Delivered | Streamed | Verdict
