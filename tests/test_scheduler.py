"""Tests of admission: queueing, dispatching, refusing."""

import asyncio
from collections import Counter

import pytest

from chicoryshunt.clock import ManualClock
from chicoryshunt.journal import Journal
from chicoryshunt.limits.quotas import TargetQuotas
from chicoryshunt.metrics import Metrics
from chicoryshunt.policy.dispatcher import StopReason
from chicoryshunt.policy.slots import Headroom, LoadSnapshot, Shortage, Slot
from chicoryshunt.request.order import GenerationBody, GenerationRequest
from chicoryshunt.serving.scheduler import Permit, Scheduler
from chicoryshunt.types import (
    DataCentreId,
    ModelId,
    Reason,
    RequestId,
    RunState,
    TargetId,
    TeamId,
    VmId,
)
from chicoryshunt.verdict import Verdict
from chicoryshunt.version.config import Config
from tests.builders import build_config, take_out
from tests.virtual_loop import on_virtual_loop

_FIRST = TargetId('target-0')
_SECOND = TargetId('target-1')
_QUEUE_TIMEOUT_SECONDS = 60


class FakeSlotAllocator:
    """Slot allocator whose slots the test sets."""

    def __init__(self) -> None:
        self.slots = Counter({_FIRST: 1, _SECOND: 1})
        self.refuses = False
        self.wanted: Counter[TargetId] = Counter()
        self._loads: dict[TargetId, LoadSnapshot] = {}
        self.curves: dict[TargetId, tuple[int, ...]] = {}

    def find_headroom(self, target: TargetId, now: float) -> Headroom:
        return Headroom(self.slots[target], 100_000)

    def acquire_slot(
        self, target: TargetId, memory_tokens: int, now: float
    ) -> Slot | Shortage:
        if self.refuses or not self.slots[target]:
            return Shortage.no_lease
        self.slots[target] -= 1
        return Slot(target, 1, memory_tokens)

    def register_running(self, target: TargetId, now: float) -> Slot:
        self.slots[target] -= 1
        return Slot(target, 1, 0)

    def find_load(self, target: TargetId) -> LoadSnapshot | None:
        return self._loads.get(target)

    def report_curve(self, target: TargetId, curve: tuple[int, ...]) -> None:
        self.curves[target] = curve

    def release_slot(self, slot: Slot, now: float) -> None:
        self.slots[slot.target] += 1

    def request_slots(
        self,
        target: TargetId,
        slots: int,
        memory_tokens: int,
        now: float,
    ) -> None:
        self.wanted[target] = slots


class SchedulerHarness:
    """Scheduler with a manual clock and a fake slot allocator."""

    def __init__(self, config: Config | None = None) -> None:
        self.clock = ManualClock(100)
        self.allocator = FakeSlotAllocator()
        self.metrics = Metrics()
        self.journal = Journal(self.clock, self.metrics)
        self.scheduler = Scheduler(
            TargetQuotas(VmId('vm-1'), DataCentreId('luzon-a'), self.allocator),
            self.allocator,
            self.clock,
            self.journal,
        )
        self.scheduler.apply_config(config or build_config())
        self.disconnected = asyncio.Event()

    async def submit(self, name: str) -> 'asyncio.Task[Permit | Verdict]':
        wanted = GenerationRequest(
            RequestId(name),
            TeamId('team-0'),
            ModelId('kibitzer-llm'),
            GenerationBody('prompt'),
        )
        task = asyncio.ensure_future(
            self.scheduler.admit(wanted, self._wait_disconnected),
        )
        await settle()
        return task

    async def tick(self, seconds: float = 0.2) -> None:
        self.clock.advance(seconds)
        self.scheduler.tick(self.clock.now())
        await settle()

    async def _wait_disconnected(self) -> None:
        await self.disconnected.wait()


def get_permit(pending: 'asyncio.Task[Permit | Verdict]') -> Permit:
    """Return the permit of a finished request."""
    answer = pending.result()
    assert isinstance(answer, Permit)
    return answer


