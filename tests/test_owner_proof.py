"""Tests that an owner proves each beginning of a request."""

import asyncio
from typing import Any

import pytest

from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.ownership.records import Begin, RecordTable, TableLimits
from chicoryshunt.request.outcome import NoAnswer, TargetAnswer
from chicoryshunt.types import RunState, VmId
from tests.owner_fleet import RULES, FakeFleet, build_owned
from tests.virtual_loop import on_virtual_loop

_ANSWER = TargetAnswer(200, 'text/plain', b'filed')


@on_virtual_loop
async def test_request_does_not_begin_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(RecordTable, 'admit', _begin_always)
    node = FakeFleet(('a',), TableLimits()).nodes[VmId('a')]
    owned = build_owned(node.token, 'key')
    first = asyncio.ensure_future(node.calls.run(owned, RULES))
    await asyncio.sleep(1)
    second = await node.calls.run(owned, RULES)
    run = node.target.pending[0]
    run.ended.set_result(_ANSWER)
    assert await first == _ANSWER
    third = await node.calls.run(owned, RULES)
    for refused in (second, third):
        assert isinstance(refused, NoAnswer)
        assert refused.verdict.run is RunState.may_have_run
    assert node.target.runs['key'] == 1
    invariants = InvariantChecker(node.state.metrics)
    assert invariants.count_broken(Invariant.at_most_once) == 2


def _begin_always(table: RecordTable, ask: Any, now: float) -> Begin:
    table._running[ask.name] = ask
    return Begin()
