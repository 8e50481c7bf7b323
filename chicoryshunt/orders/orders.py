"""Orders to engines, derived from the configuration by each keeper."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import inf

from chicoryshunt.connection.order_results import (
    NotSent,
    Obeyed,
    Outdated,
    ReadResult,
    SendResult,
    Throttled,
    Unanswered,
)
from chicoryshunt.connection.target_api import LoadReport, Order
from chicoryshunt.events import log_event, log_problem
from chicoryshunt.membership.members import Members
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.orders.keepers import Keepers, sees_majority
from chicoryshunt.orders.load_schedule import schedule_loads
from chicoryshunt.orders.order_actions import Action, ReadLoad, SendOrder
from chicoryshunt.orders.order_course import (
    CHECK_SECONDS,
    RETRY_SECONDS,
    Course,
    FenceCounter,
    Pending,
    holds_weights,
    is_reached,
)
from chicoryshunt.types import ConfigVersion, TargetId, VmId
from chicoryshunt.version.config import Config, DesiredState, Target

ORDER_SECONDS = 5.0
SETTLE_SECONDS = 20.0
FOLLOW_SECONDS = 1.0
_NOTHING = DesiredState()


@dataclass(frozen=True, slots=True)
class _View:
    """What decides which targets this node keeps."""

    version: ConfigVersion
    live: frozenset[VmId]
    published: frozenset[VmId]


class Orders:
    """Core that keeps each kept target at what operators want.

    Times are seconds of a monotonic clock. An engine that ignores fencing
    numbers gets no order before ``SETTLE_SECONDS`` have passed since this
    node became its keeper or woke up: any order of an earlier keeper has
    then been answered or given up.
    """

    message_types: tuple[type[Message], ...] = ()

    def __init__(self, own: VmId, members: Members, metrics: Metrics) -> None:
        """Start without a configuration."""
        self._own = own
        self._members = members
        self._metrics = metrics
        self._config: Config | None = None
        self._courses: dict[TargetId, Course] = {}
        self._seen: dict[TargetId, ConfigVersion] = {}
        self._slots: dict[TargetId, float] = {}
        self._fences: dict[TargetId, FenceCounter] = {}
        self._numbers = 0
        self._next_follow = -inf
        self._view: _View | None = None
        self._kept: frozenset[TargetId] = frozenset()

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterable[Send]:
        """Receive nothing: keepers do not talk to each other."""
        return ()

    def tick(self, now: float) -> Iterable[Send]:
        """Follow the members: drop what others keep now."""
        config = self._config
        if config is None or now < self._next_follow:
            return ()
        self._next_follow = now + FOLLOW_SECONDS
        view = _View(
            config.version,
            frozenset(self._members.list_live()),
            frozenset(self._members.published),
        )
        if view != self._view:
            self._view = view
            self._kept = frozenset(self._list_kept(config))
        for lost in sorted(set(self._courses) - self._kept):
            self._courses.pop(lost)
        for target in sorted(self._kept - set(self._courses)):
            self._courses[target] = Course(
                self._fences.setdefault(target, FenceCounter()),
                now + SETTLE_SECONDS,
                now,
            )
        return ()

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Forget every course, so that nothing begun before is finished."""
        self._courses.clear()

    def apply(self, config: Config, now: float) -> None:
        """Follow a new version of the configuration."""
        changed = [
            target
            for target in config.targets
            if self._seen.get(target) != _get_since(config, target)
        ]
        self._seen = {
            target: _get_since(config, target) for target in config.targets
        }
        self._slots.update(schedule_loads(config, changed, now))
        self._fences = {
            target: counter
            for target, counter in self._fences.items()
            if target in config.targets
        }
        self._config = config
        for target in changed:
            course = self._courses.get(target)
            if course is not None:
                course.hurry(now)

    def plan(self, now: float) -> Iterator[ReadLoad]:
        """Return the reads that are due."""
        config = self._config
        if config is None:
            return
        for target_id, course in self._courses.items():
            target = config.targets.get(target_id)
            if target is not None and now >= course.due:
                course.start(self._draw_number(), now)
                yield ReadLoad(target_id, target.address, course.number)

    def may_send(self, action: SendOrder) -> bool:
        """Say whether an order is still wanted, right before its write."""
        config = self._config
        if config is None or self._find(action) is None:
            return False
        target = config.targets.get(action.target)
        return (
            target is not None
            and sees_majority(self._members, self._own)
            and self._keeps(Keepers(self._members), action.target, target)
        )

    def learn_report(
        self,
        action: ReadLoad,
        result: ReadResult,
        now: float,
    ) -> SendOrder | None:
        """Compare what a target holds; return the order it needs."""
        course = self._find(action)
        if course is None or self._config is None:
            return None
        target = self._config.targets.get(action.target)
        match result:
            case LoadReport() if target is not None:
                course.note_report(result, now)
                wait = self._find_wait(action.target, target, result, now)
                if wait > now:
                    course.wait(wait)
                    return None
                course.start(self._draw_number(), now)
                return self._build_order(action.target, target, course)
            case _:
                course.wait(now + CHECK_SECONDS)
        return None

    def learn_answer(
        self,
        action: SendOrder,
        result: SendResult,
        now: float,
    ) -> None:
        """Use what came of an order."""
        self._report(action, result)
        course = self._find(action)
        if course is None:
            return
        match result:
            case Obeyed() | Unanswered():
                course.note_pending(action.order, now)
                course.wait(now + CHECK_SECONDS)
            case Outdated(fence=fence):
                course.fences.note(fence)
                course.wait(now + RETRY_SECONDS)
            case Throttled(retry_after=seconds):
                course.wait(now + seconds)
            case NotSent():
                course.wait(now + CHECK_SECONDS)

    def _find_wait(
        self,
        target_id: TargetId,
        target: Target,
        report: LoadReport,
        now: float,
    ) -> float:
        course = self._courses[target_id]
        if is_reached(target.desired, report):
            return now + CHECK_SECONDS
        if report.is_loading or _is_busy(course.pending, target):
            return now + RETRY_SECONDS
        ready = -inf if target.checks_fence else course.settled_at
        if holds_weights(target.desired, report):
            return ready
        return max(ready, self._slots.get(target_id, -inf))

    def _build_order(
        self,
        target_id: TargetId,
        target: Target,
        course: Course,
    ) -> SendOrder:
        rank = sum(vm < self._own for vm in self._members.published)
        return SendOrder(
            target_id,
            target.address,
            course.number,
            Order(
                course.fences.build(rank),
                target.desired.model_version,
                target.desired.adapters,
                target.desired.role,
            ),
        )

    def _list_kept(self, config: Config) -> Iterator[TargetId]:
        if not sees_majority(self._members, self._own):
            return
        keepers = Keepers(self._members)
        for target_id, target in config.targets.items():
            if self._keeps(keepers, target_id, target):
                yield target_id

    def _keeps(
        self,
        keepers: Keepers,
        target_id: TargetId,
        target: Target,
    ) -> bool:
        if not _is_managed(target):
            return False
        return keepers.find(target_id, target.data_centre) == self._own

    def _find(self, action: Action) -> Course | None:
        course = self._courses.get(action.target)
        if course is None or course.number != action.number:
            return None
        return course

    def _draw_number(self) -> int:
        self._numbers += 1
        return self._numbers

    def _report(self, action: SendOrder, result: SendResult) -> None:
        outcome = type(result).__name__
        self._metrics.count(
            'orders',
            'Orders sent to targets, by outcome',
            outcome=outcome,
        )
        log = log_event if isinstance(result, Obeyed) else log_problem
        log(
            'order_answered',
            target=action.target,
            outcome=outcome,
            fence=action.order.fence,
            model_version=action.order.model_version,
            role=action.order.role,
        )


def _is_busy(pending: Pending | None, target: Target) -> bool:
    if pending is None:
        return False
    return not target.checks_fence or pending.desired == target.desired


def _is_managed(target: Target) -> bool:
    return target.model is not None and target.desired != _NOTHING


def _get_since(config: Config, target: TargetId) -> ConfigVersion:
    return config.desired_since.get(target, ConfigVersion(0))
