"""Deciders to compare: two baselines and this project's dispatcher."""

from collections import deque

from chicoryshunt.connection.target_api import LoadReport
from chicoryshunt.policy.admission import Limit
from chicoryshunt.policy.dispatcher import Dispatcher, StopReason
from chicoryshunt.policy.overload import WaitAccepted
from chicoryshunt.policy.profile import get_policy_parameters
from chicoryshunt.policy.queue import RequestSpec
from chicoryshunt.policy.slots import Headroom
from chicoryshunt.policy.survival import (
    LengthEstimator,
    RequestKind,
    classify,
)
from chicoryshunt.policy.tracker import Closed, Exclusive
from chicoryshunt.policy.warming import WarmupLimiter
from chicoryshunt.types import (
    ModelId,
    Profile,
    RequestId,
    Seconds,
    TargetId,
    Tokens,
)
from lab.models.policy_model import REPORT_SECONDS, Sent
from lab.models.policy_workload import Arrival
from lab.standins.batching import EngineSpec

_MODEL = ModelId('kibitzer-llm')
_UNLIMITED = 1_000_000
_STEP_SECONDS_GOAL = Seconds(0.028)


class CountingDecider:
    """Base of the baselines: a FIFO queue and request counts per target."""

    def __init__(self, engines: int, limit: int) -> None:
        """Start with every target in service."""
        self._limit = limit
        self._queue: deque[int] = deque()
        self._running = [0 for _ in range(engines)]
        self._serving = [True for _ in range(engines)]
        self._alive = [True for _ in range(engines)]
        self._targets: dict[int, int] = {}

    @property
    def queued(self) -> int:
        """Return the number of requests that wait at the decider."""
        return len(self._queue)

    def offer(self, arrival: Arrival, now: float) -> bool:
        """Queue every request."""
        self._queue.append(arrival.number)
        return True

    def expire(self, now: float) -> tuple[int, ...]:
        """Return nothing; requests wait without a timeout."""
        return ()

    def find_next(self, now: float) -> Sent | None:
        """Send the oldest request if a target may take one."""
        if not self._queue:
            return None
        target = self.choose(self._list_usable())
        if target is None:
            return None
        number = self._queue.popleft()
        self._running[target] += 1
        self._targets[number] = target
        return Sent(number, target)

    def choose(self, usable: list[int]) -> int | None:
        """Return one of the targets that may take a request."""
        raise NotImplementedError

    def record_tokens(self, number: int, produced: int) -> None:
        """Ignore the tokens."""

    def record_stop(self, number: int, produced: int, *, ended: bool) -> None:
        """Remove a request from the count of its target."""
        target = self._targets.pop(number, None)
        if target is not None:
            self._running[target] -= 1

    def record_report(
        self, target: int, report: LoadReport, now: float
    ) -> None:
        """Mark a target as alive."""
        self._alive[target] = True

    def record_loss(self, target: int, now: float) -> None:
        """Skip a lost target until it reports again."""
        self._alive[target] = False

    def set_serving(self, target: int, *, serving: bool) -> None:
        """Add a target to service or remove it."""
        self._serving[target] = serving

    def find_limit(self, target: int) -> int:
        """Return the fixed limit."""
        return self._limit

    def _list_usable(self) -> list[int]:
        return [
            target
            for target, running in enumerate(self._running)
            if running < self._limit
            and self._serving[target]
            and self._alive[target]
        ]


class RoundRobin(CountingDecider):
    """Round-robin with a fixed limit of requests per target."""

    def __init__(self, engines: int, limit: int) -> None:
        """Start with the first target."""
        super().__init__(engines, limit)
        self._last = 0

    def choose(self, usable: list[int]) -> int | None:
        """Return the next target in turn."""
        if not usable:
            return None
        later = [target for target in usable if target > self._last]
        self._last = min(later or usable)
        return self._last


class LeastOutstanding(CountingDecider):
    """Chooses the target with the fewest requests, without a limit."""

    def __init__(self, engines: int) -> None:
        """Start without a limit per target."""
        super().__init__(engines, _UNLIMITED)

    def choose(self, usable: list[int]) -> int | None:
        """Return the target with the fewest requests."""
        return min(
            usable,
            key=lambda target: self._running[target],
            default=None,
        )


