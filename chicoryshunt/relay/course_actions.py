"""What the course of a stream asks to be done."""

from dataclasses import dataclass

from chicoryshunt.relay.course_inputs import LegId
from chicoryshunt.relay.ports import Memory
from chicoryshunt.types import TargetId


@dataclass(frozen=True, slots=True)
class Forward:
    """Send these frames to the caller."""

    frames: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Copy:
    """Order the current engine to copy the run."""

    destination: TargetId
    stops_run: bool


@dataclass(frozen=True, slots=True)
class StartStopTimer:
    """Wait a moment for the last events of the stopped engine."""


@dataclass(frozen=True, slots=True)
class OpenLeg:
    """Let the run go on at a target; ``None`` leaves the choice open."""

    leg: LegId
    target: TargetId | None
    memory: Memory | None
    last_event: int | None


@dataclass(frozen=True, slots=True)
class CloseLeg:
    """Close the connection of a leg."""

    leg: LegId


@dataclass(frozen=True, slots=True)
class Replan:
    """Look for another way off an engine that leaves."""


@dataclass(frozen=True, slots=True)
class Release:
    """Drop a copy that nothing will use."""

    handle: str


@dataclass(frozen=True, slots=True)
class Finish:
    """The answer is whole."""


@dataclass(frozen=True, slots=True)
class Abort:
    """Nothing can go on with the answer."""

    reason: str


Action = (
    Forward
    | Copy
    | StartStopTimer
    | OpenLeg
    | CloseLeg
    | Replan
    | Release
    | Finish
    | Abort
)
