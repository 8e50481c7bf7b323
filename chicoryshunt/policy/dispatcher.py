"""Decides for one model which request goes to which target, and when.

The owner offers requests, asks for the next dispatch until there is none, and
records what it sees of streams and targets. Times are seconds of a monotonic
clock.
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
    NoPlace,
    Placement,
    find_place,
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

_BLOCKED_SECONDS = 0.1
_MOST_MEASURED = 16
_EXPIRE_SECONDS = 0.2
_HELD_UP_SECONDS = 1
_TYPICAL_PART = 0.05
_WORK_PER_PROMPT_TOKEN = 0.1


class StopReason(Enum):
    """Say why a request left its target."""

    ended = 'ended'
    bounded = 'bounded'
    cancelled = 'cancelled'
    lost = 'lost'


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a request to a target now."""

    waiting: QueuedRequest
    choice: Choice
    fit: Fit
    waited: Seconds
    engine_priority: int


@dataclass(frozen=True, slots=True)
class QueueDemand:
    """What waits: requests, their expected peak memory, the largest one."""

    requests: int
    memory_tokens: int
    largest_tokens: int


class _Lane:
    """Requests of one size class that wait."""

    def __init__(self, patience: Seconds) -> None:
        self.patience = patience
        self.queue = FairQueue()
        self.drain = DrainRate()
        self.expired_at: float = 0
        self.blocked_until: float = 0

    def judge(self, waiting: QueuedRequest) -> WaitAccepted | WaitTooLong:
        ahead = self.queue.compute_work_ahead(waiting)
        return check_wait(self.drain.predict_wait(ahead), self.patience)

    def expire(self, now: float) -> list[QueuedRequest]:
        if now - self.expired_at < _EXPIRE_SECONDS:
            return []
        self.expired_at = now
        return self.queue.expire(now - self.patience)

    def push(self, waiting: QueuedRequest, now: float) -> None:
        self.drain.record(0, now, is_waiting=bool(len(self.queue)))
        self.queue.push(waiting)
        self.blocked_until = 0

    def take(self, head: QueuedRequest, now: float) -> None:
        self.drain.record(head.work, now, is_waiting=True)
        self.queue.take(head)


