"""Versions of the slots leased beyond the voters' own shares."""

from collections.abc import Iterable, Mapping

from chicoryshunt.limits.claims import Excess
from chicoryshunt.types import VmId

_KEPT_VERSIONS = 16

HolderKey = tuple[VmId, int]


class ExcessHistory:
    """Tracks the excess that voters store for a later keeper."""

    def __init__(self) -> None:
        """Start with an empty version."""
        self.version = 1
        self._versions: dict[int, dict[HolderKey, Excess]] = {1: {}}

    @property
    def latest(self) -> Mapping[HolderKey, Excess]:
        """Return the latest version."""
        return self._versions[self.version]

    def publish(self, excess: Iterable[Excess]) -> None:
        """Add a version if it differs from the latest."""
        version = {(one.vm, one.epoch): one for one in excess if one.slots > 0}
        if version == self.latest:
            return
        self.version += 1
        self._versions[self.version] = version
        self._versions.pop(self.version - _KEPT_VERSIONS, None)

    def record(self, excess: Iterable[Excess]) -> None:
        """Add a version with at least the slots of the latest."""
        version = dict(self.latest)
        for one in excess:
            known = version.get((one.vm, one.epoch))
            if known is None or known.slots < one.slots:
                version[(one.vm, one.epoch)] = one
        self.publish(version.values())

    def find_update(self, known: int) -> tuple[Excess, ...] | None:
        """Return the latest version unless it is the known one."""
        if known == self.version:
            return None
        return tuple(self.latest.values())

    def find_common(self, holder: HolderKey, versions: Iterable[int]) -> int:
        """Return the slots that all of some versions list."""
        return min(
            (self._find(holder, version) for version in versions),
            default=0,
        )

    def _find(self, holder: HolderKey, version: int) -> int:
        found = self._versions.get(version, {}).get(holder)
        return 0 if found is None else found.slots
