"""Speeds of the engines of a soak, drawn from a seed."""

from collections.abc import Sequence
from random import Random

from lab.standins.platform_targets import StandInEngine

# How many times as long as usual an event of a slow engine takes.
_SLOWNESS = 2.4
_ENGINES_PER_SLOW_ONE = 3


def draw_speeds(seed: int, engines: Sequence[StandInEngine]) -> None:
    """Slow one in three engines down.

    They are drawn apart, so that the faults of a seed stay the same.
    """
    rng = Random(f'speeds {seed}')
    for engine in rng.sample(engines, len(engines) // _ENGINES_PER_SLOW_ONE):
        engine.slowness = _SLOWNESS
