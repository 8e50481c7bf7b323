"""Tests of calls to plain services and their verdicts."""

import asyncio
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any, cast

import pytest
from twisted.internet.protocol import Factory, Protocol

from chicoryshunt.invariants import InvariantChecker
from chicoryshunt.limits.router import Route
from chicoryshunt.metrics import Metrics
from chicoryshunt.request.call import (
    CallRules,
    CallRunner,
    PlainCall,
    TargetSender,
)
from chicoryshunt.request.outcome import CallOutcome, NoAnswer, TargetAnswer
from chicoryshunt.types import (
    IdempotencyKey,
    Reason,
    RunState,
    ServiceId,
    TargetId,
    TeamId,
)
from chicoryshunt.verdict import Verdict, build_uncertain, refuse
from tests.owner_fleet import build_call
from tests.reactor import listen, run_on_reactor

_KEY = IdempotencyKey('pairing-17')
_ANSWER = TargetAnswer(200, 'text/plain', b'filed')
_UNREACHED = NoAnswer(refuse(Reason.target_unreachable, 'refused'))
_BROKEN = NoAnswer(build_uncertain(Reason.target_unreachable, 'cut'))
_ONCE = CallRules(1, is_repeatable=False, answer_bytes=1000)
_REPEATABLE = CallRules(1, is_repeatable=True, answer_bytes=1000)


@dataclass
class FakeTargets:
    """Chooses targets in a fixed order."""

    count: int
    held: int = 0
    refusals: dict[TargetId, Verdict] = field(default_factory=dict)

    def choose(
        self,
        service: ServiceId,
        tried: Collection[TargetId],
    ) -> Route | Verdict:
        if len(tried) >= self.count:
            return refuse(Reason.no_target, 'no target is left')
        return Route(TargetId(f't{len(tried)}'), f'host-{len(tried)}')

    @contextmanager
    def hold(self, chosen: Any) -> Iterator[Verdict | None]:
        self.held += 1
        yield self.refusals.get(chosen.target)
        self.held -= 1


@dataclass
class FakeSender:
    """Returns the given outcomes, one for each attempt."""

    outcomes: list[CallOutcome]
    addresses: list[str] = field(default_factory=list)

    async def send(
        self,
        address: str,
        call: PlainCall,
        key: IdempotencyKey,
        rules: CallRules,
    ) -> CallOutcome:
        self.addresses.append(address)
        return self.outcomes[len(self.addresses) - 1]


@dataclass
class FakeRetries:
    """Allows a fixed number of retries."""

    remaining: int
    first_tries: int = 0

    def record_first(self, team: TeamId) -> None:
        self.first_tries += 1

    def may_retry(self, team: TeamId) -> bool:
        self.remaining -= 1
        return self.remaining >= 0


def run_fake(
    rules: CallRules,
    *outcomes: CallOutcome,
    retries: int = 9,
) -> tuple[CallOutcome, int]:
    """Return the outcome and the number of targets that were called."""
    sender = FakeSender(list(outcomes))
    budget = FakeRetries(retries)
    targets = FakeTargets(len(outcomes))
    runner = CallRunner(targets, sender, budget, InvariantChecker(Metrics()))
    outcome = asyncio.run(runner.run(build_call(), _KEY, rules))
    assert not targets.held
    assert budget.first_tries == 1
    return outcome, len(sender.addresses)


def test_unsent_call_is_retried_on_another_target() -> None:
    assert run_fake(_ONCE, _UNREACHED, _ANSWER) == (_ANSWER, 2)


def test_uncertain_attempt_ends_unrepeatable_call() -> None:
    assert run_fake(_ONCE, _BROKEN, _ANSWER) == (_BROKEN, 1)
    assert run_fake(_ONCE, _UNREACHED, _BROKEN, _ANSWER) == (_BROKEN, 2)


def test_uncertain_repeatable_call_is_retried() -> None:
    assert run_fake(_REPEATABLE, _BROKEN, _ANSWER) == (_ANSWER, 2)


def test_uncertain_attempt_outranks_refusals() -> None:
    assert run_fake(_REPEATABLE, _BROKEN, _UNREACHED) == (_BROKEN, 2)
    assert run_fake(_ONCE, _UNREACHED, _UNREACHED) == (_UNREACHED, 2)


