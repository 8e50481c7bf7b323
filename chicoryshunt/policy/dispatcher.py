"""Queues the requests of one model and assigns them to targets.

The caller of this module queues requests, asks for the next dispatch until
there is none, and records the progress of streams and targets. Times are in
monotonic seconds.
"""

from dataclasses import dataclass
from enum import Enum
from itertools import islice

from chicoryshunt.policy.admission import Fit, SafetyMargin
from chicoryshunt.policy.choice import Choice
from chicoryshunt.policy.occupancy import (
    Curve,
    RunningRequest,
    build_empty_curve,
    predict_occupancy,
)
from chicoryshunt.policy.overload import (
    DrainRate,
    WaitAccepted,
    WaitTooLong,
    check_wait,
)
from chicoryshunt.policy.placement import (
    Demand,
    NoPlacement,
    Placement,
    find_placement,
)
from chicoryshunt.policy.profile import PolicyParameters
from chicoryshunt.policy.queue import (
    FairQueue,
    QueuedRequest,
    RequestSpec,
    compute_engine_priority,
)
from chicoryshunt.policy.shares import TeamShares
from chicoryshunt.policy.survival import LengthEstimator, SizeClass
from chicoryshunt.policy.tracker import Quota, TargetTracker, get_target_memory
from chicoryshunt.types import RequestId, Seconds, TargetId, Tokens

_BLOCK_SECONDS = 0.1
_MAX_MEASURED_REQUESTS = 16
_EXPIRE_INTERVAL_SECONDS = 0.2
_DELAYED_SECONDS = 1
_TYPICAL_WEIGHT = 0.05
_WORK_PER_PROMPT_TOKEN = 0.1


class StopReason(Enum):
    """Reason why a request left its target."""

    ended = 'ended'
    bounded = 'bounded'
    cancelled = 'cancelled'
    lost = 'lost'


@dataclass(frozen=True, slots=True)
class Dispatch:
    """A request that is to be sent to a target now."""

    waiting: QueuedRequest
    choice: Choice
    fit: Fit
    waited: Seconds
    engine_priority: int


@dataclass(frozen=True, slots=True)
class QueueDemand:
    """Number, total peak memory and largest peak of queued requests."""

    requests: int
    memory_tokens: int
    largest_tokens: int


class _SizeQueue:
    """Queued requests of one size class."""

    def __init__(self, queue_timeout: Seconds) -> None:
        self.queue_timeout = queue_timeout
        self.queue = FairQueue()
        self.drain_rate = DrainRate()
        self.expired_at: float = 0
        self.blocked_until: float = 0

    def check(self, waiting: QueuedRequest) -> WaitAccepted | WaitTooLong:
        ahead = self.queue.compute_work_ahead(waiting)
        return check_wait(
            self.drain_rate.predict_wait(ahead), self.queue_timeout
        )

    def expire(self, now: float) -> list[QueuedRequest]:
        if now - self.expired_at < _EXPIRE_INTERVAL_SECONDS:
            return []
        self.expired_at = now
        return self.queue.expire(now - self.queue_timeout)

    def push(self, waiting: QueuedRequest, now: float) -> None:
        self.drain_rate.record(0, now, is_waiting=bool(len(self.queue)))
        self.queue.push(waiting)
        self.blocked_until = 0

    def take(self, head: QueuedRequest, now: float) -> None:
        self.drain_rate.record(head.work, now, is_waiting=True)
        self.queue.take(head)


