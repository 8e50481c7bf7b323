"""Decides which few nodes read the configuration service."""

import random
from math import inf

from chicoryshunt.membership.members import Members
from chicoryshunt.membership.rendezvous import rank_vms
from chicoryshunt.types import DataCentreId, VmId

READERS_PER_DATA_CENTRE = 2
FALLBACK_AGE_SECONDS = 6.0
FALLBACK_READERS = 10
UNKNOWN_AGE_MS = -1
_MS = 1000


class ReaderElection:
    """Some nodes of each data centre read, others when no read is heard of.

    The number of readers does not grow with the fleet. While no read is
    heard of, each node reads with a chance that leaves a constant number of
    readers on average.
    """

    def __init__(
        self,
        own: VmId,
        data_centre: DataCentreId,
        members: Members,
        rng: random.Random,
    ) -> None:
        """Choose for one node."""
        self._own = own
        self._data_centre = data_centre
        self._members = members
        self._rng = rng
        self._last_read = -inf
        self._silent_since: float | None = None

    def should_read(self, now: float) -> bool:
        """Say whether this node reads the service now."""
        if self._silent_since is None:
            self._silent_since = now
        live = self._members.list_live(self._data_centre)
        ranked = rank_vms(f'config-reader/{self._data_centre}', live)
        if self._own in ranked[:READERS_PER_DATA_CENTRE]:
            return True
        silence = now - max(self._last_read, self._silent_since)
        if silence < FALLBACK_AGE_SECONDS:
            return False
        count = max(1, len(self._members.list_live()))
        return self._rng.random() < FALLBACK_READERS / count

    def record_read(self, now: float, age_ms: int = 0) -> None:
        """Remember a read of the service by this or another node."""
        if age_ms != UNKNOWN_AGE_MS:
            self._last_read = max(self._last_read, now - age_ms / _MS)

    def get_age_ms(self, now: float) -> int:
        """Return the age of the latest read heard of, in milliseconds."""
        if self._last_read == -inf:
            return UNKNOWN_AGE_MS
        return max(0, int((now - self._last_read) * _MS))
