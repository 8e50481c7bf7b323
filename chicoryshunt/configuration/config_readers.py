"""Election of the nodes that read the configuration service."""

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
    """Elects a few readers per data centre, with a random fallback.

    The number of readers does not grow with the fleet: while the latest
    known read is older than ``FALLBACK_AGE_SECONDS``, each node reads with
    a probability that makes ``FALLBACK_READERS`` nodes read on average.
    """

    def __init__(
        self,
        own: VmId,
        data_centre: DataCentreId,
        members: Members,
        rng: random.Random,
    ) -> None:
        """Start without a known read."""
        self._own = own
        self._data_centre = data_centre
        self._members = members
        self._rng = rng
        self._last_read_at = -inf
        self._started_at: float | None = None

    def should_read(self, now: float) -> bool:
        """Return whether this node reads the service now."""
        if self._started_at is None:
            self._started_at = now
        live = self._members.list_live(self._data_centre)
        ranked = rank_vms(f'config-reader/{self._data_centre}', live)
        if self._own in ranked[:READERS_PER_DATA_CENTRE]:
            return True
        read_age = now - max(self._last_read_at, self._started_at)
        if read_age < FALLBACK_AGE_SECONDS:
            return False
        count = max(1, len(self._members.list_live()))
        return self._rng.random() < FALLBACK_READERS / count

    def record_read(self, now: float, age_ms: int = 0) -> None:
        """Record a read of the service by this or another node."""
        if age_ms != UNKNOWN_AGE_MS:
            self._last_read_at = max(self._last_read_at, now - age_ms / _MS)

    def get_age_ms(self, now: float) -> int:
        """Return the age of the latest known read in milliseconds.

        Return ``UNKNOWN_AGE_MS`` if no read is known.
        """
        if self._last_read_at == -inf:
            return UNKNOWN_AGE_MS
        return max(0, int((now - self._last_read_at) * _MS))
