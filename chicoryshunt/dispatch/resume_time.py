"""Decides how long a run that continues from a copy may take to start."""

import math
from dataclasses import dataclass

from chicoryshunt.dispatch.engines import PREFILL_TOKENS_PER_SECOND, Engine

_MIN_START_SECONDS = 1.0
# Engines that count as equally fast differ by up to this factor.
_PREFILL_MARGIN = 1.5


@dataclass(frozen=True, slots=True)
class StartTime:
    """Seconds until a run is given up; ``is_full`` if its engine needs no more.

    Silence of an engine counts as a failure only after its full time.
    """

    seconds: float
    is_full: bool


def find_start_time(engine: Engine, caller_seconds: float) -> StartTime:
    """Return the time for a run to start on an engine.

    Load pattern: a run moves to an engine that reads long prompts first, or
    reads them slowly; it is lost if it is given up before its turn. The
    caller leaves after ``caller_seconds``.
    """
    prefill = _PREFILL_MARGIN * _estimate_prefill_seconds(engine)
    needed = max(_MIN_START_SECONDS, prefill)
    seconds = max(min(needed, caller_seconds), _MIN_START_SECONDS)
    return StartTime(seconds, is_full=seconds >= needed)


def _estimate_prefill_seconds(engine: Engine) -> float:
    """Return after how many seconds the waiting prompts have been read.

    Prompts are read one after the other, in order of placement.
    """
    rate = PREFILL_TOKENS_PER_SECOND / engine.slowness
    finish = -math.inf
    for run in sorted(engine.runs, key=lambda one: one.age, reverse=True):
        finish = max(finish, -run.age) + run.prompt_tokens / rate
    return max(finish, 0)
