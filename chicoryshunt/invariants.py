"""Promises that the node checks on itself while it runs."""

from enum import Enum

from chicoryshunt.events import log_problem
from chicoryshunt.metrics import Metrics


class Invariant(Enum):
    """One thing that must always hold."""

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
    """Counts every check, and logs and counts every broken promise."""

    def __init__(self, metrics: Metrics) -> None:
        """Report to the given metrics."""
        self._metrics = metrics

    def check(self, promise: Invariant, holds: bool, **fields: object) -> bool:
        """Say whether the promise holds; the caller refuses if not."""
        self.record(promise, 1, int(not holds), **fields)
        return holds

    def record(
        self,
        promise: Invariant,
        checks: int,
        broken: int,
        **fields: object,
    ) -> None:
        """Report checks that were counted where they were made."""
        self._metrics.add(
            'invariant_checks',
            'Checks of promises',
            checks,
            promise=promise.value,
        )
        if broken:
            self._metrics.add(
                'invariant_broken',
                'Broken promises',
                broken,
                promise=promise.value,
            )
            log_problem('invariant_broken', promise=promise.value, **fields)

    def count_checks(self, promise: Invariant) -> int:
        """Return how often a promise was checked."""
        return int(
            self._metrics.get('invariant_checks', promise=promise.value),
        )

    def count_broken(self, promise: Invariant) -> int:
        """Return how often a promise was broken."""
        return int(
            self._metrics.get('invariant_broken', promise=promise.value),
        )
