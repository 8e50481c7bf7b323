"""The voters of all targets, updated in small steps."""

from collections.abc import Iterable, Iterator, Mapping

from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.limits.voters import choose_voters
from chicoryshunt.types import DataCentreId, TargetId, VmId

Voters = tuple[VmId, ...]


class VoterTable:
    """Voters by target, by the latest VM list and configuration."""

    def __init__(self) -> None:
        """Start without targets."""
        self.listed_at: float = 0
        self._targets: Mapping[TargetId, DataCentreId] = {}
        self._regions: Mapping[DataCentreId, str] = {}
        self._vms: tuple[PublishedVm, ...] = ()
        self._voters: dict[TargetId, Voters] = {}
        self._outdated: dict[TargetId, None] = {}

    def __contains__(self, target: TargetId) -> bool:
        """Say whether the configuration names a target."""
        return target in self._targets

    def find(self, target: TargetId) -> Voters:
        """Return the voters of a target, none while they are not known."""
        return self._voters.get(target, ())

    def update_vms(self, vms: Iterable[PublishedVm], now: float) -> None:
        """Apply the published list; only VMs and data centres matter."""
        listed = tuple(sorted(vms, key=_get_vm))
        if _list_locations(listed) != _list_locations(self._vms):
            self.listed_at = now
            self._vms = listed
            self._outdated = dict.fromkeys(self._targets)

    def update_targets(
        self,
        targets: Mapping[TargetId, DataCentreId],
        regions: Mapping[DataCentreId, str],
    ) -> None:
        """Apply the targets and regions of a configuration."""
        for dropped in self._targets.keys() - targets.keys():
            self._voters.pop(dropped, None)
            self._outdated.pop(dropped, None)
        changed = {
            target
            for target, data_centre in targets.items()
            if self._targets.get(target) != data_centre
        }
        if regions != self._regions:
            changed = set(targets)
        self._targets = dict(targets)
        self._regions = dict(regions)
        self._outdated.update(dict.fromkeys(sorted(changed)))

    def refresh(self, count: int) -> Iterator[tuple[TargetId, Voters]]:
        """Update the voters of some targets and return those that changed."""
        if not self._vms:
            return
        for target in tuple(self._outdated)[:count]:
            self._outdated.pop(target)
            voters = choose_voters(
                target,
                self._targets[target],
                self._vms,
                self._regions,
            )
            if voters != self._voters.get(target):
                self._voters[target] = voters
                yield target, voters


def _get_vm(published: PublishedVm) -> VmId:
    return published.vm


def _list_locations(
    vms: Iterable[PublishedVm],
) -> list[tuple[VmId, DataCentreId]]:
    return [(one.vm, one.data_centre) for one in vms]
