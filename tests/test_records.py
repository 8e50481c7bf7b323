"""Tests of the at-most-once table."""

import pytest

from chicoryshunt.ownership.grants import GRANT_LIFE_SECONDS, RequestName
from chicoryshunt.ownership.records import (
    MAX_REPLAY_BYTES,
    RECORD_SECONDS,
    Admission,
    Begin,
    Done,
    RecordTable,
    Submission,
    TableError,
    TableLimits,
    Wait,
)
from chicoryshunt.request.outcome import CallOutcome, NoAnswer, TargetAnswer
from chicoryshunt.types import Reason, RunState
from chicoryshunt.verdict import Verdict, build_uncertain

_ANSWER = TargetAnswer(200, 'text/plain', b'filed')


def build_spec(
    name: str = 'a', body: str = 'x', minted: float = 0
) -> Submission:
    return Submission(RequestName(name.encode()), body.encode(), minted)


def get_verdict(arrival: Admission) -> Verdict:
    assert isinstance(arrival, Done)
    assert isinstance(arrival.outcome, NoAnswer)
    return arrival.outcome.verdict


def run_once(
    table: RecordTable,
    ask: Submission,
    now: float = 1,
    outcome: CallOutcome = _ANSWER,
) -> None:
    assert isinstance(table.admit(ask, now), Begin)
    table.end(ask.name, outcome, now)


def test_repeat_waits_and_then_gets_the_answer() -> None:
    table = RecordTable(TableLimits())
    ask = build_spec()
    assert isinstance(table.admit(ask, 1), Begin)
    assert isinstance(table.admit(ask, 2), Wait)
    assert table.end(ask.name, _ANSWER, 3) == _ANSWER
    assert table.admit(ask, 4) == Done(_ANSWER)


@pytest.mark.parametrize('is_running', [True, False])
def test_other_request_under_the_key_is_refused(is_running: bool) -> None:
    table = RecordTable(TableLimits())
    table.admit(build_spec(), 1)
    if not is_running:
        table.end(build_spec().name, _ANSWER, 1)
    verdict = get_verdict(table.admit(build_spec(body='y'), 2))
    assert verdict.reason is Reason.key_reused
    assert verdict.run is RunState.not_run


def test_full_table_refuses_and_forgets_nothing() -> None:
    table = RecordTable(TableLimits(records=2))
    run_once(table, build_spec('a'))
    table.admit(build_spec('b'), 1)
    verdict = get_verdict(table.admit(build_spec('c'), 2))
    assert verdict.reason is Reason.table_full
    assert verdict.run is RunState.not_run
    assert table.admit(build_spec('a'), 3) == Done(_ANSWER)
    assert isinstance(table.admit(build_spec('b'), 3), Wait)


def test_bytes_are_reserved_before_a_run() -> None:
    table = RecordTable(TableLimits(table_bytes=MAX_REPLAY_BYTES * 2 - 1))
    table.admit(build_spec('a'), 1)
    verdict = get_verdict(table.admit(build_spec('b'), 1))
    assert verdict.reason is Reason.table_full
    table.end(build_spec('a').name, _ANSWER, 2)
    assert isinstance(table.admit(build_spec('b'), 2), Begin)


def test_large_answer_is_kept_as_its_digest() -> None:
    table = RecordTable(TableLimits())
    ask = build_spec()
    table.admit(ask, 1)
    large = TargetAnswer(200, 'text/plain', b'x' * (MAX_REPLAY_BYTES + 1))
    assert table.end(ask.name, large, 2) == large
    verdict = get_verdict(table.admit(ask, 3))
    assert verdict.run is RunState.ran
    assert verdict.reason is Reason.answer_too_large
    assert table.size < MAX_REPLAY_BYTES


@pytest.mark.parametrize(
    ('age', 'run'),
    [
        (GRANT_LIFE_SECONDS, RunState.not_run),
        (GRANT_LIFE_SECONDS + RECORD_SECONDS - 0.1, RunState.not_run),
        (GRANT_LIFE_SECONDS + RECORD_SECONDS, RunState.may_have_run),
    ],
)
def test_old_grant_never_begins(age: float, run: RunState) -> None:
    verdict = get_verdict(RecordTable(TableLimits()).admit(build_spec(), age))
    assert verdict.reason is Reason.grant_expired
    assert verdict.run is run


def test_missing_record_proves_while_kept() -> None:
    table = RecordTable(TableLimits())
    run_once(table, build_spec())
    moment: float = 0
    while moment < GRANT_LIFE_SECONDS + RECORD_SECONDS + 5:
        arrival = table.admit(build_spec(), moment)
        if arrival != Done(_ANSWER):
            assert get_verdict(arrival).run is RunState.may_have_run
        moment += 0.5
    assert not len(table)
    assert not table.size


def test_pause_voids_the_grants_made_before() -> None:
    table = RecordTable(TableLimits())
    run_once(table, build_spec('a'))
    table.reject_grants_before(5)
    assert table.admit(build_spec('a'), 6) == Done(_ANSWER)
    verdict = get_verdict(table.admit(build_spec('b', minted=4), 6))
    assert verdict.run is RunState.not_run
    assert isinstance(table.admit(build_spec('b', minted=5.5), 6), Begin)


def test_sealed_table_begins_nothing() -> None:
    table = RecordTable(TableLimits())
    table.admit(build_spec('a'), 1)
    table.seal()
    verdict = get_verdict(table.admit(build_spec('b'), 2))
    assert verdict.reason is Reason.draining
    with pytest.raises(TableError):
        table.list_records()
    table.end(
        build_spec('a').name, NoAnswer(build_uncertain(Reason.paused, '')), 3
    )
    assert [record.name for record in table.list_records()] == [b'a']


def test_request_ends_once() -> None:
    table = RecordTable(TableLimits())
    run_once(table, build_spec())
    with pytest.raises(TableError):
        table.end(build_spec().name, _ANSWER, 2)
