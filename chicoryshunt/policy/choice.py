"""Chooses the target on which a request is predicted to stall least."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from chicoryshunt.types import Seconds, TargetId

_PREFILL_TOKENS_PER_SECOND = 20_000
_STEPS_BEFORE_FIRST_TOKEN = 2
_HINT_HALF_LIFE_SECONDS = 30
_MOST_HINTS = 256
_REMOTE_SECONDS = 0.002


@dataclass(frozen=True, slots=True)
class Candidate:
    """One target that has room for a request.

    ``part_used`` is the fullest horizon once the request is there, up to 1.
    ``overflow_chance`` is that of running out of memory.
    """

    target: TargetId
    part_used: float
    overflow_chance: float
    pending_tokens: int
    waiting: int
    step_seconds: Seconds
    cached_chance: float = 0
    is_local: bool = True


@dataclass(frozen=True, slots=True)
class Choice:
    """The target chosen and the parts of its predicted stall, in seconds."""

    target: TargetId
    stall: Seconds
    queue: Seconds
    prefill: Seconds
    overflow: Seconds


def predict_stall(candidate: Candidate, prompt_tokens: int) -> Choice:
    """Predict how long a request waits for tokens on one target."""
    uncached = prompt_tokens * (1 - candidate.cached_chance)
    step = candidate.step_seconds
    queue = (
        candidate.pending_tokens / _PREFILL_TOKENS_PER_SECOND
        + candidate.waiting * step
        + _STEPS_BEFORE_FIRST_TOKEN * step
    )
    if not candidate.is_local:
        queue += _REMOTE_SECONDS
    prefill = uncached / _PREFILL_TOKENS_PER_SECOND
    recompute = prompt_tokens / _PREFILL_TOKENS_PER_SECOND + step
    overflow = (
        candidate.overflow_chance * recompute + candidate.part_used * step
    )
    return Choice(
        candidate.target,
        Seconds(queue + prefill + overflow),
        Seconds(queue),
        Seconds(prefill),
        Seconds(overflow),
    )


def choose_target(
    candidates: Iterable[Candidate],
    prompt_tokens: int,
) -> Choice | None:
    """Return the choice that is predicted to stall least."""
    choices = (predict_stall(one, prompt_tokens) for one in candidates)
    return min(choices, key=lambda choice: choice.stall, default=None)


def compute_overflow_chance(deviations_free: float) -> float:
    """Return the chance that memory overflows, by the normal tail."""
    return math.erfc(deviations_free / math.sqrt(2)) / 2


class PrefixHints:
    """Prefixes that a target may hold, from late events with gaps."""

    def __init__(self) -> None:
        """Start without hints."""
        self._seen: OrderedDict[str, float] = OrderedDict()

    def record(self, prefix: str, now: float, *, held: bool) -> None:
        """Note that a prefix entered or left the target's cache."""
        self._seen.pop(prefix, None)
        if held and prefix:
            self._seen[prefix] = now
        while len(self._seen) > _MOST_HINTS:
            self._seen.popitem(last=False)

    def clear(self) -> None:
        """Forget everything, as when the target started again."""
        self._seen.clear()

    def estimate(self, prefix: str, now: float) -> float:
        """Return the chance that the target still holds a prefix."""
        seen = self._seen.get(prefix)
        if seen is None:
            return 0
        return float(2 ** -(max(now - seen, 0) / _HINT_HALF_LIFE_SECONDS))
