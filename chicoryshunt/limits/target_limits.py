"""What each target can bear, by the configuration and by its keeper."""

from collections.abc import Callable

from chicoryshunt.limits.ledger import TargetLimit
from chicoryshunt.limits.router import is_serving
from chicoryshunt.policy.slots import Headroom
from chicoryshunt.types import TargetId
from chicoryshunt.version.config import Config, Target

_MS_PER_SECOND = 1000
_RUN_MARGIN = 4
_UNDECLARED_TOKENS = 2_147_483_647

AdjustLimit = Callable[[TargetId, Headroom], Headroom]


class TargetLimits:
    """Declared limits, lowered by whoever knows the target better."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self._config: Config | None = None
        self._adjustments: list[AdjustLimit] = []

    def apply_config(self, config: Config) -> None:
        """Follow the configuration."""
        self._config = config

    def add_adjustment(self, adjustment: AdjustLimit) -> None:
        """Lower limits by a function of the target and its limit so far.

        The memory that it returns is shared out by slots, and may exceed
        what is declared when not all slots hold that much at once.
        """
        self._adjustments.append(adjustment)

    def find(self, target: TargetId) -> TargetLimit:
        """Return what a target can bear now."""
        config = self._config
        declared = None if config is None else config.targets.get(target)
        if config is None or declared is None:
            return TargetLimit(Headroom(0, 0), _RUN_MARGIN)
        slack = Headroom(0, 0)
        if is_serving(config, declared):
            memory = declared.memory_tokens or _UNDECLARED_TOKENS
            slack = Headroom(declared.concurrent, memory)
        for adjust in self._adjustments:
            lowered = adjust(target, slack)
            slots = min(slack.slots, lowered.slots)
            slack = Headroom(slots, lowered.memory_tokens)
        return TargetLimit(slack, _find_run_seconds(config, declared))


def _find_run_seconds(config: Config, target: Target) -> float:
    """Return how long a request may run that nobody hears of."""
    if target.service is not None and target.service in config.services:
        return config.services[target.service].timeout_seconds
    if target.model is not None and target.model in config.models:
        model = config.models[target.model]
        longest = model.max_tokens * model.token_gap_ms / _MS_PER_SECOND
        return longest * _RUN_MARGIN
    return _RUN_MARGIN