class Dispatcher:
    """Queues, places and tracks the requests of one model."""

    def __init__(
        self,
        parameters: PolicyParameters,
        estimator: LengthEstimator,
    ) -> None:
        """Start without targets.

        ``typical`` is the curve of a usual request, for keepers.
        """
        self.margin = SafetyMargin(parameters)
        self.trackers: dict[TargetId, TargetTracker] = {}
        self.typical: Curve = build_empty_curve()
        self._parameters = parameters
        self._estimator = estimator
        self._shares = TeamShares()
        self._places: dict[RequestId, TargetTracker] = {}
        self._lanes = {
            SizeClass.short: _Lane(parameters.short_queue_timeout),
            SizeClass.free: _Lane(parameters.queue_timeout),
        }

    @property
    def queued(self) -> int:
        """Return the number of requests that wait."""
        return sum(len(lane.queue) for lane in self._lanes.values())

    def compute_demand(self) -> QueueDemand:
        """Return what all waiting requests together would take."""
        peaks = [
            self._build_demand(waiting, 0).curve.peak
            for lane in self._lanes.values()
            for waiting in islice(lane.queue, _MOST_MEASURED)
        ]
        return QueueDemand(self.queued, sum(peaks), max(peaks, default=0))

    def add_target(self, target: TargetId, *, is_local: bool = True) -> None:
        """Know a target; it is closed until it has room."""
        if target not in self.trackers:
            self.trackers[target] = TargetTracker(
                target,
                self._estimator,
                is_local=is_local,
            )

    def set_quota(self, target: TargetId, room: Quota) -> None:
        """Say what the target may still take from this node."""
        self.trackers[target].quota = room

    def enqueue(
        self, ask: RequestSpec, now: float
    ) -> WaitAccepted | WaitTooLong:
        """Queue a request, or refuse it when it would wait too long."""
        self._shares.see(ask.kind.team, ask.weight, now)
        waiting = QueuedRequest(ask, now, self._expect_work(ask))
        lane = self._lanes[ask.kind.size]
        verdict = lane.judge(waiting)
        match verdict:
            case WaitAccepted():
                lane.push(waiting, now)
            case WaitTooLong():
                pass
        return verdict

    def withdraw(self, waiting: QueuedRequest) -> bool:
        """Drop a request that waits, such as one whose caller is gone."""
        return self._lanes[waiting.spec.kind.size].queue.remove(waiting)

    def expire(self, now: float) -> list[QueuedRequest]:
        """Take out what has waited longer than is useful."""
        expired: list[QueuedRequest] = []
        for lane in self._lanes.values():
            expired.extend(lane.expire(now))
        return expired

    def find_next(self, now: float) -> Dispatch | None:
        """Decide on the next dispatch, short requests first, and count it.

        The owner sends it at once, or calls ``cancel``.
        """
        for lane in self._lanes.values():
            if now < lane.blocked_until:
                continue
            dispatch = self._find_in_lane(lane, now)
            if dispatch is not None:
                return dispatch
            lane.blocked_until = now + _BLOCKED_SECONDS
        return None

    def cancel(self, dispatch: Dispatch) -> None:
        """Put a request back that was not sent after all."""
        ask = dispatch.waiting.spec
        self._leave(ask.request)
        self._lanes[ask.kind.size].queue.restore(dispatch.waiting)

    def record_tokens(self, request: RequestId, produced: int) -> None:
        """Note how many tokens a request has produced by now."""
        book = self._places.get(request)
        if book is not None:
            running = book.running[request]
            added = produced - running.produced
            self._shares.add(running.kind.team, added)
            book.record_tokens(request, produced)

    def record_stop(
        self, request: RequestId, length: Tokens, stop: StopReason
    ) -> None:
        """Note that a request left its target after some tokens."""
        running = self._leave(request)
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
        """Look at every waiting request again, as when room was gained."""
        for lane in self._lanes.values():
            lane.blocked_until = 0

    def _expect_work(self, ask: RequestSpec) -> float:
        survival = self._estimator.estimate(ask.kind)
        tokens = survival.expect_remaining(0, ask.max_tokens)
        return tokens + _WORK_PER_PROMPT_TOKEN * ask.prompt_tokens

    def _find_in_lane(self, lane: _Lane, now: float) -> Dispatch | None:
        """Try the first team within its share, then the first beyond it."""
        heads = lane.queue.list_heads()
        is_over = [self._is_over_share(head) for head in heads]
        reserve = self._parameters.team_reserve
        for over, kept in ((False, 0), (True, reserve)):
            if over in is_over:
                head = heads[is_over.index(over)]
                dispatch = self._place(lane, head, kept, now)
                if dispatch is not None:
                    return dispatch
        return None

    def _place(
        self,
        lane: _Lane,
        head: QueuedRequest,
        reserve: float,
        now: float,
    ) -> Dispatch | None:
        demand = self._build_demand(head, reserve)
        place = find_place(self.trackers.values(), demand, now)
        match place:
            case Placement():
                lane.take(head, now)
                return self._start(head, demand, place, now)
            case NoPlace():
                return None

    def _build_demand(self, head: QueuedRequest, reserve: float) -> Demand:
        ask = head.spec
        curve = predict_occupancy((self._build_running(ask),))
        return Demand(ask, curve, self.margin.deviations, reserve)

    def _build_running(self, ask: RequestSpec) -> RunningRequest:
        return RunningRequest(
            ask.kind,
            self._estimator.estimate(ask.kind),
            ask.prompt_tokens,
            ask.max_tokens,
        )

    def _is_over_share(self, head: QueuedRequest) -> bool:
        return self._shares.judge(head.team, self._sum_memory()).is_over

    def _sum_memory(self) -> int:
        return sum(
            get_target_memory(book.quota) for book in self.trackers.values()
        )

    def _start(
        self,
        waiting: QueuedRequest,
        demand: Demand,
        place: Placement,
        now: float,
    ) -> Dispatch:
        ask = demand.spec
        book = self.trackers[place.choice.target]
        book.start(ask.request, self._build_running(ask), demand.curve)
        book.prefix_hints.record(ask.prefix, now, held=True)
        self._places[ask.request] = book
        self._learn_typical(demand)
        self._shares.add(ask.kind.team, ask.prompt_tokens)
        waited = Seconds(now - waiting.arrived)
        self.margin.record_admission(has_waited=waited > _HELD_UP_SECONDS)
        return Dispatch(
            waiting,
            place.choice,
            place.fit,
            waited,
            compute_engine_priority(ask),
        )

    def _learn_typical(self, demand: Demand) -> None:
        if not self.typical.requests:
            self.typical = demand.curve
        elif demand.spec.kind.size is not SizeClass.short:
            self.typical = self.typical.interpolate(demand.curve, _TYPICAL_PART)

    def _leave(self, request: RequestId) -> RunningRequest | None:
        book = self._places.pop(request, None)
        if book is None:
            return None
        running = book.end(request)
        if running is not None:
            self._shares.add(running.kind.team, -running.held)
        self.unblock()
        return running
