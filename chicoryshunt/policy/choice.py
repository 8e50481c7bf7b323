"""Chooses the target with the shortest predicted stall for a request."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from chicoryshunt.types import Seconds, TargetId

_PREFILL_TOKENS_PER_SECOND = 20_000
_STEPS_BEFORE_FIRST_TOKEN = 2
_HINT_HALF_LIFE_SECONDS = 30
_MAX_HINTS = 256
_REMOTE_LATENCY_SECONDS = 0.002


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that has room for a request.

    ``part_used`` is the largest predicted memory with the request, as a
    fraction of the limit. ``overflow_chance`` is the probability of running
    out of memory, ``cached_chance`` that of the prefix being cached.
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
    """The chosen target and its predicted stall by cause, in seconds."""

    target: TargetId
    stall: Seconds
    queue: Seconds
    prefill: Seconds
    overflow: Seconds


def predict_stall(candidate: Candidate, prompt_tokens: int) -> Choice:
    """Predict how long a request would wait for tokens on a target."""
    uncached = prompt_tokens * (1 - candidate.cached_chance)
    step_seconds = candidate.step_seconds
    queue = (
        candidate.pending_tokens / _PREFILL_TOKENS_PER_SECOND
        + candidate.waiting * step_seconds
        + _STEPS_BEFORE_FIRST_TOKEN * step_seconds
    )
    if not candidate.is_local:
        queue += _REMOTE_LATENCY_SECONDS
    prefill = uncached / _PREFILL_TOKENS_PER_SECOND
    recompute = prompt_tokens / _PREFILL_TOKENS_PER_SECOND + step_seconds
    overflow = (
        candidate.overflow_chance * recompute
        + candidate.part_used * step_seconds
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
    """Return the target with the shortest predicted stall, if any."""
    choices = (predict_stall(one, prompt_tokens) for one in candidates)
    return min(choices, key=lambda choice: choice.stall, default=None)


def compute_overflow_chance(deviations_free: float) -> float:
    """Return the probability that memory overflows.

    It is the upper tail of the normal distribution.
    """
    return math.erfc(deviations_free / math.sqrt(2)) / 2


class PrefixHints:
    """Tracks which prefixes a target has probably cached.

    Hints may be late or missing, so they lose weight with age.
    """

    def __init__(self) -> None:
        """Create an empty set of hints."""
        self._recorded: OrderedDict[str, float] = OrderedDict()

    def record(self, prefix: str, now: float, *, held: bool) -> None:
        """Record that a prefix entered or left the target's cache."""
        self._recorded.pop(prefix, None)
        if held and prefix:
            self._recorded[prefix] = now
        while len(self._recorded) > _MAX_HINTS:
            self._recorded.popitem(last=False)

    def clear(self) -> None:
        """Drop all hints, for example when the target restarts."""
        self._recorded.clear()

    def estimate(self, prefix: str, now: float) -> float:
        """Return the probability that the target still caches a prefix."""
        recorded = self._recorded.get(prefix)
        if recorded is None:
            return 0
        return float(2 ** -(max(now - recorded, 0) / _HINT_HALF_LIFE_SECONDS))
