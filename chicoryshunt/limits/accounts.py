"""Numbered accounts of the slots that seats do not cover."""

from collections.abc import Iterable, Mapping

from chicoryshunt.limits.claims import Excess
from chicoryshunt.types import VmId

_KEPT = 16

Holding = tuple[VmId, int]


class Accounts:
    """What the voters were told, so that a later keeper learns it of them."""

    def __init__(self) -> None:
        """Start with an empty account."""
        self.number = 1
        self._accounts: dict[int, dict[Holding, Excess]] = {1: {}}

    @property
    def latest(self) -> Mapping[Holding, Excess]:
        """Return the latest account."""
        return self._accounts[self.number]

    def publish(self, excess: Iterable[Excess]) -> None:
        """Number a new account if it differs from the latest."""
        account = {(one.vm, one.epoch): one for one in excess if one.slots > 0}
        if account == self.latest:
            return
        self.number += 1
        self._accounts[self.number] = account
        self._accounts.pop(self.number - _KEPT, None)

    def record(self, excess: Iterable[Excess]) -> None:
        """Publish an account that tells at least what the latest did."""
        account = dict(self.latest)
        for one in excess:
            known = account.get((one.vm, one.epoch))
            if known is None or known.slots < one.slots:
                account[(one.vm, one.epoch)] = one
        self.publish(account.values())

    def find_news(self, known: int) -> tuple[Excess, ...] | None:
        """Return the latest account for who knows another one."""
        if known == self.number:
            return None
        return tuple(self.latest.values())

    def find_known(self, holding: Holding, numbers: Iterable[int]) -> int:
        """Return the slots that every one of some accounts tells."""
        return min(
            (self._find(holding, number) for number in numbers),
            default=0,
        )

    def _find(self, holding: Holding, number: int) -> int:
        found = self._accounts.get(number, {}).get(holding)
        return 0 if found is None else found.slots
