"""Limits of kept targets that are warming up."""

from dataclasses import dataclass

from chicoryshunt.connection.target_api import LoadReport
from chicoryshunt.journal import Journal
from chicoryshunt.limits.router import is_serving
from chicoryshunt.policy.admission import Limit
from chicoryshunt.policy.slots import Headroom
from chicoryshunt.policy.warming import StateChange, WarmupLimiter
from chicoryshunt.types import Seconds, TargetId
from chicoryshunt.version.config import Config, Model, Target

_MS_PER_SECOND = 1000
_MAX_AGE_SECONDS = 60.0
_UNDECLARED_TOKENS = 2_147_483_647


@dataclass(slots=True)
class _TargetState:
    """A target's warm-up and what its latest report said."""

    limiter: WarmupLimiter
    reported_at: float
    reported_tokens: int = 0


class WarmupLimiters:
    """Lowers the limits of targets that are still warming up."""

    def __init__(self, journal: Journal) -> None:
        """Start without a configuration."""
        self._journal = journal
        self._config: Config | None = None
        self._states: dict[TargetId, _TargetState] = {}

    def apply_config(self, config: Config) -> None:
        """Apply a new configuration."""
        before = self._config
        self._config = config
        for name in tuple(self._states):
            target = config.targets.get(name)
            if target is None or target.model is None:
                self._states.pop(name)
            else:
                self._states[name].limiter.set_declared_limit(
                    _find_limit(target)
                )
                self._restart_returned(name, before)

    def lower_limit(self, name: TargetId, limit: Headroom) -> Headroom:
        """Return the limit of a target in its present warm-up state."""
        target = self._find_target(name)
        if target is None or target.model is None:
            return limit
        state = self._states.get(name)
        if state is None:
            return _convert(
                WarmupLimiter(_find_limit(target), Seconds(1)).limit
            )
        return _convert(state.limiter.limit)

    def handle_report(
        self,
        name: TargetId,
        report: LoadReport,
        now: float,
    ) -> None:
        """Evaluate a load report of a target that this node keeps."""
        target = self._find_target(name)
        if target is None or target.model is None:
            return
        state = self._ensure_state(name, target, report, now)
        state.reported_at = now
        self._log_change(name, state.limiter.record_start(report.start))
        served = max(0, report.tokens - state.reported_tokens)
        state.reported_tokens = report.tokens
        change = state.limiter.record_work(
            served,
            Seconds(report.step_ms / _MS_PER_SECOND),
            report.running + report.waiting,
        )
        self._log_change(name, change)

    def handle_loss(self, name: TargetId) -> None:
        """Record that a target did not answer."""
        state = self._states.get(name)
        if state is not None:
            self._log_change(name, state.limiter.record_unreachable())

    def _restart_returned(self, name: TargetId, before: Config | None) -> None:
        """Restart the warm-up of a target that operators return to use."""
        if before is None or self._config is None:
            return
        if name not in before.targets or is_serving_target(before, name):
            return
        if is_serving_target(self._config, name):
            self._log_change(
                name, self._states[name].limiter.record_reinstatement()
            )

    def _find_target(self, name: TargetId) -> Target | None:
        return None if self._config is None else self._config.targets.get(name)

    def _ensure_state(
        self,
        name: TargetId,
        target: Target,
        report: LoadReport,
        now: float,
    ) -> _TargetState:
        """Return the state, a new one if the latest report is too old."""
        state = self._states.get(name)
        if state is not None and now - state.reported_at < _MAX_AGE_SECONDS:
            return state
        limiter = WarmupLimiter(_find_limit(target), self._find_goal(target))
        limiter.record_start(report.start)
        limiter.start_from_load(
            report.running,
            Seconds(report.step_ms / _MS_PER_SECOND),
        )
        state = _TargetState(limiter, now, report.tokens)
        self._states[name] = state
        return state

    def _find_goal(self, target: Target) -> Seconds:
        model = None
        if self._config is not None and target.model is not None:
            model = self._config.models.get(target.model)
        return Seconds((model or Model()).token_gap_ms / _MS_PER_SECOND)

    def _log_change(self, name: TargetId, change: StateChange | None) -> None:
        if change is None or change.before is change.after:
            return
        self._journal.record(
            name,
            'target_warmth',
            change.cause.value,
            before=change.before.value,
            after=change.after.value,
            slots=change.limit.slots,
            memory_tokens=change.limit.memory_tokens,
        )


def is_serving_target(config: Config, name: TargetId) -> bool:
    """Say whether operators let a target take new work."""
    return is_serving(config, config.targets[name])


def _find_limit(target: Target) -> Limit:
    memory = target.memory_tokens or _UNDECLARED_TOKENS
    return Limit(target.concurrent, memory)


def _convert(limit: Limit) -> Headroom:
    return Headroom(limit.slots, limit.memory_tokens)
