"""Limits what a target may bear by the evidence that it is warm.

A limit grows only by tokens served at good latency while the limit was in
use. It drops at once on a new start, on latency out of band and on a refusal.
"""

import math
from dataclasses import dataclass
from enum import Enum

from chicoryshunt.policy.admission import Limit
from chicoryshunt.types import Seconds, TargetState

_FIRST_PART = 0.06
_TOKENS_PER_SLOT = 64
_IN_USE_PART = 0.5
_BAND_FACTOR = 2.5
_STEPS_OUT_OF_BAND = 3
_REFUSAL_REST_SECONDS = 1.0


class StateCause(Enum):
    """Name why the state of a target last changed."""

    new_start = 'new_start'
    latency = 'latency'
    refusal = 'refusal'
    evidence = 'evidence'
    lost = 'lost'
    returned = 'returned'


@dataclass(frozen=True, slots=True)
class StateChange:
    """One change of state, for logs."""

    before: TargetState
    after: TargetState
    cause: StateCause
    limit: Limit


class WarmupLimiter:
    """What one target may bear now; times are in seconds."""

    def __init__(self, declared: Limit, step_goal: Seconds) -> None:
        """Start at the first limit, whatever the target says of itself."""
        self.state = TargetState.starting
        self.cause = StateCause.new_start
        self._declared = declared
        self._band = step_goal * _BAND_FACTOR
        self._slots = _find_first_slots(declared)
        self._start: int | None = None
        self._slow_steps = 0
        self._rest_until: float = 0

    @property
    def limit(self) -> Limit:
        """Return slots and memory tokens that the target may bear.

        Memory grows with the root of the slots, since the memory of few
        requests varies more beside its mean.
        """
        slots = int(self._slots)
        part = math.sqrt(slots / max(self._declared.slots, 1))
        return Limit(slots, int(self._declared.memory_tokens * min(part, 1)))

    def is_paused(self, now: float) -> bool:
        """Say whether the target should get no new work at all."""
        return now < self._rest_until

    def set_declared_limit(self, declared: Limit) -> None:
        """Take the limit that operators declare now."""
        grows = declared.slots > self._declared.slots
        if not self._declared.slots:
            self._slots = _find_first_slots(declared)
            self.state = TargetState.starting
        self._declared = declared
        self._slots = min(self._slots, declared.slots)
        if grows and self.state is TargetState.warm:
            self.state = TargetState.warming

    def record_start(self, start: int) -> StateChange | None:
        """Compare the target's start counter with the last one."""
        if start == self._start:
            return None
        self._start = start
        return self._drop(TargetState.starting, StateCause.new_start)

    def record_disconnect(self) -> StateChange:
        """Note that the target broke its connections."""
        self._start = None
        return self._drop(TargetState.starting, StateCause.lost)

    def record_reinstatement(self) -> StateChange:
        """Note that operators bring the target back."""
        return self._drop(TargetState.starting, StateCause.returned)

    def record_refusal(self, now: float) -> StateChange:
        """Note that the target did not accept a request."""
        self._rest_until = now + _REFUSAL_REST_SECONDS
        return self._drop(TargetState.suspect, StateCause.refusal)

    def start_from_load(self, running: int, step_seconds: Seconds) -> None:
        """Start from what the target is seen to serve at good latency."""
        if step_seconds <= self._band and running > self._slots:
            self._slots = float(min(running, self._declared.slots))
            self.state = TargetState.warming
            self.cause = StateCause.evidence

    def record_work(
        self,
        tokens: int,
        step_seconds: Seconds,
        running: int,
    ) -> StateChange | None:
        """Weigh tokens that were served at some time for each step."""
        if step_seconds > self._band:
            return self._record_slow()
        self._slow_steps = 0
        if self.state is TargetState.warm or tokens <= 0:
            return None
        if running < self._slots * _IN_USE_PART:
            return None
        return self._grow(tokens)

    def _record_slow(self) -> StateChange | None:
        self._slow_steps += 1
        if self._slow_steps < _STEPS_OUT_OF_BAND:
            return None
        if self.state in {TargetState.starting, TargetState.suspect}:
            return None
        return self._drop(TargetState.suspect, StateCause.latency)

    def _grow(self, tokens: int) -> StateChange | None:
        grown = self._slots + min(tokens / _TOKENS_PER_SLOT, self._slots)
        self._slots = min(grown, float(self._declared.slots))
        if self._slots >= self._declared.slots:
            return self._move(TargetState.warm, StateCause.evidence)
        return self._move(TargetState.warming, StateCause.evidence)

    def _drop(self, state: TargetState, cause: StateCause) -> StateChange:
        self._slots = min(self._slots, _find_first_slots(self._declared))
        self._slow_steps = 0
        return self._move(state, cause)

    def _move(self, after: TargetState, cause: StateCause) -> StateChange:
        change = StateChange(self.state, after, cause, self.limit)
        self.state = after
        self.cause = cause
        return change


def _find_first_slots(declared: Limit) -> float:
    return float(min(max(1, int(declared.slots * _FIRST_PART)), declared.slots))
