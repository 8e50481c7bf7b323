"""Orders to engines, derived by each keeper from the configuration."""

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
from chicoryshunt.orders.order_state import (
    CHECK_SECONDS,
    RETRY_SECONDS,
    FenceCounter,
    OrderState,
    Pending,
    holds_weights,
    matches_desired,
)
from chicoryshunt.types import ConfigVersion, TargetId, VmId
from chicoryshunt.version.config import Config, DesiredState, Target

ORDER_SECONDS = 5.0
SETTLE_SECONDS = 20.0
UPDATE_SECONDS = 1.0
_NO_DESIRED = DesiredState()


@dataclass(frozen=True, slots=True)
class _MembershipView:
    """Inputs that decide which targets this node keeps."""

    version: ConfigVersion
    live: frozenset[VmId]
    published: frozenset[VmId]


class Orders:
    """Core that reconciles each kept target with its declared state.

    Times are seconds of a monotonic clock. An engine that ignores fencing
    numbers gets no order before ``SETTLE_SECONDS`` have passed since this
    node became its keeper or resumed after a pause: any order of an earlier
    keeper has then been answered or given up.
    """

    message_types: tuple[type[Message], ...] = ()

    def __init__(self, own: VmId, members: Members, metrics: Metrics) -> None:
        """Start without a configuration."""
        self._own = own
        self._members = members
        self._metrics = metrics
        self._config: Config | None = None
        self._states: dict[TargetId, OrderState] = {}
        self._desired_since: dict[TargetId, ConfigVersion] = {}
        self._load_times: dict[TargetId, float] = {}
        self._fences: dict[TargetId, FenceCounter] = {}
        self._last_number = 0
        self._next_update = -inf
        self._view: _MembershipView | None = None
        self._kept: frozenset[TargetId] = frozenset()

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterable[Send]:
        """Receive nothing: keepers exchange no messages."""
        return ()

    def tick(self, now: float) -> Iterable[Send]:
        """Update the kept targets from the live members."""
        config = self._config
        if config is None or now < self._next_update:
            return ()
        self._next_update = now + UPDATE_SECONDS
        view = _MembershipView(
            config.version,
            frozenset(self._members.list_live()),
            frozenset(self._members.published),
        )
        if view != self._view:
            self._view = view
            self._kept = frozenset(self._list_kept(config))
        for lost in sorted(set(self._states) - self._kept):
            self._states.pop(lost)
        for target in sorted(self._kept - set(self._states)):
            self._states[target] = OrderState(
                self._fences.setdefault(target, FenceCounter()),
                now + SETTLE_SECONDS,
                now,
            )
        return ()

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Drop all state, so that no action from before a pause goes on."""
        self._states.clear()

    def apply_config(self, config: Config, now: float) -> None:
        """Apply a new version of the configuration."""
        changed = [
            target
            for target in config.targets
            if self._desired_since.get(target)
            != _get_desired_since(config, target)
        ]
        self._desired_since = {
            target: _get_desired_since(config, target)
            for target in config.targets
        }
        self._load_times.update(schedule_loads(config, changed, now))
        self._fences = {
            target: counter
            for target, counter in self._fences.items()
            if target in config.targets
        }
        self._config = config
        for target in changed:
            state = self._states.get(target)
            if state is not None:
                state.check_now(now)

    def list_due_reads(self, now: float) -> Iterator[ReadLoad]:
        """Return the reads that are due."""
        config = self._config
        if config is None:
            return
        for target_id, state in self._states.items():
            target = config.targets.get(target_id)
            if target is not None and now >= state.due:
                state.start(self._next_number(), now)
                yield ReadLoad(target_id, target.address, state.number)

    def may_send(self, action: SendOrder) -> bool:
        """Say whether an order may still be sent, right before its write."""
        config = self._config
        if config is None or self._find_state(action) is None:
            return False
        target = config.targets.get(action.target)
        return (
            target is not None
            and sees_majority(self._members, self._own)
            and self._keeps(Keepers(self._members), action.target, target)
        )

    def handle_report(
        self,
        action: ReadLoad,
        result: ReadResult,
        now: float,
    ) -> SendOrder | None:
        """Compare a target with its declared state; return its order."""
        state = self._find_state(action)
        if state is None or self._config is None:
            return None
        target = self._config.targets.get(action.target)
        match result:
            case LoadReport() if target is not None:
                state.record_report(result, now)
                wait = self._find_wait(action.target, target, result, now)
                if wait > now:
                    state.wait(wait)
                    return None
                state.start(self._next_number(), now)
                return self._build_order(action.target, target, state)
            case _:
                state.wait(now + CHECK_SECONDS)
        return None

    def handle_result(
        self,
        action: SendOrder,
        result: SendResult,
        now: float,
    ) -> None:
        """Record the result of an order."""
        self._log_result(action, result)
        state = self._find_state(action)
        if state is None:
            return
        match result:
            case Obeyed() | Unanswered():
                state.record_pending(action.order, now)
                state.wait(now + CHECK_SECONDS)
            case Outdated(fence=fence):
                state.fences.record(fence)
                state.wait(now + RETRY_SECONDS)
            case Throttled(retry_after=seconds):
                state.wait(now + seconds)
            case NotSent():
                state.wait(now + CHECK_SECONDS)

    def _find_wait(
        self,
        target_id: TargetId,
        target: Target,
        report: LoadReport,
        now: float,
    ) -> float:
        state = self._states[target_id]
        if matches_desired(target.desired, report):
            return now + CHECK_SECONDS
        if report.is_loading or _is_busy(state.pending, target):
            return now + RETRY_SECONDS
        ready = -inf if target.checks_fence else state.settled_at
        if holds_weights(target.desired, report):
            return ready
        return max(ready, self._load_times.get(target_id, -inf))

    def _build_order(
        self,
        target_id: TargetId,
        target: Target,
        state: OrderState,
    ) -> SendOrder:
        rank = sum(vm < self._own for vm in self._members.published)
        return SendOrder(
            target_id,
            target.address,
            state.number,
            Order(
                state.fences.build_next(rank),
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

    def _find_state(self, action: Action) -> OrderState | None:
        state = self._states.get(action.target)
        if state is None or state.number != action.number:
            return None
        return state

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _log_result(self, action: SendOrder, result: SendResult) -> None:
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
    return target.model is not None and target.desired != _NO_DESIRED


def _get_desired_since(config: Config, target: TargetId) -> ConfigVersion:
    return config.desired_since.get(target, ConfigVersion(0))
