"""Figures of one run of the policy model."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

import numpy as np

from lab.models.policy_model import Answer, Ledger, Outcome

_GAP_UNITS_PER_MS = 10
_PER_THOUSAND = 1000


@dataclass(frozen=True, slots=True)
class Spread:
    """Percentiles, in seconds unless said otherwise."""

    p50: float
    p95: float
    p99: float


@dataclass(frozen=True, slots=True)
class Figures:
    """What callers saw in one run.

    ``before`` is the wait for the first token, ``during`` the time in gaps of
    more than 0.1 s, ``stall`` both together, ``gap_ms`` the time between
    tokens in milliseconds. A request that still waits counts with the time it
    has waited.
    """

    requests: int
    sent: int
    preemptions: int
    goodput: float
    refused: float
    short_refused: float
    lost: int
    before: Spread
    during: Spread
    stall: Spread
    short: Spread
    gap_ms: Spread
    over_limit: int
    false_refusals: int

    @property
    def preempted(self) -> float:
        """Return preemptions for each 1,000 requests sent."""
        return _PER_THOUSAND * self.preemptions / max(self.sent, 1)


def measure(ledger: Ledger) -> Figures:
    """Return the figures of a run."""
    answers = ledger.answers
    taken = [one for one in answers if one.outcome is not Outcome.refused]
    short = [one for one in taken if one.arrival.is_short]
    end = ledger.seconds
    return Figures(
        requests=len(answers),
        sent=sum(one.runs > 0 for one in answers),
        preemptions=ledger.preemptions,
        goodput=ledger.tokens / end,
        refused=_find_refused(answers),
        short_refused=_find_refused(
            [one for one in answers if one.arrival.is_short],
        ),
        lost=sum(one.outcome is Outcome.lost for one in answers),
        before=spread(one.find_wait(end) for one in taken),
        during=spread(one.stall for one in taken if one.first_at >= 0),
        stall=spread(one.find_wait(end) + one.stall for one in taken),
        short=spread(one.find_wait(end) for one in short),
        gap_ms=_spread_gaps(ledger.gaps),
        over_limit=ledger.over_limit,
        false_refusals=sum(
            one.outcome is Outcome.refused and one.runs > 0 for one in answers
        ),
    )


def spread(seconds: Iterable[float]) -> Spread:
    """Return the percentiles of some times; 0 when there are none."""
    times = np.fromiter(seconds, np.float64)
    if not len(times):
        return Spread(0, 0, 0)
    return Spread(*np.percentile(times, (50, 95, 99)).tolist())


def _find_refused(answers: list[Answer]) -> float:
    refused = sum(one.outcome is Outcome.refused for one in answers)
    return refused / max(len(answers), 1)


def _spread_gaps(gaps: Counter[int]) -> Spread:
    if not gaps:
        return Spread(0, 0, 0)
    lengths = sorted(gaps)
    counts = np.cumsum([gaps[length] for length in lengths])
    ranks = np.searchsorted(counts, counts[-1] * np.array((0.5, 0.95, 0.99)))
    return Spread(*(lengths[rank] / _GAP_UNITS_PER_MS for rank in ranks))
