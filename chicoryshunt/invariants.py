"""Invariants that a node checks on itself at run time."""

from enum import Enum

from chicoryshunt.events import log_problem
from chicoryshunt.metrics import Metrics


class Invariant(Enum):
    """Property that must always hold."""

    token_once = 'token_once'
    start_limit = 'start_limit'
    data_centre_out = 'data_centre_out'
    whole_answer = 'whole_answer'
    true_refusal = 'true_refusal'
    at_most_once = 'at_most_once'
    target_leaving = 'target_leaving'
    graceful_stop = 'graceful_stop'
    version_rises = 'version_rises'


class InvariantChecker:
    """Counts the checks of invariants; counts and logs violations."""

    def __init__(self, metrics: Metrics) -> None:
        """Count in the given metrics."""
        self._metrics = metrics

    def check(
        self, invariant: Invariant, holds: bool, **fields: object
    ) -> bool:
        """Record a check and return ``holds``.

        If the invariant does not hold, the caller must refuse the action.
        """
        self.record(invariant, 1, int(not holds), **fields)
        return holds

    def record(
        self,
        invariant: Invariant,
        checks: int,
        broken: int,
        **fields: object,
    ) -> None:
        """Record checks that were counted elsewhere."""
        self._metrics.add(
            'invariant_checks',
            'Checks of promises',
            checks,
            promise=invariant.value,
        )
        if broken:
            self._metrics.add(
                'invariant_broken',
                'Broken promises',
                broken,
                promise=invariant.value,
            )
            log_problem('invariant_broken', promise=invariant.value, **fields)

    def count_checks(self, invariant: Invariant) -> int:
        """Return how often an invariant was checked."""
        return int(
            self._metrics.get('invariant_checks', promise=invariant.value),
        )

    def count_broken(self, invariant: Invariant) -> int:
        """Return how often an invariant was violated."""
        return int(
            self._metrics.get('invariant_broken', promise=invariant.value),
        )
