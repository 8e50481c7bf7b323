"""Updates that still have to be passed on, and how often each was."""

from collections.abc import Iterable
from math import ceil, log2

from chicoryshunt.membership.roster import Update
from chicoryshunt.types import VmId

_UPDATE_OVERHEAD_BYTES = 20
_ROUNDS = 3


class UpdateQueue:
    """Holds the latest update of each VM until it was sent often enough."""

    def __init__(self) -> None:
        """Start with nothing to pass on."""
        self._sent: dict[VmId, int] = {}
        self._updates: dict[VmId, Update] = {}
        self._urgent: dict[VmId, Update] = {}

    def add(self, update: Update) -> None:
        """Pass an update on, in place of an older one of the VM."""
        self._updates[update.vm] = update
        self._sent[update.vm] = 0
        self._urgent[update.vm] = update

    def take_urgent(self, budget: int) -> tuple[Update, ...]:
        """Return updates that were never sent, within some bytes."""
        chosen = fit_updates(self._urgent.values(), budget)
        for update in chosen:
            self._urgent.pop(update.vm)
        return chosen

    def take(self, members: int, budget: int) -> tuple[Update, ...]:
        """Return the updates sent least often, within some bytes."""
        limit = _ROUNDS * ceil(log2(members + 1))
        ordered = sorted(self._updates, key=self._sent.__getitem__)
        chosen = fit_updates((self._updates[vm] for vm in ordered), budget)
        for update in chosen:
            self._sent[update.vm] += 1
            if self._sent[update.vm] >= limit:
                self._updates.pop(update.vm)
                self._sent.pop(update.vm)
        return chosen


def fit_updates(updates: Iterable[Update], budget: int) -> tuple[Update, ...]:
    """Return the first updates that fit into some bytes."""
    chosen = []
    left = budget
    for update in updates:
        left -= len(update.vm) + _UPDATE_OVERHEAD_BYTES
        if left < 0:
            break
        chosen.append(update)
    return tuple(chosen)
