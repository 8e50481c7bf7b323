"""Raises the limit of a target gradually while it warms up.

A limit grows only with tokens that were served at acceptable latency while the
limit was in use. It drops at once on a restart, a loss of contact, high latency
or a refusal.
"""

import math
from dataclasses import dataclass
from enum import Enum

from chicoryshunt.policy.admission import Limit
from chicoryshunt.types import Seconds, TargetState

_INITIAL_FRACTION = 0.06
_TOKENS_PER_SLOT = 64
_IN_USE_FRACTION = 0.5
_MAX_STEP_FACTOR = 2.5
_SLOW_STEP_THRESHOLD = 3
_REFUSAL_PAUSE_SECONDS = 1.0


class StateCause(Enum):
    """Reason for the last change of a target's state."""

    new_start = 'new_start'
    latency = 'latency'
    refusal = 'refusal'
    evidence = 'evidence'
    lost = 'lost'
    returned = 'returned'


@dataclass(frozen=True, slots=True)
class StateChange:
    """A change of a target's state, for logs."""

    before: TargetState
    after: TargetState
    cause: StateCause
    limit: Limit


class WarmupLimiter:
    """Tracks the current limit of one target; times are in seconds."""

    def __init__(self, declared: Limit, step_goal: Seconds) -> None:
        """Start at the initial limit, whatever the target reports.

        ``step_goal`` is the intended time per token.
        """
        self.state = TargetState.starting
        self.cause = StateCause.new_start
        self._declared = declared
        self._max_step_seconds = step_goal * _MAX_STEP_FACTOR
        self._slots = _compute_initial_slots(declared)
        self._start: int | None = None
        self._slow_steps = 0
        self._paused_until: float = 0

    @property
    def limit(self) -> Limit:
        """Return the slots and memory tokens that may be used now.

        Memory grows with the square root of the slots, because the memory of
        few requests varies more relative to its mean.
        """
        slots = int(self._slots)
        fraction = math.sqrt(slots / max(self._declared.slots, 1))
        return Limit(
            slots, int(self._declared.memory_tokens * min(fraction, 1))
        )

    def is_paused(self, now: float) -> bool:
        """Return whether the target should receive no new requests."""
        return now < self._paused_until

    def set_declared_limit(self, declared: Limit) -> None:
        """Set the full limit as configured by operators."""
        is_raised = declared.slots > self._declared.slots
        if not self._declared.slots:
            self._slots = _compute_initial_slots(declared)
            self.state = TargetState.starting
        self._declared = declared
        self._slots = min(self._slots, declared.slots)
        if is_raised and self.state is TargetState.warm:
            self.state = TargetState.warming

    def record_start(self, start: int) -> StateChange | None:
        """Compare the start counter with the last one to detect a restart."""
        if start == self._start:
            return None
        self._start = start
        return self._drop(TargetState.starting, StateCause.new_start)

    def record_unreachable(self) -> StateChange:
        """Record that the target did not answer."""
        self._start = None
        return self._drop(TargetState.starting, StateCause.lost)

    def record_reinstatement(self) -> StateChange:
        """Record that operators put the target back into service."""
        return self._drop(TargetState.starting, StateCause.returned)

    def record_refusal(self, now: float) -> StateChange:
        """Record that the target did not accept a request."""
        self._paused_until = now + _REFUSAL_PAUSE_SECONDS
        return self._drop(TargetState.suspect, StateCause.refusal)

    def start_from_load(self, running: int, step_seconds: Seconds) -> None:
        """Raise the limit to the load served at acceptable latency."""
        if step_seconds <= self._max_step_seconds and running > self._slots:
            self._slots = float(min(running, self._declared.slots))
            self.state = TargetState.warming
            self.cause = StateCause.evidence

    def record_work(
        self,
        tokens: int,
        step_seconds: Seconds,
        running: int,
    ) -> StateChange | None:
        """Record tokens served with some time per step; adjust the limit."""
        if step_seconds > self._max_step_seconds:
            return self._record_slow()
        self._slow_steps = 0
        if self.state is TargetState.warm or tokens <= 0:
            return None
        if running < self._slots * _IN_USE_FRACTION:
            return None
        return self._grow(tokens)

    def _record_slow(self) -> StateChange | None:
        self._slow_steps += 1
        if self._slow_steps < _SLOW_STEP_THRESHOLD:
            return None
        if self.state in {TargetState.starting, TargetState.suspect}:
            return None
        return self._drop(TargetState.suspect, StateCause.latency)

    def _grow(self, tokens: int) -> StateChange | None:
        new_slots = self._slots + min(tokens / _TOKENS_PER_SLOT, self._slots)
        self._slots = min(new_slots, float(self._declared.slots))
        if self._slots >= self._declared.slots:
            return self._set_state(TargetState.warm, StateCause.evidence)
        return self._set_state(TargetState.warming, StateCause.evidence)

    def _drop(self, state: TargetState, cause: StateCause) -> StateChange:
        self._slots = min(self._slots, _compute_initial_slots(self._declared))
        self._slow_steps = 0
        return self._set_state(state, cause)

    def _set_state(self, after: TargetState, cause: StateCause) -> StateChange:
        change = StateChange(self.state, after, cause, self.limit)
        self.state = after
        self.cause = cause
        return change


def _compute_initial_slots(declared: Limit) -> float:
    return float(
        min(max(1, int(declared.slots * _INITIAL_FRACTION)), declared.slots)
    )
