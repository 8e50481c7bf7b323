"""Tests of requests that the caller sends at most once."""

from collections.abc import Mapping
from typing import Any, cast

import pytest

from chicoryshunt.caller.answer import Answer
from chicoryshunt.caller.entries import EntryCache
from chicoryshunt.caller.once import MAX_ATTEMPTS, call_once
from chicoryshunt.connection.caller_api import (
    GRANT_HEADER,
    KEY_HEADER,
    GrantOffer,
)
from chicoryshunt.exceptions import CallError
from chicoryshunt.types import Reason, RunState
from tests.virtual_loop import run_virtual

_RAN = Answer(RunState.ran, status=200, body=b'filed')
_UNREACHABLE = Answer(RunState.not_run, status=0, retry_after=0)
_CONNECTION_LOST = Answer(RunState.may_have_run, status=0, retry_after=0)
_OWNER_UNREACHABLE = Answer(
    RunState.may_have_run,
    Reason.owner_unreachable.value,
    status=503,
)
_TIMED_OUT = Answer(
    RunState.may_have_run, Reason.target_timeout.value, status=504
)
_REFUSED_WITH_GRANT = Answer(
    RunState.not_run, retry_after=0, status=409, grant='fresh'
)
_REFUSED = Answer(RunState.not_run, retry_after=0, status=503)
_KEY_REUSED = Answer(RunState.not_run, Reason.key_reused.value, status=409)


class FakeEntryCache:
    """Cache that returns a new grant on each call."""

    def __init__(self, answers_for: int = 1000) -> None:
        self.offered = 0
        self._answers_for = answers_for

    async def get_grant(self) -> GrantOffer:
        self.offered += 1
        return GrantOffer(f'grant-{self.offered}', 'owner', 30)

    async def list_addresses(self) -> tuple[str, ...]:
        self._answers_for -= 1
        if self._answers_for < 0:
            raise CallError('no node answers')
        return ('node-1', 'node-2')

    def expire(self) -> None:
        """Do nothing, as each call returns a new grant."""


def call(*answers: Answer) -> tuple[Answer, list[tuple[str, str]]]:
    """Return the outcome and the address and grant of each attempt."""
    sent: list[tuple[str, str]] = []
    remaining = list(answers)

    async def post(address: str, headers: Mapping[str, str]) -> Answer:
        assert headers[KEY_HEADER] == 'pairing-17'
        sent.append((address, headers[GRANT_HEADER]))
        return remaining.pop(0) if len(remaining) > 1 else remaining[0]

    cache = cast(EntryCache, cast(Any, FakeEntryCache()))
    outcome = run_virtual(call_once(cache, post, 'pairing-17'))
    return outcome, sent


def test_owner_is_asked_first() -> None:
    assert call(_RAN) == (_RAN, [('owner', 'grant-1')])


def test_uncertain_request_keeps_its_grant() -> None:
    outcome, sent = call(_CONNECTION_LOST, _OWNER_UNREACHABLE, _RAN)
    assert outcome == _RAN
    assert sent == [
        ('owner', 'grant-1'),
        ('node-1', 'grant-1'),
        ('node-2', 'grant-1'),
    ]


def test_refusal_with_a_grant_replaces_the_grant() -> None:
    outcome, sent = call(_CONNECTION_LOST, _REFUSED_WITH_GRANT, _RAN)
    assert outcome == _RAN
    assert sent[-2:] == [('node-1', 'grant-1'), ('node-1', 'fresh')]


def test_owner_that_was_never_reached_is_replaced() -> None:
    outcome, sent = call(_UNREACHABLE, _RAN)
    assert outcome == _RAN
    assert sent[1][1] == 'grant-2'


def test_grant_is_not_replaced_while_uncertain() -> None:
    _, sent = call(_CONNECTION_LOST, _UNREACHABLE, _RAN)
    assert {grant for _, grant in sent} == {'grant-1'}


@pytest.mark.parametrize('answer', [_TIMED_OUT, _KEY_REUSED])
def test_final_answer_ends_the_attempts(answer: Answer) -> None:
    assert call(answer) == (answer, [('owner', 'grant-1')])


def test_refusal_leaves_the_outcome_uncertain() -> None:
    outcome, sent = call(_CONNECTION_LOST, _REFUSED)
    assert outcome.verdict is RunState.may_have_run
    assert len(sent) == MAX_ATTEMPTS


def test_refusals_alone_mean_not_run() -> None:
    outcome, _ = call(_REFUSED)
    assert outcome.verdict is RunState.not_run


@pytest.mark.parametrize(
    ('answers_for', 'run'),
    [(0, RunState.not_run), (1, RunState.may_have_run)],
)
def test_lost_fleet_leaves_the_outcome_uncertain(
    answers_for: int,
    run: RunState,
) -> None:
    async def post(address: str, headers: Mapping[str, str]) -> Answer:
        return _CONNECTION_LOST

    cache = cast(EntryCache, cast(Any, FakeEntryCache(answers_for)))
    assert run_virtual(call_once(cache, post, 'k')).verdict is run
