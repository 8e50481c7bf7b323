"""Slots: permissions of this node to run requests on targets."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import msgspec

from chicoryshunt.types import TargetId


class LoadSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Last load report of a target, ``age_ms`` after its keeper read it."""

    start: int
    running: int
    waiting: int
    memory_used: int
    step_us: int
    preemptions: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class Headroom:
    """Slots and memory tokens that are still available."""

    slots: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class Slot:
    """Permission to run one request on a target until it is returned."""

    target: TargetId
    number: int
    memory_tokens: int


class Shortage(Enum):
    """Reason why no slot was available."""

    no_lease = 'no_lease'
    lease_used_up = 'lease_used_up'
    memory_used_up = 'memory_used_up'
    paused = 'paused'


class SlotAllocator(Protocol):
    """Allocates slots on targets that the whole fleet shares.

    Times are in monotonic seconds.
    """

    def find_headroom(self, target: TargetId, now: float) -> Headroom:
        """Return what is available on a target now."""

    def acquire_slot(
        self,
        target: TargetId,
        memory_tokens: int,
        now: float,
    ) -> Slot | Shortage:
        """Take a slot immediately before the request is written."""

    def register_running(self, target: TargetId, now: float) -> Slot:
        """Count a running request, whether or not a lease allows it."""

    def find_load(self, target: TargetId) -> LoadSnapshot | None:
        """Return the last load that the target's keeper sent, if any."""

    def report_curve(self, target: TargetId, curve: tuple[int, ...]) -> None:
        """Report the predicted memory of this node's requests to the keeper."""

    def release_slot(self, slot: Slot, now: float) -> None:
        """Return a slot after its request has left the target."""

    def request_slots(
        self,
        target: TargetId,
        slots: int,
        memory_tokens: int,
        now: float,
    ) -> None:
        """Request more slots and memory tokens on a target."""
