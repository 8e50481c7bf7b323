"""The targets that this node keeps."""

from collections.abc import Iterable, Iterator

from chicoryshunt.connection.target_api import LoadReport
from chicoryshunt.events import log_event
from chicoryshunt.invariants import InvariantChecker
from chicoryshunt.limits.claims import Claim, Grant, LeaseTimes, Release
from chicoryshunt.limits.ledger import Ledger
from chicoryshunt.limits.tenures import FindBearing
from chicoryshunt.types import TargetId, VmId


class Keeping:
    """Ledgers by target; each time of keeping has its own epoch."""

    def __init__(
        self,
        times: LeaseTimes,
        epoch: int,
        find_bearing: FindBearing,
        invariants: InvariantChecker,
    ) -> None:
        """Start without targets; epochs grow from the given one."""
        self._times = times
        self._epoch = epoch
        self._find_bearing = find_bearing
        self._invariants = invariants
        self._ledgers: dict[TargetId, Ledger] = {}

    def __iter__(self) -> Iterator[Ledger]:
        """Return every ledger."""
        return iter(self._ledgers.values())

    def find(self, target: TargetId) -> Ledger | None:
        """Return the ledger of a target that is kept here."""
        return self._ledgers.get(target)

    def follow(
        self,
        kept: Iterable[TargetId],
    ) -> Iterator[tuple[VmId, Release]]:
        """Keep exactly these targets; release the votes of the others."""
        wanted = set(kept)
        for dropped in sorted(self._ledgers.keys() - wanted):
            log_event('target_released', target=dropped)
            yield from self._ledgers.pop(dropped).release()
        for added in sorted(wanted - self._ledgers.keys()):
            self._epoch += 1
            log_event('target_kept', target=added, epoch=self._epoch)
            self._ledgers[added] = Ledger(
                added,
                self._times,
                self._epoch,
                self._invariants,
            )

    def claim(
        self,
        vm: VmId,
        epoch: int,
        claim: Claim,
        now: float,
    ) -> Grant | None:
        """Answer a claim on a target that is kept here."""
        ledger = self._ledgers.get(claim.target)
        if ledger is None:
            return None
        ledger.limit = self._find_bearing(claim.target)
        return ledger.claim(vm, epoch, claim, now)

    def tick(self, now: float) -> Iterator[tuple[VmId, Grant]]:
        """Forget what ended and return grants that changed."""
        for target, ledger in self._ledgers.items():
            ledger.limit = self._find_bearing(target)
            ledger.expire(now)
            yield from ledger.list_pushes(now)

    def take_load(
        self,
        target: TargetId,
        report: LoadReport,
        now: float,
    ) -> None:
        """Take a report that a target gave just now."""
        ledger = self._ledgers.get(target)
        if ledger is not None:
            ledger.take_load(report, now)

    def wake(self) -> None:
        """Forget every account; the voters know what was lent."""
        self._ledgers.clear()
