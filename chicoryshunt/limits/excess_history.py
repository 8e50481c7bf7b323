"""Numbered accounts of the slots that seats do not cover."""

from collections.abc import Iterable, Mapping

from chicoryshunt.limits.claims import Excess
from chicoryshunt.types import VmId

_KEPT_VERSIONS = 16

HolderKey = tuple[VmId, int]


class ExcessHistory:
    """What the voters were told, so that a later keeper learns it of them."""

    def __init__(self) -> None:
        """Start with an empty account."""
        self.version = 1
        self._versions: dict[int, dict[HolderKey, Excess]] = {1: {}}

    @property
    def latest(self) -> Mapping[HolderKey, Excess]:
        """Return the latest account."""
        return self._versions[self.version]

    def publish(self, excess: Iterable[Excess]) -> None:
        """Number a new account if it differs from the latest."""
        account = {(one.vm, one.epoch): one for one in excess if one.slots > 0}
        if account == self.latest:
            return
        self.version += 1
        self._versions[self.version] = account
        self._versions.pop(self.version - _KEPT_VERSIONS, None)

    def record(self, excess: Iterable[Excess]) -> None:
        """Publish an account that tells at least what the latest did."""
        account = dict(self.latest)
        for one in excess:
            known = account.get((one.vm, one.epoch))
            if known is None or known.slots < one.slots:
                account[(one.vm, one.epoch)] = one
        self.publish(account.values())

    def find_update(self, known: int) -> tuple[Excess, ...] | None:
        """Return the latest account for who knows another one."""
        if known == self.version:
            return None
        return tuple(self.latest.values())

    def find_common(self, holding: HolderKey, numbers: Iterable[int]) -> int:
        """Return the slots that every one of some accounts tells."""
        return min(
            (self._find(holding, number) for number in numbers),
            default=0,
        )

    def _find(self, holding: HolderKey, number: int) -> int:
        found = self._versions.get(number, {}).get(holding)
        return 0 if found is None else found.slots
