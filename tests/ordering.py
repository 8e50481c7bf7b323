"""Simulated keepers and engines, with delays, on a virtual clock."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import msgspec

from chicoryshunt.connection.order_results import (
    NotSent,
    Obeyed,
    Outdated,
    SendResult,
    Throttled,
    Unanswered,
)
from chicoryshunt.connection.target_api import LoadReport, Order
from chicoryshunt.metrics import Metrics
from chicoryshunt.orders.order_actions import ReadLoad, SendOrder
from chicoryshunt.orders.orders import ORDER_SECONDS, Orders
from chicoryshunt.types import ConfigVersion, DataCentreId, TargetId, VmId
from chicoryshunt.version.config import Config, DesiredState
from tests.builders import build_config

STEP_SECONDS = 0.5
DETECT_SECONDS = 6
LOAD_SECONDS = 8


class View:
    """Members as one node sees them, some time after a change."""

    def __init__(self, published: Sequence[VmId]) -> None:
        self.published = tuple(published)
        self.live = tuple(published)
        self.changes: list[tuple[float, tuple[VmId, ...]]] = []

    def list_live(
        self,
        data_centre: DataCentreId | None = None,
    ) -> Sequence[VmId]:
        return self.live

    def advance(self, now: float) -> None:
        while self.changes and self.changes[0][0] <= now:
            self.live = self.changes.pop(0)[1]


@dataclass(slots=True)
class Engine:
    """One engine that carries out one order at a time."""

    checks_fence: bool
    start: int = 0
    fence: int = 0
    holds: DesiredState = field(default_factory=DesiredState)
    loading: Order | None = None
    loaded_at: float = 0
    throttles: bool = False
    shows_loading: bool = True
    accepted: list[int] = field(default_factory=list)

    def report(self) -> LoadReport:
        return LoadReport(
            start=self.start,
            at=0,
            running=0,
            waiting=0,
            memory_used=0,
            memory_tokens=1,
            step_ms=1,
            preemptions=0,
            fence=self.fence,
            role=self.holds.role,
            model_version=self.holds.model_version,
            adapters=self.holds.adapters,
            is_loading=self.shows_loading and self.loading is not None,
        )

    def obey(self, order: Order, now: float) -> SendResult:
        if self.checks_fence and order.fence < self.fence:
            return Outdated(self.fence)
        if self.throttles:
            return Throttled(3)
        self.fence = max(self.fence, order.fence)
        self.accepted.append(order.fence)
        self.loading = order
        self.loaded_at = now + LOAD_SECONDS
        return Obeyed(self.fence)

    def advance(self, now: float) -> None:
        order = self.loading
        if order is not None and now >= self.loaded_at:
            self.loading = None
            self.holds = DesiredState(
                order.model_version,
                order.adapters,
                order.role,
            )

    def restart(self) -> None:
        self.start += 1
        self.fence = 0
        self.holds = DesiredState()
        self.loading = None
        self.accepted.clear()


@dataclass(slots=True)
class InFlightOrder:
    """An order on its way from a keeper to an engine."""

    sender: VmId
    action: SendOrder
    arrives: float
    deadline: float


@dataclass(slots=True)
class Keeper:
    """One node that may send orders."""

    view: View
    orders: Orders
    is_paused: bool = False
    paused_at: float = 0
    planned: list[tuple[float, SendOrder]] = field(default_factory=list)
    versions: list[tuple[float, Config]] = field(default_factory=list)


class World:
    """Some keepers, an engine that checks fences and one that does not."""

    def __init__(self, nodes: int = 5, seed: int = 1) -> None:
        self.now: float = 0
        self.rng = Random(seed)
        base = build_config(targets=2)
        names = ('checking', 'ignoring')
        targets = {
            TargetId(name): msgspec.structs.replace(
                target,
                checks_fence=name == 'checking',
            )
            for name, target in zip(names, base.targets.values(), strict=True)
        }
        self.config = msgspec.structs.replace(base, targets=targets)
        self.engines = {
            name: Engine(target.checks_fence)
            for name, target in targets.items()
        }
        vms = [VmId(f'vm-{one}') for one in range(nodes)]
        self.keepers = {vm: _build_keeper(vm, vms) for vm in vms}
        self.in_flight: list[InFlightOrder] = []
        self.outstanding: list[str] = []

    def set_desired(self, model_version: str) -> None:
        """Change the declared state of both engines."""
        version = ConfigVersion(self.config.version + 1)
        targets = {
            name: msgspec.structs.replace(
                target,
                desired=DesiredState(model_version),
            )
            for name, target in self.config.targets.items()
        }
        self.config = msgspec.structs.replace(
            self.config,
            version=version,
            targets=targets,
            desired_since=dict.fromkeys(targets, version),
        )
        for keeper in self.keepers.values():
            at = self.now + self.rng.uniform(0, 4)
            earlier = [one for one in keeper.versions if one[0] < at]
            keeper.versions = [*earlier, (at, self.config)]

    def show_members(self, side: frozenset[VmId], *, is_cut: bool) -> None:
        """Change the live members of each node after a random delay."""
        for vm, keeper in self.keepers.items():
            live = tuple(
                other
                for other, node in self.keepers.items()
                if (other == vm or not node.is_paused)
                and not (is_cut and (other in side) != (vm in side))
            )
            at = self.now + self.rng.uniform(0, DETECT_SECONDS)
            earlier = [one for one in keeper.view.changes if one[0] < at]
            keeper.view.changes = [*earlier, (at, live)]

    def pause(self, vm: VmId) -> None:
        """Pause a node."""
        keeper = self.keepers[vm]
        if not keeper.is_paused:
            keeper.is_paused = True
            keeper.paused_at = self.now

    def resume(self, vm: VmId) -> None:
        """Resume a node; it notices the pause before anything else."""
        keeper = self.keepers[vm]
        if keeper.is_paused:
            keeper.is_paused = False
            keeper.orders.handle_pause(self.now, self.now - keeper.paused_at)

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            for engine in self.engines.values():
                engine.advance(self.now)
            for vm, keeper in self.keepers.items():
                if not keeper.is_paused:
                    self._step(vm, keeper)
            self._deliver()

    def _step(self, vm: VmId, keeper: Keeper) -> None:
        keeper.view.advance(self.now)
        while keeper.versions and keeper.versions[0][0] <= self.now:
            keeper.orders.apply_config(keeper.versions.pop(0)[1], self.now)
        list(keeper.orders.tick(self.now))
        for read in keeper.orders.list_due_reads(self.now):
            self._read(keeper, read)
        due = [action for at, action in keeper.planned if at <= self.now]
        keeper.planned = [one for one in keeper.planned if one[0] > self.now]
        for action in due:
            self._send(vm, keeper, action)

    def _read(self, keeper: Keeper, read: ReadLoad) -> None:
        report = self.engines[read.target].report()
        action = keeper.orders.handle_report(read, report, self.now)
        if action is not None:
            keeper.planned.append((self.now + STEP_SECONDS, action))

    def _send(self, vm: VmId, keeper: Keeper, action: SendOrder) -> None:
        if not keeper.orders.may_send(action):
            keeper.orders.handle_result(action, NotSent('dropped'), self.now)
            return
        engine = self.engines[action.target]
        earlier = [
            one for one in self.in_flight if one.action.target == action.target
        ]
        if not engine.checks_fence and (earlier or engine.loading):
            self.outstanding.append(f'{vm} at {self.now}')
        self.in_flight.append(
            InFlightOrder(
                vm,
                action,
                self.now + self.rng.uniform(0, ORDER_SECONDS),
                self.now + ORDER_SECONDS,
            ),
        )

    def _deliver(self) -> None:
        for sent in tuple(self.in_flight):
            keeper = self.keepers[sent.sender]
            if self.now < sent.arrives or keeper.is_paused:
                continue
            self.in_flight.remove(sent)
            result: SendResult = Unanswered('no answer in time')
            if self.now < sent.deadline:
                engine = self.engines[sent.action.target]
                result = engine.obey(sent.action.order, self.now)
            keeper.orders.handle_result(sent.action, result, self.now)


def _build_keeper(vm: VmId, vms: Sequence[VmId]) -> Keeper:
    view = View(vms)
    return Keeper(view, Orders(vm, view, Metrics()))
