"""Tests that each run-time check of an invariant can fail."""

import asyncio
from typing import Any

import pytest

from chicoryshunt.configuration.configuration import Configuration
from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.limits.held_lease import HeldLease
from chicoryshunt.limits.ledger import Ledger
from chicoryshunt.metrics import Metrics
from chicoryshunt.policy.slots import Shortage
from chicoryshunt.request.assembler import Arrival, Assembler
from chicoryshunt.request.call import CallRunner, _Attempts
from chicoryshunt.request.outcome import NoAnswer, TargetAnswer
from chicoryshunt.request.sequence import TokenSequence, check_end
from chicoryshunt.types import (
    ConfigVersion,
    GenerationId,
    IdempotencyKey,
    Reason,
    RunState,
    VmId,
)
from chicoryshunt.verdict import build_uncertain, refuse
from chicoryshunt.version.replica import (
    Replica,
    Segment,
    Snapshot,
    UpdateResult,
)
from lab.models.lease_fleet import TARGET, LeaseFleet
from tests.builders import build_config, build_patch
from tests.owner_fleet import RULES, build_call
from tests.relay_fakes import (
    ORDER,
    OWN,
    Act,
    FakeEngine,
    Rig,
    frame_end,
    frame_tokens,
)
from tests.test_call import FakeRetries, FakeSender, FakeTargets
from tests.virtual_loop import on_virtual_loop

_ANSWER = TargetAnswer(200, 'text/plain', b'filed')


def count_broken(metrics: Metrics, promise: Invariant) -> int:
    """Return how often an invariant was violated."""
    return InvariantChecker(metrics).count_broken(promise)


def test_broken_promise_is_counted() -> None:
    invariants = InvariantChecker(Metrics())
    assert invariants.check(Invariant.token_once, holds=True)
    assert not invariants.check(Invariant.token_once, holds=False, index=3)
    invariants.record(Invariant.token_once, 5, 2)
    assert invariants.count_checks(Invariant.token_once) == 7
    assert invariants.count_broken(Invariant.token_once) == 3


@on_virtual_loop
async def test_token_is_not_passed_on_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Assembler, 'accept', lambda *_: Arrival.fresh)
    twice = frame_tokens(0, 4) * 2
    rig = Rig(FakeEngine((twice, frame_end(4))))
    outcome = await rig.generation.start(ORDER)
    assert rig.caller.tokens == ('t0', 't1', 't2', 't3')
    assert outcome.verdict is not None
    assert outcome.verdict.reason is Reason.engine_garbled
    assert rig.invariants.count_broken(Invariant.token_once) == 1


@on_virtual_loop
async def test_generations_are_not_spliced() -> None:
    rig = Rig(FakeEngine((frame_tokens(0, 4), Act.cut)))
    await rig.generation.start(ORDER)
    again = Rig(FakeEngine((frame_tokens(0, 4), frame_end(4))))
    again.generation._sink = rig.sink
    rig.sink._generation = GenerationId('another')
    outcome = await again.generation.start(ORDER)
    assert outcome.verdict is not None
    assert outcome.verdict.reason is Reason.internal_error
    assert len(rig.caller.tokens) == 4
    assert again.invariants.count_broken(Invariant.token_once) == 1


@on_virtual_loop
async def test_short_answer_is_not_called_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    accept = Assembler.accept

    def accept_any_end(assembler: Assembler, event: Any) -> Arrival:
        if event.end:
            return assembler._accept_end(event)
        return accept(assembler, event)

    monkeypatch.setattr(Assembler, 'accept', accept_any_end)
    rig = Rig(FakeEngine((frame_tokens(0, 4), frame_end(9))))
    outcome = await rig.generation.start(ORDER)
    assert outcome.verdict is not None
    assert outcome.verdict.reason is Reason.internal_error
    assert rig.invariants.count_broken(Invariant.whole_answer) == 1


def test_refusal_after_tokens_is_corrected() -> None:
    invariants = InvariantChecker(Metrics())
    passed = TokenSequence()
    passed.accept(0, 2)
    refusal = refuse(Reason.target_unreachable, 'refused')
    ended = check_end(invariants, Assembler(OWN), passed, refusal)
    assert ended is not None
    assert ended.run is RunState.ran
    assert invariants.count_broken(Invariant.true_refusal) == 1


def test_uncertain_outcome_is_not_a_refusal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    refusal = refuse(Reason.no_target, 'no target is left')
    monkeypatch.setattr(_Attempts, 'choose_verdict', lambda *_: refusal)
    metrics = Metrics()
    runner = CallRunner(
        FakeTargets(1),
        FakeSender([NoAnswer(build_uncertain(Reason.target_timeout, 'slow'))]),
        FakeRetries(9),
        InvariantChecker(metrics),
    )
    ended = asyncio.run(runner.run(build_call(), IdempotencyKey('k'), RULES))
    assert isinstance(ended, NoAnswer)
    assert ended.verdict.run is RunState.may_have_run
    assert count_broken(metrics, Invariant.true_refusal) == 1


def test_slot_is_not_taken_without_a_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = LeaseFleet(count=3)
    fleet.start_all()
    node = fleet.nodes[VmId('vm-0')]
    leases = node.leases
    now = fleet.clock.now()
    leases.handle_pause(now, 9)
    monkeypatch.setattr(
        HeldLease,
        'acquire_slot',
        lambda held, tokens, _: held.usage.take(TARGET, tokens),
    )
    assert leases.held.acquire_slot(TARGET, 0, now) is Shortage.no_lease
    assert not leases.held.running
    assert node.invariants.count_broken(Invariant.start_limit) == 1


def test_keeper_does_not_grant_above_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Ledger, 'compute_capacity', lambda *_: 1000)
    monkeypatch.setattr(Ledger, '_find_bound', lambda *_: 1000)
    fleet = LeaseFleet(count=3)
    fleet.start_all()
    for _ in range(20):
        for vm in fleet.nodes:
            fleet.fill(vm, 100)
        fleet.run(0.5)
    assert fleet.count_leased() <= fleet.fakes[TARGET].limit
    broken = [
        node.invariants.count_broken(Invariant.start_limit)
        for node in fleet.nodes.values()
    ]
    assert any(broken)


def test_version_that_falls_is_not_announced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    metrics = Metrics()
    configuration = Configuration(metrics)
    base = build_config()
    replica = Replica()
    replica.adopt(Snapshot(base, (), ()))
    replica.extend(Segment(base.position, base.digest, (build_patch(1),)))
    configuration.start_from(replica)
    announced: list[ConfigVersion] = []
    configuration.subscribe(lambda config: announced.append(config.version))

    def adopt_any(own: Replica, snapshot: Snapshot) -> UpdateResult:
        own.config = snapshot.config
        return UpdateResult.advanced

    monkeypatch.setattr(Replica, 'adopt', adopt_any)
    configuration.adopt(Snapshot(base, (), ()), 'vm-2')
    assert announced == [2]
    assert count_broken(metrics, Invariant.version_rises) == 1
