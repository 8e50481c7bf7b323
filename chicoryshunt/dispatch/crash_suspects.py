"""Finds the prompt parts that crash engines, by what ran when they crashed.

Load pattern: requests that share one part of their prompt come to any node, no
two alike, and crash every engine that begins to answer them. Each crash breaks
off all other runs of the engine. Sound requests share their other parts.
"""

import math
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import NewType

from chicoryshunt.types import TargetId

PartKey = NewType('PartKey', int)

# Crashes that make a suspect the cause.
_MIN_CRASHES = 2
# Engines that crash within this time may have crashed together, for a reason
# that has nothing to do with their requests.
_JOINT_SECONDS = 0.3
# Reports of one engine's crash by several nodes are within this time. A crashed
# engine is not back before.
_SAME_CRASH_SECONDS = 1.5
_FIRST_BLOCK_SECONDS = 120.0
_MAX_BLOCK_SECONDS = 3600.0
_FORGET_SECONDS = 7200.0
_MAX_CRASHES = 48
_MAX_SUSPECTS = 24
_MAX_CLEARED = 8192


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of an engine, and the prompt parts of runs that had just begun.

    ``at`` is in monotonic seconds.
    """

    target: TargetId
    at: float
    suspects: frozenset[PartKey]


@dataclass(frozen=True, slots=True)
class Block:
    """Parts of which a request may not hold all, until a time.

    Parts that were at the same crashes cannot be told apart. A request that
    lacks one of them may run, which clears its parts or adds a crash to them.
    """

    parts: frozenset[PartKey]
    crash_count: int
    until: float


class CrashSuspects:
    """Tracks crashes, and parts that runs have proved to be harmless."""

    def __init__(self) -> None:
        """Start without crashes."""
        self._crashes: list[Crash] = []
        self._cleared: dict[PartKey, None] = {}
        self._blocks: tuple[Block, ...] = ()

    @property
    def blocks(self) -> tuple[Block, ...]:
        """Return the parts that are taken for the cause of crashes."""
        return self._blocks

    def list_crashes(self) -> list[Crash]:
        """Return the crashes that some part is still suspected of."""
        return list(self._crashes)

    def list_cleared(self, parts: Iterable[PartKey]) -> list[PartKey]:
        """Return those parts that are known to be harmless."""
        return [part for part in parts if part in self._cleared]

    def list_suspects(self, parts: Iterable[PartKey]) -> list[PartKey]:
        """Return the parts that are not cleared, up to a maximum number."""
        suspected = [part for part in parts if part not in self._cleared]
        return suspected[:_MAX_SUSPECTS]

    def has_crashed(self, target: TargetId, since: float) -> bool:
        """Return whether a crash of an engine was reported."""
        return any(
            crash.target == target and crash.at >= since
            for crash in self._crashes
        )

    def add_crash(
        self, target: TargetId, parts: Collection[PartKey], at: float
    ) -> bool:
        """Add what a node saw of a crash; return whether it is news."""
        suspects = self.list_suspects(parts)
        if not suspects:
            return False
        known = self._find(target, at)
        if known is None:
            known = Crash(target, at, frozenset())
        merged = known.suspects.union(suspects)
        if merged == known.suspects:
            return False
        self._crashes = [one for one in self._crashes if one is not known]
        self._crashes.append(Crash(known.target, known.at, merged))
        self._crashes.sort(key=lambda one: one.at)
        self._crashes = self._crashes[-_MAX_CRASHES:]
        self._decide()
        return True

    def clear(self, parts: Iterable[PartKey]) -> list[PartKey]:
        """Mark parts as harmless; return those that were suspected."""
        freed = []
        for part in parts:
            # Parts in use move to the end and are the last to be dropped.
            self._cleared.pop(part, None)
            self._cleared[part] = None
            if any(part in crash.suspects for crash in self._crashes):
                freed.append(part)
        while len(self._cleared) > _MAX_CLEARED:
            self._cleared.pop(next(iter(self._cleared)))
        if freed:
            self._drop_cleared()
        return freed

    def forget_old(self, now: float) -> None:
        """Drop crashes that are too old to matter."""
        if self._crashes and self._crashes[0].at < now - _FORGET_SECONDS:
            self._crashes = [
                crash
                for crash in self._crashes
                if crash.at >= now - _FORGET_SECONDS
            ]
            self._decide()

    def find_block(self, parts: Collection[PartKey]) -> Block | None:
        """Return the block that a request with these parts falls under."""
        if not self._blocks:
            return None
        present = frozenset(parts)
        return next(
            (block for block in self._blocks if block.parts <= present), None
        )

    def _find(self, target: TargetId, at: float) -> Crash | None:
        return next(
            (
                crash
                for crash in self._crashes
                if crash.target == target
                and abs(crash.at - at) < _SAME_CRASH_SECONDS
            ),
            None,
        )

    def _drop_cleared(self) -> None:
        remaining = (
            Crash(
                crash.target,
                crash.at,
                crash.suspects.difference(self._cleared),
            )
            for crash in self._crashes
        )
        self._crashes = [crash for crash in remaining if crash.suspects]
        self._decide()

    def _decide(self) -> None:
        self._blocks = tuple(_explain(self._crashes))


def _explain(crashes: Iterable[Crash]) -> Iterator[Block]:
    """Yield the fewest parts that explain the crashes, by a greedy cover.

    A crash that is explained says nothing about other parts: sound runs had
    begun on that engine as well.
    """
    unexplained = set(crashes)
    while unexplained:
        suspected = _group_by_part(unexplained)
        # The key decides between equals, alike on all nodes.
        count, likeliest = max(
            (_count(suspected[one]), one) for one in suspected
        )
        explained = suspected[likeliest]
        if count < _MIN_CRASHES:
            return
        yield Block(
            frozenset(one for one in suspected if suspected[one] == explained),
            count,
            max(crash.at for crash in explained) + _get_block_seconds(count),
        )
        unexplained -= explained


def _group_by_part(
    crashes: Collection[Crash],
) -> dict[PartKey, frozenset[Crash]]:
    """Return the crashes of which each part is suspected."""
    parts = frozenset[PartKey]().union(*(one.suspects for one in crashes))
    return {
        part: frozenset(crash for crash in crashes if part in crash.suspects)
        for part in parts
    }


def _count(crashes: Iterable[Crash]) -> int:
    """Count crashes, those of about the same time as one."""
    count = 0
    counted_at = float('-inf')
    for at in sorted(crash.at for crash in crashes):
        if at - counted_at >= _JOINT_SECONDS:
            count += 1
            counted_at = at
    return count


def _get_block_seconds(count: int) -> float:
    doubled = math.ldexp(_FIRST_BLOCK_SECONDS, count - _MIN_CRASHES)
    return min(doubled, _MAX_BLOCK_SECONDS)
