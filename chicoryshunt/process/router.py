"""Chooses targets and counts what this node has running on each."""

from collections import Counter
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from chicoryshunt.types import (
    DataCentreId,
    ModelId,
    Reason,
    ServiceId,
    TargetId,
)
from chicoryshunt.verdict import Verdict, refuse
from chicoryshunt.version.config import Config, Presence, Target


@dataclass(frozen=True, slots=True)
class Route:
    """The target chosen for a request."""

    target: TargetId
    address: str


class Router:
    """Spreads requests over the targets that may take them."""

    def __init__(self, data_centre: DataCentreId) -> None:
        """Prefer targets of the node's own data centre."""
        self._data_centre = data_centre
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
        chosen = min(usable, key=lambda one: self._running[one])
        if self._running[chosen] >= usable[chosen].concurrent:
            return refuse(Reason.overloaded, f'targets of {wanted!r} are full')
        return Route(chosen, usable[chosen].address)

    @contextmanager
    def hold(self, route: Route) -> Iterator[None]:
        """Count a request on its target while it runs."""
        self._running[route.target] += 1
        try:
            yield
        finally:
            self._running[route.target] -= 1


def is_serving(config: Config, target: Target) -> bool:
    """Say whether operators let the target take new work."""
    data_centre = config.data_centres.get(target.data_centre)
    return (
        target.presence is Presence.serving
        and data_centre is not None
        and data_centre.presence is Presence.serving
    )
