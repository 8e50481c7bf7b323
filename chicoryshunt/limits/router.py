"""Choice of targets, by what this node has running on each."""

from collections import Counter
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from chicoryshunt.nodes.pause import PauseDetector
from chicoryshunt.policy.slots import Shortage, Slot, SlotAllocator
from chicoryshunt.types import (
    DataCentreId,
    ModelId,
    Reason,
    Seconds,
    ServiceId,
    TargetId,
)
from chicoryshunt.verdict import Verdict, refuse
from chicoryshunt.version.config import Config, Presence, Target

_RETRY_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class Route:
    """The target chosen for a request."""

    target: TargetId
    address: str


class Router:
    """Chooses the target with the fewest requests and a free slot."""

    def __init__(
        self,
        data_centre: DataCentreId,
        allocator: SlotAllocator,
        pause_detector: PauseDetector,
    ) -> None:
        """Prefer targets of the node's own data centre."""
        self._data_centre = data_centre
        self._allocator = allocator
        self._pause_detector = pause_detector
        self._running: Counter[TargetId] = Counter()

    def choose(
        self,
        config: Config,
        wanted: ModelId | ServiceId,
        excluded: Collection[TargetId] = (),
    ) -> Route | Verdict:
        """Return the least loaded target that serves what is wanted."""
        usable = {
            target_id: target
            for target_id, target in config.targets.items()
            if target_id not in excluded
            and wanted in {target.model, target.service}
            and is_serving(config, target)
        }
        if not usable:
            return refuse(Reason.no_target, f'no target serves {wanted!r}')
        now = self._pause_detector.check()
        by_load = sorted(usable, key=lambda one: self._running[one])
        for chosen in by_load:
            if self._allocator.find_headroom(chosen, now).slots:
                return Route(chosen, usable[chosen].address)
            self._allocator.request_slots(chosen, 1, 0, now)
        return refuse(
            Reason.overloaded,
            f'targets of {wanted!r} are full',
            Seconds(_RETRY_SECONDS),
        )

    @contextmanager
    def occupy(self, route: Route) -> Iterator[Slot | Shortage]:
        """Take a slot and count a request on its target while it runs."""
        slot = self._allocator.acquire_slot(
            route.target, 0, self._pause_detector.check()
        )
        self._running[route.target] += 1
        try:
            yield slot
        finally:
            self._running[route.target] -= 1
            if isinstance(slot, Slot):
                self._allocator.release_slot(slot, self._pause_detector.check())


def is_serving(config: Config, target: Target) -> bool:
    """Say whether operators let the target take new work."""
    data_centre = config.data_centres.get(target.data_centre)
    return (
        target.presence is Presence.serving
        and data_centre is not None
        and data_centre.presence is Presence.serving
    )
