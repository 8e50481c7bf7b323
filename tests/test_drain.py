"""Tests of a planned stop."""

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

_LEAVER = VmId('a')
_OTHER = VmId('b')
_THIRD = VmId('c')
_ANSWER = TargetAnswer(200, 'text/plain', b'filed')


class Leaving:
    """A fleet of two in which the first node leaves."""

    def __init__(self, *vms: str) -> None:
        self.fleet = FakeFleet(vms or ('a', 'b'), TableLimits())
        self.node = self.fleet.nodes[_LEAVER]
        self.drain = Drain()
        self.metrics = Metrics()
        self.announced = 0
        self.departure = GracefulShutdown(
            self.drain,
            self.node.owner,
            self.announce,
            Transfer(
                FakePeers(self.fleet, _LEAVER),
                self.fleet,
                self.node.clock,
                self.metrics,
            ),
            self.metrics,
        )

    def announce(self) -> None:
        self.announced += 1
        self.fleet.leaving.add(_LEAVER)

    def count_handoffs(self, state: str) -> float:
        return self.metrics.get('handoffs', state=state)

    @property
    def state(self) -> str:
        return self.drain.state.value

    def end_run(self, vm: VmId) -> None:
        target = self.fleet.nodes[vm].target
        run = target.pending.pop()
        run.ended.set_result(_ANSWER)

    async def file(self, vm: VmId, token: str, key: str = 'k') -> Any:
        calls = self.fleet.nodes[vm].calls
        return await calls.run(build_owned(token, key), RULES)


async def settle() -> None:
    await asyncio.sleep(1)


@on_virtual_loop
async def test_what_runs_is_not_cut() -> None:
    leaving = Leaving()
    with leaving.drain.track():
        leaving.departure.start('SIGTERM')
        await asyncio.sleep(3600)
        assert leaving.state == 'draining'
        leaving.departure.start('SIGTERM')
        await settle()
        assert leaving.state == 'draining'
    await leaving.departure.wait()
    assert leaving.state == 'done'
    assert leaving.announced == 1


@on_virtual_loop
async def test_leaving_owner_ends_what_it_began() -> None:
    leaving = Leaving()
    token = leaving.node.token
    filing = asyncio.ensure_future(leaving.file(_LEAVER, token))
    await settle()
    leaving.departure.start('SIGTERM')
    await settle()
    refusal = await leaving.file(_LEAVER, token, 'other')
    assert refusal.verdict.reason is Reason.draining
    leaving.end_run(_LEAVER)
    assert await filing == _ANSWER


@on_virtual_loop
async def test_successor_knows_what_ran() -> None:
    leaving = Leaving()
    token = leaving.node.token
    filing = asyncio.ensure_future(leaving.file(_LEAVER, token))
    await settle()
    leaving.end_run(_LEAVER)
    await filing
    leaving.departure.start('SIGTERM')
    await leaving.departure.wait()
    leaving.fleet.kill(_LEAVER)
    assert await leaving.file(_OTHER, token) == _ANSWER
    unknown = await leaving.file(_OTHER, token, 'other')
    assert unknown.is_final


@on_virtual_loop
async def test_owned_run_outlives_its_caller() -> None:
    leaving = Leaving()
    filing = asyncio.ensure_future(leaving.file(_LEAVER, leaving.node.token))
    await settle()
    filing.cancel()
    leaving.departure.start('SIGTERM')
    await settle()
    assert leaving.state == 'draining'
    leaving.end_run(_LEAVER)
    await leaving.departure.wait()
    assert leaving.count_handoffs('taken') == 1


@on_virtual_loop
async def test_late_request_is_waited_for_too() -> None:
    leaving = Leaving()
    filing = asyncio.ensure_future(leaving.file(_LEAVER, leaving.node.token))
    await settle()
    leaving.departure.start('SIGTERM')
    await settle()
    with leaving.drain.track():
        leaving.end_run(_LEAVER)
        await settle()
        assert leaving.state == 'draining'
    await leaving.departure.wait()
    assert await filing == _ANSWER


@pytest.mark.parametrize('cut', [Cut.before, Cut.after])
def test_cut_handoff_ends_the_stop_all_the_same(cut: Cut) -> None:
    async def check() -> None:
        leaving = Leaving()
        leaving.fleet.cut = cut
        leaving.departure.start('SIGTERM')
        await leaving.departure.wait()
        assert leaving.count_handoffs('lost') == 1

    on_virtual_loop(check)()


@on_virtual_loop
async def test_last_node_leaves_without_a_successor() -> None:
    leaving = Leaving('a')
    leaving.departure.start('vm_list')
    await leaving.departure.wait()
    assert leaving.count_handoffs('lost') == 1


@on_virtual_loop
async def test_leaving_node_grants_and_holds_nothing() -> None:
    leaving = Leaving()
    offer: Callable[[str], GrantOffer | None] = leaving.node.owner.offer_grant
    assert offer('x') is not None
    leaving.departure.start('SIGTERM')
    await leaving.departure.wait()
    assert offer('x') is None
    assert leaving.node.owner.held_tables.is_closed


@on_virtual_loop
async def test_held_tables_go_on_to_the_next_successor() -> None:
    leaving = Leaving('a', 'b', 'c')
    token = leaving.fleet.nodes[_OTHER].token
    filing = asyncio.ensure_future(leaving.file(_OTHER, token))
    await settle()
    leaving.end_run(_OTHER)
    await filing
    owner = leaving.fleet.nodes[_OTHER].owner
    owner.seal()
    sealed = owner.list_sealed()[0]
    leaving.fleet.leaving.update((_OTHER, _THIRD))
    transfer = Transfer(
        FakePeers(leaving.fleet, _OTHER),
        leaving.fleet,
        leaving.fleet.nodes[_OTHER].clock,
        Metrics(),
    )
    handoff = await transfer.hand_off(sealed)
    assert handoff.successor == _LEAVER
    leaving.fleet.kill(_OTHER)
    leaving.fleet.leaving.clear()
    leaving.departure.start('SIGTERM')
    await leaving.departure.wait()
    assert leaving.count_handoffs('taken') == 2
    leaving.fleet.kill(_LEAVER)
    assert await leaving.file(_THIRD, token) == _ANSWER


@on_virtual_loop
async def test_busy_node_does_not_leave(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leaving = Leaving()
    wait = GracefulShutdown._wait_idle
    calls: list[GracefulShutdown] = []

    async def wait_late(departure: GracefulShutdown) -> None:
        calls.append(departure)
        if len(calls) > 2:
            await wait(departure)

    monkeypatch.setattr(GracefulShutdown, '_wait_idle', wait_late)
    with leaving.drain.track():
        leaving.departure.start('SIGTERM')
        await asyncio.sleep(60)
        assert leaving.state == 'handing_off'
    await leaving.departure.wait()
    assert (
        InvariantChecker(leaving.metrics).count_broken(Invariant.graceful_stop)
        == 1
    )
