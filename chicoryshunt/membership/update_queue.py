"""Queue of membership updates to send, with their send counts."""

from collections.abc import Iterable
from math import ceil, log2

from chicoryshunt.membership.roster import Update
from chicoryshunt.types import VmId

_UPDATE_OVERHEAD_BYTES = 20
_RETRANSMIT_FACTOR = 3


class UpdateQueue:
    """Queue of the latest update of each VM, sent a limited number of times."""

    def __init__(self) -> None:
        """Start empty."""
        self._sent: dict[VmId, int] = {}
        self._updates: dict[VmId, Update] = {}
        self._urgent: dict[VmId, Update] = {}

    def add(self, update: Update) -> None:
        """Queue an update and drop an older one of the same VM."""
        self._updates[update.vm] = update
        self._sent[update.vm] = 0
        self._urgent[update.vm] = update

    def take_urgent(self, max_bytes: int) -> tuple[Update, ...]:
        """Return updates that were not pushed yet, up to ``max_bytes``."""
        chosen = fit_updates(self._urgent.values(), max_bytes)
        for update in chosen:
            self._urgent.pop(update.vm)
        return chosen

    def take(self, member_count: int, max_bytes: int) -> tuple[Update, ...]:
        """Return the updates sent least often, up to ``max_bytes``."""
        limit = _RETRANSMIT_FACTOR * ceil(log2(member_count + 1))
        ordered = sorted(self._updates, key=self._sent.__getitem__)
        chosen = fit_updates((self._updates[vm] for vm in ordered), max_bytes)
        for update in chosen:
            self._sent[update.vm] += 1
            if self._sent[update.vm] >= limit:
                self._updates.pop(update.vm)
                self._sent.pop(update.vm)
        return chosen


def fit_updates(
    updates: Iterable[Update], max_bytes: int
) -> tuple[Update, ...]:
    """Return the first updates that fit into ``max_bytes``."""
    chosen = []
    remaining = max_bytes
    for update in updates:
        remaining -= len(update.vm) + _UPDATE_OVERHEAD_BYTES
        if remaining < 0:
            break
        chosen.append(update)
    return tuple(chosen)