class Dispatcher:
    """Queues, places and tracks the requests of one model."""

    def __init__(
        self,
        parameters: PolicyParameters,
        estimator: LengthEstimator,
    ) -> None:
        """Create a dispatcher without targets.

        ``typical`` is a moving average of memory curves, used by keepers.
        """
        self.margin = SafetyMargin(parameters)
        self.trackers: dict[TargetId, TargetTracker] = {}
        self.typical: Curve = build_empty_curve()
        self._parameters = parameters
        self._estimator = estimator
        self._shares = TeamShares()
        self._running_on: dict[RequestId, TargetTracker] = {}
        self._queues = {
            SizeClass.short: _SizeQueue(parameters.short_queue_timeout),
            SizeClass.free: _SizeQueue(parameters.queue_timeout),
        }

    @property
    def queued(self) -> int:
        """Return the number of queued requests."""
        return sum(
            len(size_queue.queue) for size_queue in self._queues.values()
        )

    def compute_demand(self) -> QueueDemand:
        """Return the resources that queued requests need.

        Memory is computed for a limited number of requests of each size.
        """
        peak_tokens = [
            self._build_demand(waiting, 0).curve.peak
            for size_queue in self._queues.values()
            for waiting in islice(size_queue.queue, _MAX_MEASURED_REQUESTS)
        ]
        return QueueDemand(
            self.queued, sum(peak_tokens), max(peak_tokens, default=0)
        )

    def add_target(self, target: TargetId, *, is_local: bool = True) -> None:
        """Add a target, which is closed at first."""
        if target not in self.trackers:
            self.trackers[target] = TargetTracker(
                target,
                self._estimator,
                is_local=is_local,
            )

    def set_quota(self, target: TargetId, quota: Quota) -> None:
        """Set what the target may still take from this node."""
        self.trackers[target].quota = quota

    def enqueue(
        self, spec: RequestSpec, now: float
    ) -> WaitAccepted | WaitTooLong:
        """Queue a request, or refuse it if it would wait too long."""
        self._shares.record_request(spec.kind.team, spec.weight, now)
        waiting = QueuedRequest(spec, now, self._estimate_work(spec))
        size_queue = self._queues[spec.kind.size]
        verdict = size_queue.check(waiting)
        match verdict:
            case WaitAccepted():
                size_queue.push(waiting, now)
            case WaitTooLong():
                pass
        return verdict

    def withdraw(self, waiting: QueuedRequest) -> bool:
        """Remove a queued request, for example if its caller disconnected."""
        return self._queues[waiting.spec.kind.size].queue.remove(waiting)

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return requests that have waited too long."""
        expired: list[QueuedRequest] = []
        for size_queue in self._queues.values():
            expired.extend(size_queue.expire(now))
        return expired

    def find_next(self, now: float) -> Dispatch | None:
        """Return the next dispatch, short requests first, and record it.

        The caller must send it at once or call ``cancel``.
        """
        for size_queue in self._queues.values():
            if now < size_queue.blocked_until:
                continue
            dispatch = self._find_in_queue(size_queue, now)
            if dispatch is not None:
                return dispatch
            size_queue.blocked_until = now + _BLOCK_SECONDS
        return None

    def cancel(self, dispatch: Dispatch) -> None:
        """Return a request that was not sent to the queue."""
        spec = dispatch.waiting.spec
        self._remove(spec.request)
        self._queues[spec.kind.size].queue.restore(dispatch.waiting)

    def record_tokens(self, request: RequestId, produced: int) -> None:
        """Record how many tokens a request has generated."""
        tracker = self._running_on.get(request)
        if tracker is not None:
            running = tracker.running[request]
            added = produced - running.produced
            self._shares.add(running.kind.team, added)
            tracker.record_tokens(request, produced)

    def record_stop(
        self, request: RequestId, length: Tokens, stop: StopReason
    ) -> None:
        """Record that a request left its target after ``length`` tokens."""
        running = self._remove(request)
        if running is None:
            return
        match stop:
            case StopReason.ended:
                self._estimator.observe_end(
                    running.kind,
                    running.produced,
                    length,
                )
            case StopReason.bounded | StopReason.cancelled | StopReason.lost:
                self._estimator.observe(running.kind, running.produced, length)

    def unblock(self) -> None:
        """Reconsider all queued requests, for example when memory is freed."""
        for size_queue in self._queues.values():
            size_queue.blocked_until = 0

    def _estimate_work(self, spec: RequestSpec) -> float:
        survival = self._estimator.estimate(spec.kind)
        tokens = survival.estimate_remaining(0, spec.max_tokens)
        return tokens + _WORK_PER_PROMPT_TOKEN * spec.prompt_tokens

    def _find_in_queue(
        self, size_queue: _SizeQueue, now: float
    ) -> Dispatch | None:
        """Try the first team within its share, then the first one over it."""
        heads = size_queue.queue.list_heads()
        is_over = [self._is_over_share(head) for head in heads]
        reserve = self._parameters.team_reserve
        for is_team_over, reserved in ((False, 0), (True, reserve)):
            if is_team_over in is_over:
                head = heads[is_over.index(is_team_over)]
                dispatch = self._place(size_queue, head, reserved, now)
                if dispatch is not None:
                    return dispatch
        return None

    def _place(
        self,
        size_queue: _SizeQueue,
        head: QueuedRequest,
        reserve: float,
        now: float,
    ) -> Dispatch | None:
        demand = self._build_demand(head, reserve)
        placement = find_placement(self.trackers.values(), demand, now)
        match placement:
            case Placement():
                size_queue.take(head, now)
                return self._start(head, demand, placement, now)
            case NoPlacement():
                return None

    def _build_demand(self, head: QueuedRequest, reserve: float) -> Demand:
        spec = head.spec
        curve = predict_occupancy((self._build_running(spec),))
        return Demand(spec, curve, self.margin.deviations, reserve)

    def _build_running(self, spec: RequestSpec) -> RunningRequest:
        return RunningRequest(
            spec.kind,
            self._estimator.estimate(spec.kind),
            spec.prompt_tokens,
            spec.max_tokens,
        )

    def _is_over_share(self, head: QueuedRequest) -> bool:
        return self._shares.get_share(
            head.team, self._compute_capacity()
        ).is_over

    def _compute_capacity(self) -> int:
        return sum(
            get_target_memory(tracker.quota)
            for tracker in self.trackers.values()
        )

    def _start(
        self,
        waiting: QueuedRequest,
        demand: Demand,
        placement: Placement,
        now: float,
    ) -> Dispatch:
        spec = demand.spec
        tracker = self.trackers[placement.choice.target]
        tracker.start(spec.request, self._build_running(spec), demand.curve)
        tracker.prefix_hints.record(spec.prefix, now, held=True)
        self._running_on[spec.request] = tracker
        self._update_typical(demand)
        self._shares.add(spec.kind.team, spec.prompt_tokens)
        waited = Seconds(now - waiting.arrived)
        self.margin.record_admission(has_waited=waited > _DELAYED_SECONDS)
        return Dispatch(
            waiting,
            placement.choice,
            placement.fit,
            waited,
            compute_engine_priority(spec),
        )

    def _update_typical(self, demand: Demand) -> None:
        if not self.typical.requests:
            self.typical = demand.curve
        elif demand.spec.kind.size is not SizeClass.short:
            self.typical = self.typical.interpolate(
                demand.curve, _TYPICAL_WEIGHT
            )

    def _remove(self, request: RequestId) -> RunningRequest | None:
        tracker = self._running_on.pop(request, None)
        if tracker is None:
            return None
        running = tracker.end(request)
        if running is not None:
            self._shares.add(running.kind.team, -running.held)
        self.unblock()
        return running
