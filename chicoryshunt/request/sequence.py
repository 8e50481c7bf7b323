"""Proves on what was passed on that a caller gets each token once."""

from dataclasses import dataclass

from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.request.assembler import Assembler
from chicoryshunt.types import Reason, RunState
from chicoryshunt.verdict import Verdict


@dataclass(slots=True)
class TokenSequence:
    """Position in the tokens that were passed on; counts its checks."""

    next_index: int = 0
    checks: int = 0
    broken: int = 0

    def accept(self, first: int, count: int) -> bool:
        """Say whether tokens from an index on are the next ones."""
        self.checks += 1
        if first != self.next_index:
            self.broken += 1
            return False
        self.next_index += count
        return True


def check_end(
    invariants: InvariantChecker,
    assembler: Assembler,
    passed: TokenSequence,
    verdict: Verdict | None,
) -> Verdict | None:
    """Return the verdict on a relay, or a true one in place of a false."""
    generation = assembler.generation
    invariants.record(
        Invariant.token_once,
        passed.checks,
        passed.broken,
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
