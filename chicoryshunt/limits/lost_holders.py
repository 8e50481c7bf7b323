"""Slots that may still be in use on a target without a live lease."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import ceil

from chicoryshunt.types import VmId

IsVoting = Callable[[VmId], bool]


@dataclass(slots=True)
class LostHolder:
    """Slots that a lost holder may still use.

    ``covered`` of them belong to its own voter share, which the keeper cannot
    grant while the VM does not vote. No slot was added after ``since``; after
    ``until`` all of them are free. Times are in seconds.
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
    """Lost holders of one target, bounded by what the target reports."""

    def __init__(self) -> None:
        """Start without lost holders."""
        self._holders: dict[tuple[VmId, int], LostHolder] = {}
        self._bound: int | None = None
        self._bounded: set[tuple[VmId, int]] = set()

    def __bool__(self) -> bool:
        """Say whether there are any."""
        return bool(self._holders)

    def add(self, lost: LostHolder) -> None:
        """Add a lost holder, unless it is known with as many slots."""
        key = (lost.vm, lost.epoch)
        known = self._holders.get(key)
        if known is None or known.slots < lost.slots:
            self._holders[key] = lost
            self._bounded.discard(key)

    def has(self, vm: VmId, epoch: int) -> bool:
        """Say whether the process of a VM is a lost holder."""
        return (vm, epoch) in self._holders

    def drop(self, vm: VmId, epoch: int) -> None:
        """Drop a lost holder, as it sends claims again or has ended."""
        self._holders.pop((vm, epoch), None)
        self._bounded.discard((vm, epoch))

    def expire(self, now: float) -> None:
        """Drop those whose requests have certainly ended."""
        for key, lost in tuple(self._holders.items()):
            if lost.until <= now:
                self.drop(*key)

    def apply_report(self, unaccounted: int, observed_at: float) -> None:
        """Bound those lost before a report by its unaccounted requests."""
        settled = {
            key
            for key, lost in self._holders.items()
            if lost.since <= observed_at
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
        """Return every lost holder."""
        return list(self._holders.values())

    def compute_cost(self, is_voting: IsVoting) -> int:
        """Return the slots that must be kept free for all of them."""
        free = [
            lost
            for key, lost in self._holders.items()
            if key not in self._bounded
        ]
        bounded = [self._holders[key] for key in self._bounded]
        unbounded = sum(
            lost.compute_cost(is_voting=is_voting(lost.vm)) for lost in free
        )
        return unbounded + _bound_cost(bounded, self._bound or 0, is_voting)


def _bound_cost(
    holders: Iterable[LostHolder],
    bound: int,
    is_voting: IsVoting,
) -> int:
    """Return the highest cost that is possible with ``bound`` slots in use."""
    costs = [
        (lost.compute_cost(is_voting=is_voting(lost.vm)), lost.slots)
        for lost in holders
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
