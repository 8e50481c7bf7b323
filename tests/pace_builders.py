"""Replay of a deployment with slow engines, on a virtual clock."""

from dataclasses import dataclass, field, replace
from itertools import count
from random import Random

from chicoryshunt.dispatch.engine_pace import PaceTable
from chicoryshunt.dispatch.engines import Engine, Placed, choose_engine
from chicoryshunt.types import TargetId
from tests.fleet_builders import HOME, build_engine, build_run

MAX_GAP = 0.18
SLOW_GAP = 0.26
SLOW = TargetId('e0')
LONG = replace(build_run(), max_gap=MAX_GAP)
FAST_RATE, SLOW_RATE = 145.0, 52.0
_STEP_SECONDS = 0.05
_FIRST_TOKENS = 24
_TOKENS = 900


@dataclass
class PaceReplay:
    """Thirty engines, ten of them slow; two are replaced each second.

    ``load`` times four long answers arrive in each second. A prompt that is
    placed on a slow engine causes a long gap in every run there.
    """

    uses_pace: bool
    load: float = 2.5
    long_count: int = 0
    gap_late_count: int = 0
    table: PaceTable = field(default_factory=PaceTable)

    def __post_init__(self) -> None:
        self._rng = Random(7)
        self._names = (TargetId(f'e{index}') for index in count())
        self._runs: dict[TargetId, list[list[float]]] = {
            next(self._names): [] for _ in range(30)
        }
        self._rates = {
            name: SLOW_RATE if index % 3 == 0 else FAST_RATE
            for index, name in enumerate(self._runs)
        }

    def run(self, seconds: float) -> None:
        """Replay so many seconds."""
        for step in range(round(seconds / _STEP_SECONDS)):
            now = step * _STEP_SECONDS
            if not step % 10:
                self._replace_oldest()
            self._advance(now)
            if self._rng.random() < self.load * 4 * _STEP_SECONDS:
                self._place(now)

    def _replace_oldest(self) -> None:
        oldest = next(iter(self._runs))
        name = next(self._names)
        self._runs.pop(oldest)
        self._rates[name] = self._rates.pop(oldest)
        self._runs[name] = []
        self.table.forget(oldest)

    def _place(self, now: float) -> None:
        engines = [self._build(name, now) for name in self._runs]
        choice = choose_engine(engines, LONG, HOME, 100)
        assert isinstance(choice, Placed)
        self.long_count += 1
        # A prompt on a slow engine makes every run there late.
        others = self._runs[choice.target]
        if self._rates[choice.target] == SLOW_RATE:
            for other in others:
                self.gap_late_count += not other[1]
                other[1] = 1
            if others and self.uses_pace:
                self.table.record(choice.target, 1 / SLOW_RATE, SLOW_GAP, now)
        others.append([now, 0])

    def _advance(self, now: float) -> None:
        for name, runs in self._runs.items():
            rate = self._rates[name]
            for placed, _ in runs:
                done = (now - placed) * rate
                is_first = (
                    _FIRST_TOKENS
                    <= done
                    < (_FIRST_TOKENS + rate * _STEP_SECONDS)
                )
                if self.uses_pace and is_first:
                    self.table.record(name, 1 / rate, 4 / rate, now)
            self._runs[name] = [
                run for run in runs if (now - run[0]) * rate < _TOKENS
            ]

    def _build(self, name: TargetId, now: float) -> Engine:
        views = [
            build_run(expected=_TOKENS, age=now - placed)
            for placed, _ in self._runs[name]
        ]
        return replace(
            build_engine(name, *views),
            slowness=self.table.slowness(name, now),
            longest_gap=self.table.predict_longest_gap(name, now),
            is_pace_known=self.table.is_known(name, now),
        )
