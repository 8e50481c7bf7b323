"""Slots without messages: each node has an equal share of each limit."""

from collections import Counter
from collections.abc import Callable

from chicoryshunt.policy.slots import Headroom, LoadSnapshot, Shortage, Slot
from chicoryshunt.types import TargetId
from chicoryshunt.version.config import Config

_UNDECLARED_TOKENS = 2_147_483_647


class LocalShares:
    """Allocates this node's equal share of each target's declared limit."""

    def __init__(
        self,
        read_config: Callable[[], Config | None],
        count_nodes: Callable[[], int],
    ) -> None:
        """Divide the limits by the result of ``count_nodes``."""
        self._read_config = read_config
        self._count_nodes = count_nodes
        self._slots: Counter[TargetId] = Counter()
        self._memory: Counter[TargetId] = Counter()
        self._last_number = 0
        self._loads: dict[TargetId, LoadSnapshot] = {}

    def find_headroom(self, target: TargetId, now: float) -> Headroom:
        """Return the free slots and memory of this node's share."""
        config = self._read_config()
        declared = None if config is None else config.targets.get(target)
        if declared is None:
            return Headroom(0, 0)
        nodes = max(1, self._count_nodes())
        memory = declared.memory_tokens or _UNDECLARED_TOKENS
        return Headroom(
            max(0, declared.concurrent // nodes - self._slots[target]),
            max(0, memory // nodes - self._memory[target]),
        )

    def acquire_slot(
        self,
        target: TargetId,
        memory_tokens: int,
        now: float,
    ) -> Slot | Shortage:
        """Acquire a slot of this node's share."""
        headroom = self.find_headroom(target, now)
        if not headroom.slots:
            return Shortage.lease_used_up
        if memory_tokens > headroom.memory_tokens:
            return Shortage.memory_used_up
        self._last_number += 1
        self._slots[target] += 1
        self._memory[target] += memory_tokens
        return Slot(target, self._last_number, memory_tokens)

    def register_running(self, target: TargetId, now: float) -> Slot:
        """Register a request that already runs on a target."""
        self._last_number += 1
        self._slots[target] += 1
        return Slot(target, self._last_number, 0)

    def find_load(self, target: TargetId) -> LoadSnapshot | None:
        """Return None; loads are only distributed with leases."""
        return self._loads.get(target)

    def report_curve(self, target: TargetId, curve: tuple[int, ...]) -> None:
        """Ignore the forecast; the share is fixed."""

    def release_slot(self, slot: Slot, now: float) -> None:
        """Release a slot."""
        self._slots[slot.target] -= 1
        self._memory[slot.target] -= slot.memory_tokens

    def request_slots(
        self,
        target: TargetId,
        slots: int,
        memory_tokens: int,
        now: float,
    ) -> None:
        """Ignore the demand; the share is fixed."""