def test_retry_needs_budget() -> None:
    outcome = run_fake(_ONCE, _UNREACHED, _ANSWER, retries=0)
    assert outcome == (_UNREACHED, 1)


def test_no_target_is_a_refusal() -> None:
    outcome, addresses = run_fake(_ONCE)
    assert isinstance(outcome, NoAnswer)
    assert outcome.verdict.reason is Reason.no_target
    assert not addresses


class ScriptedTarget(Protocol):
    """Sends given bytes, then closes the connection or keeps it open."""

    def __init__(self, script: bytes, closes: bool) -> None:
        self._script = script
        self._closes = closes

    def dataReceived(self, data: bytes) -> None:
        transport = cast(Any, self.transport)
        transport.write(self._script)
        self._script = b''
        if self._closes:
            transport.loseConnection()


def build_response(status: bytes, body: bytes, length: int = 0) -> bytes:
    size = length or len(body)
    return b'HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s' % (status, size, body)


async def call_scripted(script: bytes, closes: bool) -> CallOutcome:
    factory = Factory.forProtocol(lambda: ScriptedTarget(script, closes))
    rules = CallRules(0.3, is_repeatable=False, answer_bytes=1000)
    async with listen(factory) as address:
        return await TargetSender().send(address, build_call(), _KEY, rules)


@pytest.mark.parametrize(
    ('script', 'closes', 'run', 'reason'),
    [
        (b'', True, RunState.may_have_run, Reason.target_unreachable),
        (b'', False, RunState.may_have_run, Reason.target_timeout),
        (
            build_response(b'200 OK', b'half', 9),
            True,
            RunState.may_have_run,
            Reason.target_unreachable,
        ),
        (
            build_response(b'200 OK', b'half', 9),
            False,
            RunState.may_have_run,
            Reason.target_timeout,
        ),
        (
            build_response(b'200 OK', b'x' * 1001),
            False,
            RunState.may_have_run,
            Reason.target_unreachable,
        ),
        (
            b'HTTP/1.1 200 OK\r\n\r\nhalf',
            True,
            RunState.may_have_run,
            Reason.target_unreachable,
        ),
        (
            build_response(
                b'503 Busy',
                b'{"accepted": false, "reason": "full"}',
            ),
            False,
            RunState.not_run,
            Reason.target_refused,
        ),
    ],
)
def test_verdict_on_what_the_target_does(
    script: bytes,
    closes: bool,
    run: RunState,
    reason: Reason,
) -> None:
    outcome = run_on_reactor(call_scripted(script, closes))
    assert isinstance(outcome, NoAnswer)
    assert outcome.verdict.run is run
    assert outcome.verdict.reason is reason


@pytest.mark.parametrize(
    ('status', 'body'),
    [
        (b'503 Busy', b'{"reason": "database is down"}'),
        (b'200 OK', b'{"accepted": false, "reason": "two boards"}'),
        (b'500 Oops', b'not JSON'),
    ],
)
def test_other_error_responses_are_passed_on(
    status: bytes, body: bytes
) -> None:
    outcome = run_on_reactor(call_scripted(build_response(status, body), False))
    assert isinstance(outcome, TargetAnswer)
    assert outcome.body == body


def test_unsent_call_is_a_refusal() -> None:
    async def ask() -> CallOutcome:
        async with listen(Factory.forProtocol(Protocol)) as address:
            closed = address
        return await TargetSender().send(closed, build_call(), _KEY, _ONCE)

    outcome = run_on_reactor(ask())
    assert isinstance(outcome, NoAnswer)
    assert outcome.verdict.run is RunState.not_run


class ClosingTarget(Protocol):
    """Answers the first request of a connection and closes on the second."""

    is_used = False

    def dataReceived(self, data: bytes) -> None:
        transport = cast(Any, self.transport)
        if self.is_used:
            transport.loseConnection()
        else:
            transport.write(build_response(b'200 OK', b'filed'))
        self.is_used = True


def test_closed_idle_connection_is_not_reused() -> None:
    async def ask() -> list[CallOutcome]:
        async with listen(Factory.forProtocol(ClosingTarget)) as address:
            sender = TargetSender()
            return [
                await sender.send(address, build_call(), _KEY, _ONCE)
                for _ in range(5)
            ]

    for outcome in run_on_reactor(ask()):
        assert isinstance(outcome, TargetAnswer)
