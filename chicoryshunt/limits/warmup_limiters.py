"""How warm the targets are that this node keeps."""

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
_FORGET_SECONDS = 60.0
_UNDECLARED_TOKENS = 2_147_483_647


@dataclass(slots=True)
class _Watched:
    """A target's state and what its latest report said."""

    warmth: WarmupLimiter
    seen: float
    tokens: int = 0


class WarmupLimiters:
    """Lowers the limits of targets that are not warm."""

    def __init__(self, journal: Journal) -> None:
        """Start without a configuration."""
        self._journal = journal
        self._config: Config | None = None
        self._watched: dict[TargetId, _Watched] = {}

    def apply_config(self, config: Config) -> None:
        """Follow the configuration."""
        before = self._config
        self._config = config
        for name in tuple(self._watched):
            target = config.targets.get(name)
            if target is None or target.model is None:
                self._watched.pop(name)
            else:
                self._watched[name].warmth.set_declared_limit(
                    _find_limit(target)
                )
                self._note_return(name, before)

    def lower_limit(self, name: TargetId, slack: Headroom) -> Headroom:
        """Return what a target can bear as warm as it is."""
        target = self._find(name)
        if target is None or target.model is None:
            return slack
        watched = self._watched.get(name)
        if watched is None:
            return _convert(
                WarmupLimiter(_find_limit(target), Seconds(1)).limit
            )
        return _convert(watched.warmth.limit)

    def handle_report(
        self,
        name: TargetId,
        report: LoadReport,
        now: float,
    ) -> None:
        """Weigh a report of a target that this node keeps."""
        target = self._find(name)
        if target is None or target.model is None:
            return
        watched = self._open(name, target, report, now)
        watched.seen = now
        self._note(name, watched.warmth.record_start(report.start))
        served = max(0, report.tokens - watched.tokens)
        watched.tokens = report.tokens
        change = watched.warmth.record_work(
            served,
            Seconds(report.step_ms / _MS_PER_SECOND),
            report.running + report.waiting,
        )
        self._note(name, change)

    def handle_loss(self, name: TargetId) -> None:
        """Note that a target did not answer."""
        watched = self._watched.get(name)
        if watched is not None:
            self._note(name, watched.warmth.record_disconnect())

    def _note_return(self, name: TargetId, before: Config | None) -> None:
        """Warm a target anew that operators bring back."""
        if before is None or self._config is None:
            return
        if name not in before.targets or is_serving_target(before, name):
            return
        if is_serving_target(self._config, name):
            self._note(name, self._watched[name].warmth.record_reinstatement())

    def _find(self, name: TargetId) -> Target | None:
        return None if self._config is None else self._config.targets.get(name)

    def _open(
        self,
        name: TargetId,
        target: Target,
        report: LoadReport,
        now: float,
    ) -> _Watched:
        """Return the state; one that is too old counts as unknown."""
        watched = self._watched.get(name)
        if watched is not None and now - watched.seen < _FORGET_SECONDS:
            return watched
        warmth = WarmupLimiter(_find_limit(target), self._find_goal(target))
        warmth.record_start(report.start)
        warmth.start_from_load(
            report.running,
            Seconds(report.step_ms / _MS_PER_SECOND),
        )
        watched = _Watched(warmth, now, report.tokens)
        self._watched[name] = watched
        return watched

    def _find_goal(self, target: Target) -> Seconds:
        model = None
        if self._config is not None and target.model is not None:
            model = self._config.models.get(target.model)
        return Seconds((model or Model()).token_gap_ms / _MS_PER_SECOND)

    def _note(self, name: TargetId, change: StateChange | None) -> None:
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
