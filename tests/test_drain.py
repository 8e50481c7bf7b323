"""Tests of the graceful shutdown."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from chicoryshunt.connection.caller_api import GrantOffer
from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.metrics import Metrics
from chicoryshunt.ownership.drain import (
    Drain,
    GracefulShutdown,
    Transfer,
)
from chicoryshunt.ownership.records import TableLimits
from chicoryshunt.request.outcome import TargetAnswer
from chicoryshunt.types import Reason, VmId
from tests.owner_fleet import (
    RULES,
    Cut,
    FakeFleet,
    FakePeers,
    build_owned,
)
from tests.virtual_loop import on_virtual_loop

_LEAVING_VM = VmId('a')
_OTHER_VM = VmId('b')
_THIRD_VM = VmId('c')
_ANSWER = TargetAnswer(200, 'text/plain', b'filed')


class ShutdownSetup:
    """Fleet in which the first node shuts down."""

    def __init__(self, *vms: str) -> None:
        self.fleet = FakeFleet(vms or ('a', 'b'), TableLimits())
        self.node = self.fleet.nodes[_LEAVING_VM]
        self.drain = Drain()
        self.metrics = Metrics()
        self.announced = 0
        self.shutdown = GracefulShutdown(
            self.drain,
            self.node.owner,
            self.announce,
            Transfer(
                FakePeers(self.fleet, _LEAVING_VM),
                self.fleet,
                self.node.clock,
                self.metrics,
            ),
            self.metrics,
        )

    def announce(self) -> None:
        self.announced += 1
        self.fleet.leaving.add(_LEAVING_VM)

    def count_handoffs(self, state: str) -> float:
        return self.metrics.get('handoffs', state=state)

    @property
    def state(self) -> str:
        return self.drain.state.value

    def end_run(self, vm: VmId) -> None:
        target = self.fleet.nodes[vm].target
        run = target.pending.pop()
        run.ended.set_result(_ANSWER)

    async def submit(self, vm: VmId, token: str, key: str = 'k') -> Any:
        calls = self.fleet.nodes[vm].calls
        return await calls.run(build_owned(token, key), RULES)


async def settle() -> None:
    await asyncio.sleep(1)


@on_virtual_loop
async def test_running_request_is_not_interrupted() -> None:
    setup = ShutdownSetup()
    with setup.drain.track():
        setup.shutdown.start('SIGTERM')
        await asyncio.sleep(3600)
        assert setup.state == 'draining'
        setup.shutdown.start('SIGTERM')
        await settle()
        assert setup.state == 'draining'
    await setup.shutdown.wait()
    assert setup.state == 'done'
    assert setup.announced == 1


@on_virtual_loop
async def test_leaving_owner_finishes_its_requests() -> None:
    setup = ShutdownSetup()
    token = setup.node.token
    call = asyncio.ensure_future(setup.submit(_LEAVING_VM, token))
    await settle()
    setup.shutdown.start('SIGTERM')
    await settle()
    refusal = await setup.submit(_LEAVING_VM, token, 'other')
    assert refusal.verdict.reason is Reason.draining
    setup.end_run(_LEAVING_VM)
    assert await call == _ANSWER


@on_virtual_loop
async def test_successor_answers_from_the_records() -> None:
    setup = ShutdownSetup()
    token = setup.node.token
    call = asyncio.ensure_future(setup.submit(_LEAVING_VM, token))
    await settle()
    setup.end_run(_LEAVING_VM)
    await call
    setup.shutdown.start('SIGTERM')
    await setup.shutdown.wait()
    setup.fleet.kill(_LEAVING_VM)
    assert await setup.submit(_OTHER_VM, token) == _ANSWER
    unknown = await setup.submit(_OTHER_VM, token, 'other')
    assert unknown.is_final


@on_virtual_loop
async def test_owned_run_outlives_its_caller() -> None:
    setup = ShutdownSetup()
    call = asyncio.ensure_future(setup.submit(_LEAVING_VM, setup.node.token))
    await settle()
    call.cancel()
    setup.shutdown.start('SIGTERM')
    await settle()
    assert setup.state == 'draining'
    setup.end_run(_LEAVING_VM)
    await setup.shutdown.wait()
    assert setup.count_handoffs('taken') == 1


@on_virtual_loop
async def test_shutdown_waits_for_a_late_request() -> None:
    setup = ShutdownSetup()
    call = asyncio.ensure_future(setup.submit(_LEAVING_VM, setup.node.token))
    await settle()
    setup.shutdown.start('SIGTERM')
    await settle()
    with setup.drain.track():
        setup.end_run(_LEAVING_VM)
        await settle()
        assert setup.state == 'draining'
    await setup.shutdown.wait()
    assert await call == _ANSWER


@pytest.mark.parametrize('cut', [Cut.before, Cut.after])
def test_failed_handoff_does_not_block_shutdown(cut: Cut) -> None:
    async def check() -> None:
        setup = ShutdownSetup()
        setup.fleet.cut = cut
        setup.shutdown.start('SIGTERM')
        await setup.shutdown.wait()
        assert setup.count_handoffs('lost') == 1

    on_virtual_loop(check)()


@on_virtual_loop
async def test_last_node_stops_without_a_successor() -> None:
    setup = ShutdownSetup('a')
    setup.shutdown.start('vm_list')
    await setup.shutdown.wait()
    assert setup.count_handoffs('lost') == 1


@on_virtual_loop
async def test_leaving_node_issues_and_accepts_nothing() -> None:
    setup = ShutdownSetup()
    offer: Callable[[str], GrantOffer | None] = setup.node.owner.offer_grant
    assert offer('x') is not None
    setup.shutdown.start('SIGTERM')
    await setup.shutdown.wait()
    assert offer('x') is None
    assert setup.node.owner.held_tables.is_closed


@on_virtual_loop
async def test_held_tables_are_handed_on() -> None:
    setup = ShutdownSetup('a', 'b', 'c')
    token = setup.fleet.nodes[_OTHER_VM].token
    call = asyncio.ensure_future(setup.submit(_OTHER_VM, token))
    await settle()
    setup.end_run(_OTHER_VM)
    await call
    owner = setup.fleet.nodes[_OTHER_VM].owner
    owner.seal()
    sealed = owner.list_sealed()[0]
    setup.fleet.leaving.update((_OTHER_VM, _THIRD_VM))
    transfer = Transfer(
        FakePeers(setup.fleet, _OTHER_VM),
        setup.fleet,
        setup.fleet.nodes[_OTHER_VM].clock,
        Metrics(),
    )
    handoff = await transfer.hand_off(sealed)
    assert handoff.successor == _LEAVING_VM
    setup.fleet.kill(_OTHER_VM)
    setup.fleet.leaving.clear()
    setup.shutdown.start('SIGTERM')
    await setup.shutdown.wait()
    assert setup.count_handoffs('taken') == 2
    setup.fleet.kill(_LEAVING_VM)
    assert await setup.submit(_THIRD_VM, token) == _ANSWER


@on_virtual_loop
async def test_busy_node_does_not_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    setup = ShutdownSetup()
    wait = GracefulShutdown._wait_idle
    calls: list[GracefulShutdown] = []

    async def wait_late(shutdown: GracefulShutdown) -> None:
        calls.append(shutdown)
        if len(calls) > 2:
            await wait(shutdown)

    monkeypatch.setattr(GracefulShutdown, '_wait_idle', wait_late)
    with setup.drain.track():
        setup.shutdown.start('SIGTERM')
        await asyncio.sleep(60)
        assert setup.state == 'handing_off'
    await setup.shutdown.wait()
    assert (
        InvariantChecker(setup.metrics).count_broken(Invariant.graceful_stop)
        == 1
    )
