"""What this node may have running on each target."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import msgspec

from chicoryshunt.types import TargetId


class LoadSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """What a target reported last, and how long ago the keeper read it."""

    start: int
    running: int
    waiting: int
    memory_used: int
    step_us: int
    preemptions: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class Headroom:
    """Requests and memory tokens that could still be taken."""

    slots: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class Slot:
    """Permission to have one request on a target until it is given back."""

    target: TargetId
    number: int
    memory_tokens: int


class Shortage(Enum):
    """Name why no slot was given."""

    no_lease = 'no_lease'
    lease_used_up = 'lease_used_up'
    memory_used_up = 'memory_used_up'
    paused = 'paused'


class SlotAllocator(Protocol):
    """Gives out slots that the whole fleet has room for.

    Times are seconds of a monotonic clock.
    """

    def find_headroom(self, target: TargetId, now: float) -> Headroom:
        """Return what could be taken on a target at this moment."""

    def acquire_slot(
        self,
        target: TargetId,
        memory_tokens: int,
        now: float,
    ) -> Slot | Shortage:
        """Take a slot right before the write to the target."""

    def register_running(self, target: TargetId, now: float) -> Slot:
        """Count a request that already runs on a target, lease or not."""

    def find_load(self, target: TargetId) -> LoadSnapshot | None:
        """Return what a target's keeper last heard of its load."""

    def report_curve(self, target: TargetId, curve: tuple[int, ...]) -> None:
        """Tell the keeper the memory that this node's requests will hold."""

    def release_slot(self, slot: Slot, now: float) -> None:
        """Return a slot when its request has left the target."""

    def request_slots(
        self,
        target: TargetId,
        slots: int,
        memory_tokens: int,
        now: float,
    ) -> None:
        """Say how much more could be used on a target."""
