"""Fault injection that all stand-ins share."""

import asyncio
import os
import time
from enum import Enum

import msgspec

_FAULT_DELAY_SECONDS = 0.05


class FaultKind(Enum):
    """Kind of fault to inject; ``none`` clears all faults."""

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
    """Request for a fault that lasts ``seconds``."""

    kind: FaultKind
    seconds: float = 3600
    after_tokens: int = 0


class Faults:
    """Active faults of one stand-in."""

    def __init__(self) -> None:
        """Start without active faults."""
        self._until: dict[FaultKind, float] = {}
        self.after_tokens = 0

    def apply(self, fault: Fault) -> None:
        """Activate a fault, or clear all with ``none``."""
        match fault.kind:
            case FaultKind.none:
                self._until.clear()
            case FaultKind.die:
                asyncio.get_event_loop().call_later(
                    _FAULT_DELAY_SECONDS,
                    os._exit,
                    1,
                )
            case FaultKind.freeze:
                asyncio.get_event_loop().call_later(
                    _FAULT_DELAY_SECONDS,
                    time.sleep,
                    fault.seconds,
                )
            case _:
                self._until[fault.kind] = time.monotonic() + fault.seconds
                self.after_tokens = fault.after_tokens

    def is_on(self, kind: FaultKind) -> bool:
        """Return whether a fault is active."""
        return self._until.get(kind, 0) > time.monotonic()
