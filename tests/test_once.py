"""Tests of a caller's requests that may not be repeated."""

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
_UNREACHED = Answer(RunState.not_run, status=0, retry_after=0)
_CUT = Answer(RunState.may_have_run, status=0, retry_after=0)
_NO_OWNER = Answer(
    RunState.may_have_run,
    Reason.owner_unreachable.value,
    status=503,
)
_LOST = Answer(RunState.may_have_run, Reason.target_timeout.value, status=504)
_CLOSED = Answer(RunState.not_run, retry_after=0, status=409, grant='fresh')
_FULL = Answer(RunState.not_run, retry_after=0, status=503)
_BAD = Answer(RunState.not_run, Reason.key_reused.value, status=409)


class FakeEntryCache:
    """Address book that offers another grant each time it is asked."""

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
        """Offer another grant in any case."""


def call(*answers: Answer) -> tuple[Answer, list[tuple[str, str]]]:
    """Return the outcome, and the address and grant of each attempt."""
    sent: list[tuple[str, str]] = []
    left = list(answers)

    async def post(address: str, headers: Mapping[str, str]) -> Answer:
        assert headers[KEY_HEADER] == 'pairing-17'
        sent.append((address, headers[GRANT_HEADER]))
        return left.pop(0) if len(left) > 1 else left[0]

    book = cast(EntryCache, cast(Any, FakeEntryCache()))
    outcome = run_virtual(call_once(book, post, 'pairing-17'))
    return outcome, sent


def test_owner_is_asked_first() -> None:
    assert call(_RAN) == (_RAN, [('owner', 'grant-1')])


def test_doubt_keeps_the_grant_and_goes_elsewhere() -> None:
    outcome, sent = call(_CUT, _NO_OWNER, _RAN)
    assert outcome == _RAN
    assert sent == [
        ('owner', 'grant-1'),
        ('node-1', 'grant-1'),
        ('node-2', 'grant-1'),
    ]


def test_closing_refusal_brings_a_fresh_grant() -> None:
    outcome, sent = call(_CUT, _CLOSED, _RAN)
    assert outcome == _RAN
    assert sent[-2:] == [('node-1', 'grant-1'), ('node-1', 'fresh')]


def test_owner_that_was_never_reached_is_replaced() -> None:
    outcome, sent = call(_UNREACHED, _RAN)
    assert outcome == _RAN
    assert sent[1][1] == 'grant-2'


def test_owner_lost_after_a_doubt_is_not_replaced() -> None:
    _, sent = call(_CUT, _UNREACHED, _RAN)
    assert {grant for _, grant in sent} == {'grant-1'}


@pytest.mark.parametrize('answer', [_LOST, _BAD])
def test_last_word_ends_it(answer: Answer) -> None:
    assert call(answer) == (answer, [('owner', 'grant-1')])


def test_refusal_does_not_clear_a_doubt() -> None:
    outcome, sent = call(_CUT, _FULL)
    assert outcome.verdict is RunState.may_have_run
    assert len(sent) == MAX_ATTEMPTS


def test_refusals_alone_stay_a_refusal() -> None:
    outcome, _ = call(_FULL)
    assert outcome.verdict is RunState.not_run


@pytest.mark.parametrize(
    ('answers_for', 'run'),
    [(0, RunState.not_run), (1, RunState.may_have_run)],
)
def test_lost_fleet_does_not_clear_a_doubt(
    answers_for: int,
    run: RunState,
) -> None:
    async def post(address: str, headers: Mapping[str, str]) -> Answer:
        return _CUT

    book = cast(EntryCache, cast(Any, FakeEntryCache(answers_for)))
    assert run_virtual(call_once(book, post, 'k')).verdict is run
