"""One fault switch that every stand-in shares."""

import asyncio
import os
import time
from enum import Enum

import msgspec

_DIE_DELAY_SECONDS = 0.05


class FaultKind(Enum):
    """What a stand-in can be told to do."""

    none = 'none'
    die = 'die'
    freeze = 'freeze'
    stall = 'stall'
    refuse = 'refuse'
    down = 'down'
    slow = 'slow'
    cold = 'cold'
    cut = 'cut'
    garble = 'garble'
    stale = 'stale'
    truncate = 'truncate'


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One order to misbehave; ``seconds`` is how long it lasts."""

    kind: FaultKind
    seconds: float = 3600
    after_tokens: int = 0


class Faults:
    """The faults in force in one stand-in."""

    def __init__(self) -> None:
        """Start without faults."""
        self._until: dict[FaultKind, float] = {}
        self.stall_after = 0

    def apply(self, fault: Fault) -> None:
        """Put a fault in force, or clear all with ``none``."""
        match fault.kind:
            case FaultKind.none:
                self._until.clear()
            case FaultKind.die:
                asyncio.get_event_loop().call_later(
                    _DIE_DELAY_SECONDS,
                    os._exit,
                    1,
                )
            case FaultKind.freeze:
                asyncio.get_event_loop().call_later(
                    _DIE_DELAY_SECONDS,
                    time.sleep,
                    fault.seconds,
                )
            case _:
                self._until[fault.kind] = time.monotonic() + fault.seconds
                self.stall_after = fault.after_tokens

    def is_on(self, kind: FaultKind) -> bool:
        """Say whether a fault is in force."""
        return self._until.get(kind, 0) > time.monotonic()
