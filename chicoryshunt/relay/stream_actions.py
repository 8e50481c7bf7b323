"""Actions that the state machine of a stream requests."""

from dataclasses import dataclass

from chicoryshunt.relay.stream_inputs import LegId
from chicoryshunt.relay.target_codec import MemoryCopy
from chicoryshunt.types import TargetId


@dataclass(frozen=True, slots=True)
class Forward:
    """Send these frames to the caller."""

    frames: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Copy:
    """Order the current engine to copy the memory of the run."""

    destination: TargetId
    stops_run: bool


@dataclass(frozen=True, slots=True)
class StartStopTimer:
    """Start the timer for the last events of the stopped engine."""


@dataclass(frozen=True, slots=True)
class OpenLeg:
    """Continue the run on a target, or on any engine if it is ``None``."""

    leg: LegId
    target: TargetId | None
    memory: MemoryCopy | None
    last_event: int | None


@dataclass(frozen=True, slots=True)
class CloseLeg:
    """Close the connection of a leg."""

    leg: LegId


@dataclass(frozen=True, slots=True)
class Replan:
    """Plan another move off an engine if it is leaving."""


@dataclass(frozen=True, slots=True)
class Release:
    """Drop a copy that will not be used."""

    copy: MemoryCopy


@dataclass(frozen=True, slots=True)
class Finish:
    """End the stream with a complete answer."""


@dataclass(frozen=True, slots=True)
class Abort:
    """End the stream with an answer that no engine can continue."""

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
