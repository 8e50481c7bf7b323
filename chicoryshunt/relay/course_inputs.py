"""What happens to a stream, as its course takes it."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from chicoryshunt.relay.ports import Copied, CopyFailed
from chicoryshunt.types import TargetId

LegId = NewType('LegId', int)


class LegEnd(Enum):
    """How the answer of one engine ended."""

    whole = 'whole'
    cut = 'cut'


@dataclass(frozen=True, slots=True)
class EngineAddress:
    """An engine with its address."""

    target: TargetId
    address: str


@dataclass(frozen=True, slots=True)
class LegEvent:
    """One event of a leg; ``number`` is ``None`` where it has none."""

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
    """An engine took the run over."""

    leg: LegId
    place: EngineAddress


@dataclass(frozen=True, slots=True)
class LegRefused:
    """A leg did not begin."""

    leg: LegId


@dataclass(frozen=True, slots=True)
class MoveRequested:
    """The engine of the current leg leaves; move to this one."""

    destination: TargetId


@dataclass(frozen=True, slots=True)
class CopyEnded:
    """An order to copy was answered; it stopped the run or did not."""

    outcome: Copied | CopyFailed
    stopped_run: bool


@dataclass(frozen=True, slots=True)
class StopTimerExpired:
    """The stopped engine had time to deliver its last events."""


Input = (
    LegEvent
    | LegEnded
    | LegOpened
    | LegRefused
    | MoveRequested
    | CopyEnded
    | StopTimerExpired
)
