"""Deciders under test: two baselines and the project's own decisions."""

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
_STEP_GOAL = Seconds(0.028)


class CountingDecider:
    """What the baselines share: first in first out, requests counted."""

    def __init__(self, engines: int, limit: int) -> None:
        """Serve with every target."""
        self._limit = limit
        self._queue: deque[int] = deque()
        self._running = [0 for _ in range(engines)]
        self._serving = [True for _ in range(engines)]
        self._alive = [True for _ in range(engines)]
        self._places: dict[int, int] = {}

    @property
    def queued(self) -> int:
        """Return the number of requests that wait at the decider."""
        return len(self._queue)

    def offer(self, arrival: Arrival, now: float) -> bool:
        """Queue every request."""
        self._queue.append(arrival.number)
        return True

    def expire(self, now: float) -> tuple[int, ...]:
        """Let every request wait."""
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
        self._places[number] = target
        return Sent(number, target)

    def choose(self, usable: list[int]) -> int | None:
        """Return one of the targets that may take a request."""
        raise NotImplementedError

    def record_tokens(self, number: int, produced: int) -> None:
        """Need no tokens."""

    def record_stop(self, number: int, produced: int, *, ended: bool) -> None:
        """Count a request no longer."""
        target = self._places.pop(number, None)
        if target is not None:
            self._running[target] -= 1

    def record_report(
        self, target: int, report: LoadReport, now: float
    ) -> None:
        """See that a target is there."""
        self._alive[target] = True

    def record_loss(self, target: int, now: float) -> None:
        """Use a lost target no longer until it reports again."""
        self._alive[target] = False

    def set_serving(self, target: int, *, serving: bool) -> None:
        """Follow an order of operators."""
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
    """Targets in turn, each with a fixed number of requests at once."""

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
    """The target with the fewest requests, without a limit."""

    def __init__(self, engines: int) -> None:
        """Send everything at once."""
        super().__init__(engines, _UNLIMITED)

    def choose(self, usable: list[int]) -> int | None:
        """Return the target with the fewest requests."""
        return min(
            usable,
            key=lambda target: self._running[target],
            default=None,
        )


class NodeDecider:
    """The project's decisions made by one node for all targets."""

    def __init__(
        self,
        profile: Profile,
        spec: EngineSpec,
        engines: int,
    ) -> None:
        """Start with targets that are known to be warm."""
        declared = Limit(spec.slots, spec.memory_tokens)
        self._parameters = get_policy_parameters(profile)
        self.dispatcher = Dispatcher(self._parameters, LengthEstimator())
        self.warmths = [
            WarmupLimiter(declared, _STEP_GOAL) for _ in range(engines)
        ]
        self._serving = [True for _ in range(engines)]
        self._alive = [True for _ in range(engines)]
        self._preemptions: dict[int, int] = {}
        for target, warmth in enumerate(self.warmths):
            _warm_up(warmth, declared)
            self.dispatcher.add_target(name_target(target))
            self._open(target, 0)

    @property
    def queued(self) -> int:
        """Return the number of requests that wait at the decider."""
        return self.dispatcher.queued

    def offer(self, arrival: Arrival, now: float) -> bool:
        """Queue a request that will be served in time."""
        return isinstance(
            self.dispatcher.enqueue(_build_ask(arrival), now),
            WaitAccepted,
        )

    def expire(self, now: float) -> list[int]:
        """Return the requests that waited past their use."""
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
        """Pass on the tokens seen."""
        self.dispatcher.record_tokens(RequestId(str(number)), produced)

    def record_stop(self, number: int, produced: int, *, ended: bool) -> None:
        """Pass on the end of a request."""
        self.dispatcher.record_stop(
            RequestId(str(number)),
            Tokens(produced),
            StopReason.ended if ended else StopReason.lost,
        )

    def record_report(
        self, target: int, report: LoadReport, now: float
    ) -> None:
        """Learn from a report how warm a target is."""
        warmth = self.warmths[target]
        warmth.record_start(report.start)
        self._alive[target] = True
        step = Seconds(report.step_ms / 1000)
        served = report.running * int(REPORT_SECONDS / step)
        warmth.record_work(served, step, report.running)
        book = self.dispatcher.trackers[name_target(target)]
        book.step_seconds = step
        book.waiting = report.waiting
        seen = self._preemptions.get(target, 0)
        self._preemptions[target] = report.preemptions
        if report.preemptions > seen:
            self.dispatcher.margin.record_preemptions(report.preemptions - seen)
        self._open(target, now)

    def record_loss(self, target: int, now: float) -> None:
        """Close a lost target until it reports again."""
        self._alive[target] = False
        self.warmths[target].record_disconnect()
        self.dispatcher.set_quota(name_target(target), Closed('lost'))

    def set_serving(self, target: int, *, serving: bool) -> None:
        """Follow an order of operators."""
        self._serving[target] = serving
        if not serving:
            self.dispatcher.set_quota(name_target(target), Closed('out'))

    def find_limit(self, target: int) -> int:
        """Return the slots that the target may have now."""
        return self.warmths[target].limit.slots

    def find_last_promise(self, target: int) -> int:
        """Return the memory promised to the last request sent there."""
        book = self.dispatcher.trackers[name_target(target)]
        return next(reversed(book.running.values())).reserved_tokens

    def find_part(self, target: int, nodes: int) -> Headroom:
        """Return what is left of an equal part of a target's limit."""
        limit = self.warmths[target].limit
        book = self.dispatcher.trackers[name_target(target)]
        return Headroom(
            max(limit.slots // nodes - len(book.running), 0),
            max(limit.memory_tokens // nodes - book.reserved_tokens, 0),
        )

    def is_open(self, target: int) -> bool:
        """Say whether a target may take work at all."""
        return self._serving[target] and self._alive[target]

    def _open(self, target: int, now: float) -> None:
        if not self.is_open(target):
            return
        warmth = self.warmths[target]
        if warmth.is_paused(now):
            self.dispatcher.set_quota(name_target(target), Closed('resting'))
            return
        self.dispatcher.set_quota(name_target(target), Exclusive(warmth.limit))


def name_target(target: int) -> TargetId:
    """Return the id of a target by its number."""
    return TargetId(str(target))


def _warm_up(warmth: WarmupLimiter, declared: Limit) -> None:
    warmth.record_start(1)
    while warmth.limit.slots < declared.slots:
        warmth.record_work(_UNLIMITED, _STEP_GOAL, declared.slots)


def _build_ask(arrival: Arrival) -> RequestSpec:
    return RequestSpec(
        RequestId(str(arrival.number)),
        RequestKind(arrival.team, _MODEL, classify(arrival.max_tokens)),
        arrival.prompt_tokens,
        arrival.max_tokens,
        weight=arrival.weight,
        prefix=arrival.prefix,
    )
