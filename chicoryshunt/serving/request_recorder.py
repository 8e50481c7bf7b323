"""Builds service level samples from finished requests."""

from chicoryshunt.clock import Clock
from chicoryshunt.configuration.configuration import Configuration
from chicoryshunt.request.order import GenerationRequest
from chicoryshunt.request.token_timings import TokenTimings
from chicoryshunt.serving.attempts import Attempt
from chicoryshunt.serving.service_levels import (
    Sample,
    ServiceLevelRecorder,
    ServiceLevels,
)
from chicoryshunt.types import (
    ConfigVersion,
    DataCentreId,
    Reason,
    RunState,
    ServiceId,
    TargetId,
    TeamId,
)
from chicoryshunt.verdict import Verdict
from chicoryshunt.version.config import Config, Model, Service

_NO_CONFIG = Config(ConfigVersion(0))
_CALLER_REASONS = frozenset((Reason.cancelled, Reason.resumed_elsewhere))


class RequestRecorder:
    """Records requests by team, model or service, and data centre."""

    def __init__(
        self,
        data_centre: DataCentreId,
        configuration: Configuration,
        clock: Clock,
    ) -> None:
        """Record requests without a known target under ``data_centre``."""
        self.recorder = ServiceLevelRecorder(clock.now())
        self._data_centre = data_centre
        self._configuration = configuration
        self._clock = clock

    def record_generation(
        self,
        wanted: GenerationRequest,
        timings: TokenTimings,
        attempt: Attempt,
    ) -> None:
        """Record a generation, unless its caller left or resumed elsewhere."""
        verdict = attempt.outcome.verdict
        if verdict is not None and verdict.reason in _CALLER_REASONS:
            return
        model = self._get_config().models.get(wanted.model, Model())
        sample = Sample(
            wanted.team,
            wanted.model,
            self._find_data_centre(attempt.target),
            refused=_is_refused(verdict),
            incomplete=verdict is not None and not _is_refused(verdict),
            first_ms=timings.first_ms,
            first_limit_ms=model.first_token_ms,
            gap_limit_ms=model.token_gap_ms,
            gaps_ms=timings.gaps_ms,
        )
        self.recorder.record(sample, self._clock.now())

    def record_call(
        self,
        team: TeamId,
        service: ServiceId,
        target: TargetId | None,
        answer_ms: float,
        verdict: Verdict | None,
    ) -> None:
        """Record one call of a plain service.

        ``answer_ms`` is the time until the answer, in milliseconds.
        """
        declared = self._get_config().services.get(service, Service())
        sample = Sample(
            team,
            service,
            self._find_data_centre(target),
            refused=_is_refused(verdict),
            incomplete=verdict is not None and not _is_refused(verdict),
            first_ms=answer_ms,
            first_limit_ms=declared.answer_ms,
        )
        self.recorder.record(sample, self._clock.now())

    def export(self, vm: str) -> ServiceLevels:
        """Return the recorded service levels; ``vm`` names this node."""
        return self.recorder.export(vm, self._clock.now())

    def _get_config(self) -> Config:
        return self._configuration.current or _NO_CONFIG

    def _find_data_centre(self, target: TargetId | None) -> DataCentreId:
        declared = None
        if target is not None:
            declared = self._get_config().targets.get(target)
        return self._data_centre if declared is None else declared.data_centre


def _is_refused(verdict: Verdict | None) -> bool:
    return verdict is not None and verdict.run is RunState.not_run