def get_refusal(pending: 'asyncio.Task[Permit | Verdict]') -> Verdict:
    """Return the refusal of a finished request."""
    answer = pending.result()
    assert isinstance(answer, Verdict)
    return answer


async def settle() -> None:
    """Let every ready task run."""
    for _ in range(8):
        await asyncio.sleep(0)


@on_virtual_loop
async def test_requests_wait_for_a_slot() -> None:
    harness = SchedulerHarness()
    pending = [await harness.submit(f'r{number}') for number in range(3)]
    permits = [get_permit(task) for task in pending[:2]]
    assert {permit.route.target for permit in permits} == {_FIRST, _SECOND}
    assert not pending[2].done()
    with harness.scheduler.hold(permits[0]):
        permits[0].stop = StopReason.ended
    await settle()
    assert get_permit(pending[2]).route.target == permits[0].route.target
    admitted = harness.journal.explain('r2')
    assert admitted is not None
    assert admitted.decisions[0].event == 'request_admitted'


@on_virtual_loop
async def test_queue_timeout_is_refused_as_not_run() -> None:
    harness = SchedulerHarness()
    harness.allocator.slots.clear()
    pending = await harness.submit('r')
    await harness.tick(_QUEUE_TIMEOUT_SECONDS)
    refusal = get_refusal(pending)
    assert refusal.run is RunState.not_run
    assert refusal.reason is Reason.queue_timeout
    assert refusal.retry_after
    assert harness.allocator.wanted[_FIRST] > 0


@on_virtual_loop
async def test_lease_lost_before_the_write_requeues() -> None:
    harness = SchedulerHarness()
    harness.allocator.refuses = True
    pending = await harness.submit('r')
    await harness.tick()
    assert not pending.done()
    harness.allocator.refuses = False
    await harness.tick()
    assert isinstance(pending.result(), Permit)


@on_virtual_loop
async def test_disconnected_caller_takes_no_slot() -> None:
    harness = SchedulerHarness()
    harness.allocator.slots.clear()
    pending = await harness.submit('r')
    harness.disconnected.set()
    await settle()
    assert get_refusal(pending).reason is Reason.cancelled
    harness.allocator.slots[_FIRST] = 1
    await harness.tick()
    assert harness.allocator.slots[_FIRST] == 1


@on_virtual_loop
async def test_lost_target_is_closed_for_five_seconds() -> None:
    harness = SchedulerHarness()
    harness.scheduler.record_target_loss(_FIRST)
    first = await harness.submit('r0')
    assert get_permit(first).route.target == _SECOND
    await harness.tick(4)
    second = await harness.submit('r1')
    assert not second.done()
    await harness.tick(1.1)
    assert get_permit(second).route.target == _FIRST


@pytest.mark.parametrize('out', ['data_centre', 'target'])
@on_virtual_loop
async def test_targets_that_are_out_get_no_requests(out: str) -> None:
    harness = SchedulerHarness(take_out(build_config(), out))
    pending = await harness.submit('r')
    await harness.tick()
    assert not pending.done()
    harness.scheduler.apply_config(build_config())
    await harness.tick()
    assert isinstance(pending.result(), Permit)


@on_virtual_loop
async def test_taken_over_slot_is_released_late() -> None:
    harness = SchedulerHarness()
    permit = get_permit(await harness.submit('r'))
    target = permit.route.target
    with harness.scheduler.hold(permit):
        permit.is_taken_over = True
    await harness.tick(4.9)
    assert harness.allocator.slots[target] == 0
    await harness.tick(0.2)
    assert harness.allocator.slots[target] == 1


@on_virtual_loop
async def test_request_of_another_node_is_counted() -> None:
    harness = SchedulerHarness()
    harness.allocator.slots[_FIRST] = 0
    with harness.scheduler.track_running(_FIRST):
        assert harness.allocator.slots[_FIRST] == -1
    assert harness.allocator.slots[_FIRST] == 0
