"""Inputs to the state machine of a stream."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from chicoryshunt.relay.target_codec import Copied, CopyFailed
from chicoryshunt.types import TargetId

LegId = NewType('LegId', int)


class LegEnd(Enum):
    """How the answer of a leg ended.

    ``closed``: with its connection and between two events, without a length or
    chunks. It is whole unless the run was stopped. ``dropped``: by this node,
    because of the engine, which may still work on the run.
    """

    whole = 'whole'
    closed = 'closed'
    cut = 'cut'
    dropped = 'dropped'


@dataclass(frozen=True, slots=True)
class EngineAddress:
    """An engine and its address."""

    target: TargetId
    address: str


@dataclass(frozen=True, slots=True)
class LegEvent:
    """One event of a leg; ``number`` is ``None`` if it has none."""

    leg: LegId
    number: int | None
    frame: bytes


@dataclass(frozen=True, slots=True)
class LegEnded:
    """The answer of a leg ended."""

    leg: LegId
    end: LegEnd


@dataclass(frozen=True, slots=True)
class LegOpened:
    """An engine accepted the run on a leg."""

    leg: LegId
    place: EngineAddress


@dataclass(frozen=True, slots=True)
class LegRefused:
    """No engine accepted the run on a leg."""

    leg: LegId


@dataclass(frozen=True, slots=True)
class LegDenied:
    """The run may not be sent to any engine again."""

    leg: LegId
    reason: str


@dataclass(frozen=True, slots=True)
class MoveRequested:
    """Move from the engine of the current leg, if that is possible now."""

    destination: TargetId


@dataclass(frozen=True, slots=True)
class CopyEnded:
    """An order to copy ended; ``stopped_run`` if it asked to stop the run."""

    outcome: Copied | CopyFailed
    stopped_run: bool


@dataclass(frozen=True, slots=True)
class StopTimerExpired:
    """The time for the last events of the stopped engine has passed."""


LegEnding = LegRefused | LegDenied

Input = (
    LegEvent
    | LegEnded
    | LegOpened
    | LegRefused
    | LegDenied
    | MoveRequested
    | CopyEnded
    | StopTimerExpired
)
