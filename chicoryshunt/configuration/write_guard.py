"""Refuses, right before the write, work for what operators took out."""

from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.pause import PauseDetector
from chicoryshunt.types import DataCentreId, TargetId
from chicoryshunt.version.config import Config, Presence

GRACE_SECONDS = 1.0


class WriteGuard:
    """Knows since when each data centre and target takes no new work.

    Work that is chosen before a version and written after it is refused. A
    promise is broken when the choice was made long after the version.
    """

    def __init__(self, pause_detector: PauseDetector, metrics: Metrics) -> None:
        """Refuse everything until a configuration is known."""
        self._pause_detector = pause_detector
        self._invariants = InvariantChecker(metrics)
        self._centres: dict[TargetId, DataCentreId] = {}
        self._centres_out: dict[DataCentreId, float] = {}
        self._targets_out: dict[TargetId, float] = {}

    def apply_config(self, config: Config) -> None:
        """Follow the configuration."""
        now = self._pause_detector.check()
        self._centres = {
            name: target.data_centre for name, target in config.targets.items()
        }
        self._centres_out = {
            name: self._centres_out.get(name, now)
            for name, data_centre in config.data_centres.items()
            if data_centre.presence is Presence.out
        }
        self._targets_out = {
            name: self._targets_out.get(name, now)
            for name, target in config.targets.items()
            if target.presence is Presence.out
        }

    def may_write(self, target: TargetId) -> bool:
        """Say whether new work may be written to a target now."""
        now = self._pause_detector.check()
        data_centre = self._centres.get(target)
        if data_centre is None:
            return False
        since_centre = self._centres_out.get(data_centre)
        since_target = self._targets_out.get(target)
        self._check(Invariant.data_centre_out, since_centre, now, target)
        self._check(Invariant.target_leaving, since_target, now, target)
        return since_centre is None and since_target is None

    def _check(
        self,
        promise: Invariant,
        since: float | None,
        now: float,
        target: TargetId,
    ) -> None:
        is_late = since is not None and now - since > GRACE_SECONDS
        self._invariants.check(promise, not is_late, target=target)
