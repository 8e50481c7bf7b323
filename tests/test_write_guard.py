"""Tests of the last check before work is written to a target."""

import asyncio

import msgspec
import pytest

from chicoryshunt.clock import ManualClock
from chicoryshunt.configuration.write_guard import GRACE_SECONDS, WriteGuard
from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.limits.router import Route
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.pause import PauseDetector
from chicoryshunt.request.call import CallRunner
from chicoryshunt.request.outcome import NoAnswer
from chicoryshunt.serving.calls import ServiceTargets
from chicoryshunt.serving.state import NodeState
from chicoryshunt.settings import parse_settings
from chicoryshunt.types import (
    IdempotencyKey,
    Reason,
    RunState,
    ServiceId,
    TargetId,
)
from chicoryshunt.verdict import refuse
from chicoryshunt.version.config import Config, Target
from tests.builders import (
    build_config,
    build_settings_text,
    build_state,
    put_in_force,
    take_out,
)
from tests.owner_fleet import RULES, build_call
from tests.test_call import FakeRetries, FakeSender, FakeTargets

_TARGET = TargetId('target-0')
_SERVICE = ServiceId('arbiter-api')


def _build_config() -> Config:
    """Return a configuration with a target of a plain service."""
    config = build_config()
    centre = config.targets[_TARGET].data_centre
    target = Target('127.0.0.1:7100', centre, 1, service=_SERVICE)
    targets = config.targets | {TargetId('service-0'): target}
    return msgspec.structs.replace(config, targets=targets)


def _choose(config: Config) -> tuple[NodeState, ServiceTargets, Route]:
    state = build_state(parse_settings(build_settings_text(), 'settings'))
    put_in_force(state, config)
    targets = ServiceTargets(state)
    chosen = targets.choose(_SERVICE, ())
    assert isinstance(chosen, Route)
    return state, targets, chosen


@pytest.mark.parametrize(
    ('kind', 'invariant'),
    [
        ('data_centre', Invariant.data_centre_out),
        ('target', Invariant.target_leaving),
    ],
)
def test_late_write_breaks_an_invariant(
    kind: str, invariant: Invariant
) -> None:
    clock = ManualClock(100)
    metrics = Metrics()
    count = InvariantChecker(metrics).count_broken
    guard = WriteGuard(PauseDetector(clock), metrics)
    guard.apply_config(build_config())
    assert guard.may_write(_TARGET)
    guard.apply_config(take_out(build_config(), kind))
    assert [guard.may_write(_TARGET), count(invariant)] == [False, 0]
    clock.advance(2 * GRACE_SECONDS)
    guard.apply_config(take_out(build_config(), kind))
    assert [guard.may_write(_TARGET), count(invariant)] == [False, 1]
    guard.apply_config(build_config())
    assert guard.may_write(_TARGET)


def test_unknown_target_is_not_written_to() -> None:
    guard = WriteGuard(PauseDetector(ManualClock()), Metrics())
    guard.apply_config(build_config())
    assert not guard.may_write(TargetId('absent'))


def test_call_without_a_lease_is_not_written() -> None:
    _, targets, chosen = _choose(_build_config())
    with targets.hold(chosen) as first, targets.hold(chosen) as second:
        assert first is None
        assert second is not None
        assert second.run is RunState.not_run


def test_call_to_target_taken_out_is_not_written() -> None:
    state, targets, chosen = _choose(_build_config())
    state.guard.apply_config(take_out(_build_config(), 'target'))
    with targets.hold(chosen) as refusal:
        assert refusal is not None
        assert refusal.reason is Reason.no_target


def test_refused_call_is_not_sent() -> None:
    refusal = refuse(Reason.overloaded, 'no lease')
    sender = FakeSender([])
    runner = CallRunner(
        FakeTargets(1, refusals={TargetId('t0'): refusal}),
        sender,
        FakeRetries(0),
        InvariantChecker(Metrics()),
    )
    ended = asyncio.run(runner.run(build_call(), IdempotencyKey('k'), RULES))
    assert ended == NoAnswer(refusal)
    assert not sender.addresses
