"""Chooses targets and counts what this node has running on each."""

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
    """Spreads requests over the targets that may take them."""

    def __init__(
        self,
        data_centre: DataCentreId,
        allowances: SlotAllocator,
        pause_detector: PauseDetector,
    ) -> None:
        """Prefer targets of the node's own data centre."""
        self._data_centre = data_centre
        self._allowances = allowances
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
        ordered = sorted(usable, key=lambda one: self._running[one])
        for chosen in ordered:
            if self._allowances.find_headroom(chosen, now).slots:
                return Route(chosen, usable[chosen].address)
            self._allowances.request_slots(chosen, 1, 0, now)
        return refuse(
            Reason.overloaded,
            f'targets of {wanted!r} are full',
            Seconds(_RETRY_SECONDS),
        )

    @contextmanager
    def occupy(self, route: Route) -> Iterator[Slot | Shortage]:
        """Count a request on its target while it runs, with its slot."""
        slot = self._allowances.acquire_slot(
            route.target, 0, self._pause_detector.check()
        )
        self._running[route.target] += 1
        try:
            yield slot
        finally:
            self._running[route.target] -= 1
            if isinstance(slot, Slot):
                self._allowances.release_slot(
                    slot, self._pause_detector.check()
                )


def is_serving(config: Config, target: Target) -> bool:
    """Say whether operators let the target take new work."""
    data_centre = config.data_centres.get(target.data_centre)
    return (
        target.presence is Presence.serving
        and data_centre is not None
        and data_centre.presence is Presence.serving
    )
