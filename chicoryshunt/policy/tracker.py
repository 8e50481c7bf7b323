"""What a node knows of one target: what it runs there and what it heard."""

from dataclasses import dataclass

from chicoryshunt.policy.admission import Limit
from chicoryshunt.policy.choice import PrefixHints
from chicoryshunt.policy.occupancy import (
    Curve,
    RunningRequest,
    build_empty_curve,
    forecast,
)
from chicoryshunt.policy.slots import Headroom
from chicoryshunt.policy.survival import LengthEstimator
from chicoryshunt.types import RequestId, Seconds, TargetId

_CURVE_AGE_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class Exclusive:
    """This node alone decides what runs within a limit."""

    limit: Limit


@dataclass(frozen=True, slots=True)
class Leased:
    """A keeper leased a part of a target's limit; this slack is left of it."""

    slack: Headroom
    limit: Limit


@dataclass(frozen=True, slots=True)
class Granted:
    """A keeper that knows all curves granted these requests beside them.

    ``short_slots`` may be used by short requests beside the slack.
    """

    slack: Headroom
    limit: Limit
    short_slots: int = 0


@dataclass(frozen=True, slots=True)
class Closed:
    """The target takes no new work."""

    reason: str


Quota = Exclusive | Leased | Granted | Closed


def get_target_memory(room: Quota) -> int:
    """Return the memory tokens of the target that a room is part of."""
    match room:
        case Exclusive(limit) | Leased(_, limit) | Granted(_, limit):
            return limit.memory_tokens
        case Closed():
            return 0


class TargetTracker:
    """Requests of this node on one target, and the target's load."""

    def __init__(
        self,
        target: TargetId,
        estimator: LengthEstimator,
        *,
        is_local: bool = True,
    ) -> None:
        """Start with nothing running and the target closed."""
        self.target = target
        self.is_local = is_local
        self.quota: Quota = Closed('unknown')
        self.prefix_hints = PrefixHints()
        self.step_seconds = Seconds(0)
        self.waiting = 0
        self.pending_tokens = 0
        self.running: dict[RequestId, RunningRequest] = {}
        self._estimator = estimator
        self._curve = build_empty_curve()
        self._curves: dict[RequestId, Curve] = {}
        self._curve_at: float = 0
        self._version = -1

    @property
    def reserved_tokens(self) -> int:
        """Return the memory tokens that leases count for what runs."""
        return sum(running.reserved_tokens for running in self.running.values())

    def start(
        self, request: RequestId, running: RunningRequest, added: Curve
    ) -> None:
        """Count a request that is sent to the target."""
        self.running[request] = running
        running.reserved_tokens = added.peak
        self.pending_tokens += running.prompt_tokens
        self._curve += added
        self._curves[request] = added

    def record_tokens(self, request: RequestId, produced: int) -> None:
        """Note how many tokens a request has produced."""
        running = self.running[request]
        if not running.produced and produced:
            self.pending_tokens -= running.prompt_tokens
        self._estimator.observe(running.kind, running.produced, produced)
        running.produced = produced

    def end(self, request: RequestId) -> RunningRequest | None:
        """Count a request no longer."""
        running = self.running.pop(request, None)
        if running is None:
            return None
        if not running.produced:
            self.pending_tokens -= running.prompt_tokens
        self._curve -= self._curves.pop(request)
        return running

    def predict(self, now: float) -> Curve:
        """Return the memory that this node's requests will hold."""
        if now - self._curve_at >= _CURVE_AGE_SECONDS and self.running:
            self._sharpen()
            self._curve_at = now
        return self._curve

    def _sharpen(self) -> None:
        if self._version != self._estimator.version:
            self._version = self._estimator.version
            for running in self.running.values():
                running.survival = self._estimator.estimate(running.kind)
        forecasts = forecast(tuple(self.running.values()))
        self._curve = forecasts.sum()
        for index, request in enumerate(self.running):
            self._curves[request] = forecasts.get_row(index)
