"""Requests that may still run on a target without a live lease."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import ceil

from chicoryshunt.types import VmId

IsVoting = Callable[[VmId], bool]


@dataclass(slots=True)
class LostHolder:
    """Slots that a lost holder may still occupy.

    ``covered`` of them are its own seat's worth, which nobody else lends
    while its vote is out. Nothing was added after ``since``; after ``until``
    the slots are free for certain. Times are in seconds.
    """

    vm: VmId
    epoch: int
    slots: int
    covered: int
    since: float
    until: float

    def compute_cost(self, *, is_voting: bool) -> int:
        """Return the slots that have to be kept free for it."""
        if is_voting:
            return self.slots
        return max(0, self.slots - self.covered)


class LostHolders:
    """The orphans of one target, bounded by what the target reports."""

    def __init__(self) -> None:
        """Start without orphans."""
        self._holders: dict[tuple[VmId, int], LostHolder] = {}
        self._bound: int | None = None
        self._bounded: set[tuple[VmId, int]] = set()

    def __bool__(self) -> bool:
        """Say whether there are any."""
        return bool(self._holders)

    def add(self, orphan: LostHolder) -> None:
        """Count an orphan, at least as large as it was known."""
        key = (orphan.vm, orphan.epoch)
        known = self._holders.get(key)
        if known is None or known.slots < orphan.slots:
            self._holders[key] = orphan
            self._bounded.discard(key)

    def has(self, vm: VmId, epoch: int) -> bool:
        """Say whether the process of a VM has an orphan here."""
        return (vm, epoch) in self._holders

    def drop(self, vm: VmId, epoch: int) -> None:
        """Forget an orphan whose holder reports for itself again."""
        self._holders.pop((vm, epoch), None)
        self._bounded.discard((vm, epoch))

    def expire(self, now: float) -> None:
        """Forget those that ended for certain."""
        for key, orphan in tuple(self._holders.items()):
            if orphan.until <= now:
                self.drop(*key)

    def apply_report(self, unaccounted: int, seen_at: float) -> None:
        """Bound those added before a report by what nobody accounts for."""
        settled = {
            key
            for key, orphan in self._holders.items()
            if orphan.since <= seen_at
        }
        if unaccounted <= 0:
            for key in settled:
                self.drop(*key)
            return
        added = settled - self._bounded
        if added or self._bound is None:
            self._bound = unaccounted
        self._bound = min(self._bound, unaccounted)
        self._bounded = settled

    def list_entries(self) -> list[LostHolder]:
        """Return every orphan."""
        return list(self._holders.values())

    def compute_cost(self, is_voting: IsVoting) -> int:
        """Return the slots that must be kept free for all of them."""
        free = [
            orphan
            for key, orphan in self._holders.items()
            if key not in self._bounded
        ]
        bounded = [self._holders[key] for key in self._bounded]
        unbounded = sum(
            orphan.compute_cost(is_voting=is_voting(orphan.vm))
            for orphan in free
        )
        return unbounded + _bound_cost(bounded, self._bound or 0, is_voting)


def _bound_cost(
    orphans: Iterable[LostHolder],
    bound: int,
    is_voting: IsVoting,
) -> int:
    """Return the highest cost that is possible with so many slots in all."""
    costs = [
        (orphan.compute_cost(is_voting=is_voting(orphan.vm)), orphan.slots)
        for orphan in orphans
    ]
    costs.sort(key=_compute_density, reverse=True)
    total: float = 0
    left = bound
    for cost, slots in costs:
        used = min(slots, left)
        total += cost * used / slots if slots else 0
        left -= used
    return ceil(total)


def _compute_density(cost: tuple[int, int]) -> float:
    return cost[0] / cost[1] if cost[1] else 0
