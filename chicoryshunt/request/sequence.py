"""Checks that the tokens written to a caller have no repeat and no gap."""

from dataclasses import dataclass

from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.request.assembler import Assembler
from chicoryshunt.types import Reason, RunState
from chicoryshunt.verdict import Verdict


@dataclass(slots=True)
class TokenSequence:
    """Tracks the tokens that were written; counts checks and violations."""

    next_index: int = 0
    checks: int = 0
    violations: int = 0

    def accept(self, first: int, count: int) -> bool:
        """Return true if ``count`` tokens from ``first`` on come next."""
        self.checks += 1
        if first != self.next_index:
            self.violations += 1
            return False
        self.next_index += count
        return True


def check_end(
    invariants: InvariantChecker,
    assembler: Assembler,
    passed: TokenSequence,
    verdict: Verdict | None,
) -> Verdict | None:
    """Check the invariants of a relay and return its verdict.

    A verdict that contradicts what was written is replaced.
    """
    generation = assembler.generation
    invariants.record(
        Invariant.token_once,
        passed.checks,
        passed.violations,
        generation=generation,
    )
    if verdict is None:
        is_whole = invariants.check(
            Invariant.whole_answer,
            passed.next_index == assembler.end_index,
            generation=generation,
            passed=passed.next_index,
        )
        return None if is_whole else _report_end('the answer is not whole')
    if verdict.run is RunState.not_run:
        is_true = invariants.check(
            Invariant.true_refusal,
            not passed.checks,
            generation=generation,
        )
        return verdict if is_true else _report_end(verdict.detail)
    return verdict


def _report_end(detail: str) -> Verdict:
    return Verdict(RunState.ran, Reason.internal_error, detail)
