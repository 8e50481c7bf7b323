"""Estimates when an engine can start on another prompt."""

from collections.abc import Iterable
from operator import attrgetter

from chicoryshunt.dispatch.forecast import RunView

_get_age = attrgetter('age')


def estimate_backlog(runs: Iterable[RunView], prefill_rate: float) -> float:
    """Return the seconds until the prompts of all runs are prefilled.

    An engine prefills one prompt after the other, in order of placement.
    ``prefill_rate`` is in tokens per second.
    """
    finish = float('-inf')
    for run in sorted(runs, key=_get_age, reverse=True):
        finish = max(finish, -run.age) + run.prompt_tokens / prefill_rate
    return max(finish, 0)