class NodeDecider:
    """Dispatcher of one node that has all targets to itself."""

    def __init__(
        self,
        profile: Profile,
        spec: EngineSpec,
        engines: int,
    ) -> None:
        """Start with warm targets."""
        declared = Limit(spec.slots, spec.memory_tokens)
        self._parameters = get_policy_parameters(profile)
        self.dispatcher = Dispatcher(self._parameters, LengthEstimator())
        self.warmup_limiters = [
            WarmupLimiter(declared, _STEP_SECONDS_GOAL) for _ in range(engines)
        ]
        self._serving = [True for _ in range(engines)]
        self._alive = [True for _ in range(engines)]
        self._preemptions: dict[int, int] = {}
        for target, limiter in enumerate(self.warmup_limiters):
            _warm_up(limiter, declared)
            self.dispatcher.add_target(name_target(target))
            self._open(target, 0)

    @property
    def queued(self) -> int:
        """Return the number of requests that wait at the decider."""
        return self.dispatcher.queued

    def offer(self, arrival: Arrival, now: float) -> bool:
        """Queue a request if its expected wait is accepted."""
        return isinstance(
            self.dispatcher.enqueue(_build_spec(arrival), now),
            WaitAccepted,
        )

    def expire(self, now: float) -> list[int]:
        """Return the requests whose wait timed out."""
        return [int(one.spec.request) for one in self.dispatcher.expire(now)]

    def find_next(self, now: float) -> Sent | None:
        """Return the next dispatch."""
        dispatch = self.dispatcher.find_next(now)
        if dispatch is None:
            return None
        return Sent(
            int(dispatch.waiting.spec.request),
            int(dispatch.choice.target),
            dispatch.engine_priority,
        )

    def record_tokens(self, number: int, produced: int) -> None:
        """Forward the number of produced tokens."""
        self.dispatcher.record_tokens(RequestId(str(number)), produced)

    def record_stop(self, number: int, produced: int, *, ended: bool) -> None:
        """Forward the end of a request."""
        self.dispatcher.record_stop(
            RequestId(str(number)),
            Tokens(produced),
            StopReason.ended if ended else StopReason.lost,
        )

    def record_report(
        self, target: int, report: LoadReport, now: float
    ) -> None:
        """Update the warm-up limit and the quota of a target."""
        limiter = self.warmup_limiters[target]
        limiter.record_start(report.start)
        self._alive[target] = True
        step = Seconds(report.step_ms / 1000)
        served = report.running * int(REPORT_SECONDS / step)
        limiter.record_work(served, step, report.running)
        tracker = self.dispatcher.trackers[name_target(target)]
        tracker.step_seconds = step
        tracker.waiting = report.waiting
        seen = self._preemptions.get(target, 0)
        self._preemptions[target] = report.preemptions
        if report.preemptions > seen:
            self.dispatcher.margin.record_preemptions(report.preemptions - seen)
        self._open(target, now)

    def record_loss(self, target: int, now: float) -> None:
        """Close a lost target until it reports again."""
        self._alive[target] = False
        self.warmup_limiters[target].record_unreachable()
        self.dispatcher.set_quota(name_target(target), Closed('lost'))

    def set_serving(self, target: int, *, serving: bool) -> None:
        """Add a target to service or remove it."""
        self._serving[target] = serving
        if not serving:
            self.dispatcher.set_quota(name_target(target), Closed('out'))

    def find_limit(self, target: int) -> int:
        """Return the current slot limit of a target."""
        return self.warmup_limiters[target].limit.slots

    def get_last_reservation(self, target: int) -> int:
        """Return the tokens reserved for the last request sent to a target."""
        tracker = self.dispatcher.trackers[name_target(target)]
        return next(reversed(tracker.running.values())).reserved_tokens

    def compute_share(self, target: int, nodes: int) -> Headroom:
        """Return the free part of an equal share of a target's limit."""
        limit = self.warmup_limiters[target].limit
        tracker = self.dispatcher.trackers[name_target(target)]
        return Headroom(
            max(limit.slots // nodes - len(tracker.running), 0),
            max(limit.memory_tokens // nodes - tracker.reserved_tokens, 0),
        )

    def is_open(self, target: int) -> bool:
        """Return whether a target is in service and alive."""
        return self._serving[target] and self._alive[target]

    def _open(self, target: int, now: float) -> None:
        if not self.is_open(target):
            return
        limiter = self.warmup_limiters[target]
        if limiter.is_paused(now):
            self.dispatcher.set_quota(name_target(target), Closed('resting'))
            return
        self.dispatcher.set_quota(name_target(target), Exclusive(limiter.limit))


def name_target(target: int) -> TargetId:
    """Return the id of the target with a number."""
    return TargetId(str(target))


def _warm_up(limiter: WarmupLimiter, declared: Limit) -> None:
    limiter.record_start(1)
    while limiter.limit.slots < declared.slots:
        limiter.record_work(_UNLIMITED, _STEP_SECONDS_GOAL, declared.slots)


def _build_spec(arrival: Arrival) -> RequestSpec:
    return RequestSpec(
        RequestId(str(arrival.number)),
        RequestKind(arrival.team, _MODEL, classify(arrival.max_tokens)),
        arrival.prompt_tokens,
        arrival.max_tokens,
        weight=arrival.weight,
        prefix=arrival.prefix,
    )
