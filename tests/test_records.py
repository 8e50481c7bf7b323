"""Tests of the at-most-once table."""

import pytest

from chicoryshunt.ownership.grants import GRANT_LIFE_SECONDS, RequestName
from chicoryshunt.ownership.records import (
    MAX_REPLAY_BYTES,
    RECORD_SECONDS,
    Arrival,
    Ask,
    Begin,
    Bounds,
    Done,
    RecordTable,
    TableError,
    Wait,
)
from chicoryshunt.request.outcome import CallOutcome, NoAnswer, TargetAnswer
from chicoryshunt.types import Reason, RunState
from chicoryshunt.verdict import Verdict, doubt

_ANSWER = TargetAnswer(200, 'text/plain', b'filed')


def build_ask(name: str = 'a', body: str = 'x', minted: float = 0) -> Ask:
    return Ask(RequestName(name.encode()), body.encode(), minted)


def get_verdict(arrival: Arrival) -> Verdict:
    assert isinstance(arrival, Done)
    assert isinstance(arrival.outcome, NoAnswer)
    return arrival.outcome.verdict


def run_once(
    table: RecordTable,
    ask: Ask,
    now: float = 1,
    outcome: CallOutcome = _ANSWER,
) -> None:
    assert isinstance(table.arrive(ask, now), Begin)
    table.end(ask.name, outcome, now)


def test_repeat_waits_and_then_gets_the_answer() -> None:
    table = RecordTable(Bounds())
    ask = build_ask()
    assert isinstance(table.arrive(ask, 1), Begin)
    assert isinstance(table.arrive(ask, 2), Wait)
    assert table.end(ask.name, _ANSWER, 3) == _ANSWER
    assert table.arrive(ask, 4) == Done(_ANSWER)


@pytest.mark.parametrize('is_running', [True, False])
def test_other_request_under_the_key_is_refused(is_running: bool) -> None:
    table = RecordTable(Bounds())
    table.arrive(build_ask(), 1)
    if not is_running:
        table.end(build_ask().name, _ANSWER, 1)
    verdict = get_verdict(table.arrive(build_ask(body='y'), 2))
    assert verdict.reason is Reason.key_reused
    assert verdict.run is RunState.not_run


def test_full_table_refuses_and_forgets_nothing() -> None:
    table = RecordTable(Bounds(records=2))
    run_once(table, build_ask('a'))
    table.arrive(build_ask('b'), 1)
    verdict = get_verdict(table.arrive(build_ask('c'), 2))
    assert verdict.reason is Reason.table_full
    assert verdict.run is RunState.not_run
    assert table.arrive(build_ask('a'), 3) == Done(_ANSWER)
    assert isinstance(table.arrive(build_ask('b'), 3), Wait)


def test_bytes_are_reserved_before_a_run() -> None:
    table = RecordTable(Bounds(table_bytes=MAX_REPLAY_BYTES * 2 - 1))
    table.arrive(build_ask('a'), 1)
    verdict = get_verdict(table.arrive(build_ask('b'), 1))
    assert verdict.reason is Reason.table_full
    table.end(build_ask('a').name, _ANSWER, 2)
    assert isinstance(table.arrive(build_ask('b'), 2), Begin)


def test_large_answer_is_recorded_as_its_digest() -> None:
    table = RecordTable(Bounds())
    ask = build_ask()
    table.arrive(ask, 1)
    large = TargetAnswer(200, 'text/plain', b'x' * (MAX_REPLAY_BYTES + 1))
    assert table.end(ask.name, large, 2) == large
    verdict = get_verdict(table.arrive(ask, 3))
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
    verdict = get_verdict(RecordTable(Bounds()).arrive(build_ask(), age))
    assert verdict.reason is Reason.grant_expired
    assert verdict.run is run


def test_ran_request_is_never_reported_not_run() -> None:
    table = RecordTable(Bounds())
    run_once(table, build_ask())
    now: float = 0
    while now < GRANT_LIFE_SECONDS + RECORD_SECONDS + 5:
        arrival = table.arrive(build_ask(), now)
        if arrival != Done(_ANSWER):
            assert get_verdict(arrival).run is RunState.may_have_run
        now += 0.5
    assert not len(table)
    assert not table.size


def test_pause_rejects_grants_issued_before() -> None:
    table = RecordTable(Bounds())
    run_once(table, build_ask('a'))
    table.void_grants(5)
    assert table.arrive(build_ask('a'), 6) == Done(_ANSWER)
    verdict = get_verdict(table.arrive(build_ask('b', minted=4), 6))
    assert verdict.run is RunState.not_run
    assert isinstance(table.arrive(build_ask('b', minted=5.5), 6), Begin)


def test_sealed_table_begins_nothing() -> None:
    table = RecordTable(Bounds())
    table.arrive(build_ask('a'), 1)
    table.seal()
    verdict = get_verdict(table.arrive(build_ask('b'), 2))
    assert verdict.reason is Reason.draining
    with pytest.raises(TableError):
        table.list_records()
    table.end(build_ask('a').name, NoAnswer(doubt(Reason.paused, '')), 3)
    assert [record.name for record in table.list_records()] == [b'a']


def test_request_ends_once() -> None:
    table = RecordTable(Bounds())
    run_once(table, build_ask())
    with pytest.raises(TableError):
        table.end(build_ask().name, _ANSWER, 2)
