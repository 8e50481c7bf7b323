"""Tracks the requests of this node on one target, and its load."""

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

_MAX_CURVE_AGE_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class Exclusive:
    """The target is used by this node alone, within a limit."""

    limit: Limit


@dataclass(frozen=True, slots=True)
class Leased:
    """A keeper leased part of the limit; ``headroom`` of it is unused."""

    headroom: Headroom
    limit: Limit


@dataclass(frozen=True, slots=True)
class Granted:
    """A keeper that knows the curves of all nodes granted this capacity.

    ``short_slots`` are for short requests, in addition to ``headroom``.
    """

    headroom: Headroom
    limit: Limit
    short_slots: int = 0


@dataclass(frozen=True, slots=True)
class Closed:
    """The target takes no new requests."""

    reason: str


Quota = Exclusive | Leased | Granted | Closed


def get_target_memory(quota: Quota) -> int:
    """Return the total memory tokens of the target, 0 if it is closed."""
    match quota:
        case Exclusive(limit) | Leased(_, limit) | Granted(_, limit):
            return limit.memory_tokens
        case Closed():
            return 0


class TargetTracker:
    """Tracks this node's requests on one target, and the target's load."""

    def __init__(
        self,
        target: TargetId,
        estimator: LengthEstimator,
        *,
        is_local: bool = True,
    ) -> None:
        """Create a closed target without running requests."""
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
        self._curve_time: float = 0
        self._version = -1

    @property
    def reserved_tokens(self) -> int:
        """Return the memory tokens counted against leases."""
        return sum(running.reserved_tokens for running in self.running.values())

    def start(
        self, request: RequestId, running: RunningRequest, curve: Curve
    ) -> None:
        """Record a request that is sent to the target."""
        self.running[request] = running
        running.reserved_tokens = curve.peak
        self.pending_tokens += running.prompt_tokens
        self._curve += curve
        self._curves[request] = curve

    def record_tokens(self, request: RequestId, produced: int) -> None:
        """Record how many tokens a request has generated."""
        running = self.running[request]
        if not running.produced and produced:
            self.pending_tokens -= running.prompt_tokens
        self._estimator.observe(running.kind, running.produced, produced)
        running.produced = produced

    def end(self, request: RequestId) -> RunningRequest | None:
        """Remove a request; return it if it was running."""
        running = self.running.pop(request, None)
        if running is None:
            return None
        if not running.produced:
            self.pending_tokens -= running.prompt_tokens
        self._curve -= self._curves.pop(request)
        return running

    def predict(self, now: float) -> Curve:
        """Return the predicted memory of this node's requests.

        The forecast is recomputed when it is older than a fixed age.
        """
        if now - self._curve_time >= _MAX_CURVE_AGE_SECONDS and self.running:
            self._recompute_curve()
            self._curve_time = now
        return self._curve

    def _recompute_curve(self) -> None:
        if self._version != self._estimator.version:
            self._version = self._estimator.version
            for running in self.running.values():
                running.survival = self._estimator.estimate(running.kind)
        forecasts = forecast(tuple(self.running.values()))
        self._curve = forecasts.sum()
        for index, request in enumerate(self.running):
            self._curves[request] = forecasts.get_row(index)
