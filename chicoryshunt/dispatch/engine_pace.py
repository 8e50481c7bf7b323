"""Compares how fast engines generate, as streams observed it."""

import statistics
from dataclasses import dataclass

from chicoryshunt.types import TargetId

# The best pace and the longest gap are kept for one to two windows.
_WINDOW_SECONDS = 5.0
# An engine without an observation for so long is unknown again.
_EXPIRY_SECONDS = 30.0
# Ratios to the median up to this one, and down to its inverse, count as 1:
# engines differ that much by their load.
MAX_EQUAL_RATIO = 1.5
# The median of fewer engines may be a slow one.
_MIN_KNOWN = 4
# The median is computed at most once in this time: the slowness of each
# engine is read at every placement.
_MEDIAN_SECONDS = 0.25


@dataclass(slots=True)
class _Extremes:
    """The best pace and the longest gap of a time, in seconds."""

    seconds_per_token: float
    longest_gap: float

    def add(self, seconds_per_token: float, longest_gap: float) -> None:
        self.seconds_per_token = min(self.seconds_per_token, seconds_per_token)
        self.longest_gap = max(self.longest_gap, longest_gap)


@dataclass(slots=True)
class _Pace:
    """Observations of one engine in the present window and the one before.

    A loaded engine is slow for seconds, and a slow one is never fast. So the
    best pace of a window tells them apart.
    """

    updated: float
    window_start: float
    present: _Extremes
    earlier: _Extremes

    @property
    def seconds_per_token(self) -> float:
        """Return the best pace of both windows."""
        return min(
            self.present.seconds_per_token, self.earlier.seconds_per_token
        )

    @property
    def longest_gap(self) -> float:
        """Return the longest gap of both windows, in seconds."""
        return max(self.present.longest_gap, self.earlier.longest_gap)

    def record(
        self, seconds_per_token: float, longest_gap: float, now: float
    ) -> None:
        """Add an observation; begin a new window if that is due."""
        if now - self.window_start >= _WINDOW_SECONDS:
            self.earlier = self.present
            self.present = _Extremes(seconds_per_token, longest_gap)
            self.window_start = now
        self.present.add(seconds_per_token, longest_gap)
        self.updated = now


class PaceTable:
    """Seconds per token and longest gaps of engines.

    Load pattern: some engines of a deployment generate at a third of the rate
    of the others, and their gaps are too long for some routes.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._paces: dict[TargetId, _Pace] = {}
        self._median: float = 0
        self._typical_gap: float = 0
        self._median_until = float('-inf')

    def record(
        self,
        target: TargetId,
        seconds_per_token: float,
        longest_gap: float,
        now: float,
    ) -> None:
        """Record what a stream observed; times are in seconds."""
        pace = self._find(target, now)
        if pace is None:
            first = _Extremes(seconds_per_token, longest_gap)
            pace = _Pace(now, now, first, first)
            self._paces[target] = pace
        pace.record(seconds_per_token, longest_gap, now)

    def slowness(self, target: TargetId, now: float) -> float:
        """Return how many times the median a token takes, 1 if unknown."""
        pace = self._find(target, now)
        median = self._find_median(now)
        if pace is None or not median:
            return 1
        ratio = pace.seconds_per_token / median
        if 1 / MAX_EQUAL_RATIO <= ratio <= MAX_EQUAL_RATIO:
            return 1
        return ratio

    def find_longest_gap(self, target: TargetId, now: float) -> float:
        """Return the longest gap seen lately, in seconds, 0 if unknown."""
        pace = self._find(target, now)
        return 0 if pace is None else pace.longest_gap

    def predict_longest_gap(self, target: TargetId, now: float) -> float:
        """Return the longest gap to expect, in seconds, 0 if unknown.

        A slow engine has not shown its longest gap while it read no prompt
        beside its runs. It is as many times longer than that of the others.
        """
        longest = self.find_longest_gap(target, now)
        ratio = self.slowness(target, now)
        if ratio <= MAX_EQUAL_RATIO:
            return longest
        return max(longest, self._typical_gap * ratio)

    def find_seconds_per_token(
        self, target: TargetId, now: float
    ) -> float | None:
        """Return the seconds that a token takes, ``None`` if unknown."""
        pace = self._find(target, now)
        return None if pace is None else pace.seconds_per_token

    def is_known(self, target: TargetId, now: float) -> bool:
        """Return whether the pace of an engine is known."""
        return self._find(target, now) is not None

    def measure_age(self, target: TargetId, now: float) -> float | None:
        """Return the seconds since the last observation, if it is known."""
        pace = self._find(target, now)
        return None if pace is None else now - pace.updated

    def list_known(self, now: float) -> list[TargetId]:
        """Return the engines whose pace is known, and drop the others."""
        self._paces = {
            target: pace
            for target, pace in self._paces.items()
            if now - pace.updated < _EXPIRY_SECONDS
        }
        return list(self._paces)

    def forget(self, target: TargetId) -> None:
        """Drop the observations of a removed engine."""
        self._paces.pop(target, None)

    def _find(self, target: TargetId, now: float) -> _Pace | None:
        pace = self._paces.get(target)
        if pace is None or now - pace.updated >= _EXPIRY_SECONDS:
            return None
        return pace

    def _find_median(self, now: float) -> float:
        """Return the median seconds per token, 0 if too few are known."""
        if now >= self._median_until:
            self._median_until = now + _MEDIAN_SECONDS
            known = [self._paces[target] for target in self.list_known(now)]
            self._median = 0
            self._typical_gap = 0
            if len(known) >= _MIN_KNOWN:
                self._median = statistics.median(
                    pace.seconds_per_token for pace in known
                )
                self._typical_gap = statistics.median(
                    pace.longest_gap
                    for pace in known
                    if pace.seconds_per_token <= self._median * MAX_EQUAL_RATIO
                )
            else:
                # The next observation may give a median.
                self._median_until = now
        return self._median
