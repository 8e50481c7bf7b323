"""Decides how long a run that continues from a copy may take to start."""

from dataclasses import dataclass

from chicoryshunt.dispatch.backlog import estimate_backlog
from chicoryshunt.dispatch.engines import Engine

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
    backlog = estimate_backlog(engine.runs, engine.prefill_rate)
    prefill = _PREFILL_MARGIN * backlog
    needed = max(_MIN_START_SECONDS, prefill)
    seconds = max(min(needed, caller_seconds), _MIN_START_SECONDS)
    return StartTime(seconds, is_full=seconds >= needed)
