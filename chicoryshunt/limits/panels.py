"""The panels of all targets, kept up to date in small steps."""

from collections.abc import Iterable, Iterator, Mapping

from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.limits.voters import choose_voters
from chicoryshunt.types import DataCentreId, TargetId, VmId

Panel = tuple[VmId, ...]


class Panels:
    """Panels by target, after the latest list and configuration."""

    def __init__(self) -> None:
        """Start without targets."""
        self.listed_at: float = 0
        self._targets: Mapping[TargetId, DataCentreId] = {}
        self._regions: Mapping[DataCentreId, str] = {}
        self._vms: tuple[PublishedVm, ...] = ()
        self._panels: dict[TargetId, Panel] = {}
        self._outdated: dict[TargetId, None] = {}

    def __contains__(self, target: TargetId) -> bool:
        """Say whether the configuration names a target."""
        return target in self._targets

    def find(self, target: TargetId) -> Panel:
        """Return the panel of a target, empty while it is not known."""
        return self._panels.get(target, ())

    def learn_vms(self, vms: Iterable[PublishedVm], now: float) -> None:
        """Follow the published list; addresses and marks change nothing."""
        listed = tuple(sorted(vms, key=_get_vm))
        if _list_places(listed) != _list_places(self._vms):
            self.listed_at = now
            self._vms = listed
            self._outdated = dict.fromkeys(self._targets)

    def learn_targets(
        self,
        targets: Mapping[TargetId, DataCentreId],
        regions: Mapping[DataCentreId, str],
    ) -> None:
        """Follow the configuration."""
        for dropped in self._targets.keys() - targets.keys():
            self._panels.pop(dropped, None)
            self._outdated.pop(dropped, None)
        changed = {
            target
            for target, place in targets.items()
            if self._targets.get(target) != place
        }
        if regions != self._regions:
            changed = set(targets)
        self._targets = dict(targets)
        self._regions = dict(regions)
        self._outdated.update(dict.fromkeys(sorted(changed)))

    def refresh(self, count: int) -> Iterator[tuple[TargetId, Panel]]:
        """Bring some panels up to date and return those that changed."""
        if not self._vms:
            return
        for target in tuple(self._outdated)[:count]:
            self._outdated.pop(target)
            panel = choose_voters(
                target,
                self._targets[target],
                self._vms,
                self._regions,
            )
            if panel != self._panels.get(target):
                self._panels[target] = panel
                yield target, panel


def _get_vm(published: PublishedVm) -> VmId:
    return published.vm


def _list_places(
    vms: Iterable[PublishedVm],
) -> list[tuple[VmId, DataCentreId]]:
    return [(one.vm, one.data_centre) for one in vms]
