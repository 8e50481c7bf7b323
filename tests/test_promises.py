"""Tests that each invariant counted by the trials can fail."""

import msgspec
import pytest

from chicoryshunt.invariants import Invariant
from lab.loads.ledger import Record
from lab.standins.runs import Run, RunLedger
from lab.trials.promises import Evidence, Outage, Versions, count_promises

_RECORD = Record(
    'g-1',
    'generation',
    'club-0',
    100,
    1,
    'ran',
    ending='stop',
    tokens=3,
    expected=3,
)


def build_evidence() -> Evidence:
    """Return the evidence of a trial in which every invariant held."""
    return Evidence(
        records=[_RECORD],
        engines={'engine': RunLedger([Run('g-1', 100)], peak=1)},
        services={'service': RunLedger([Run('f-1', 100)], peak=1)},
        versions=[Versions('vm-1', (0, 1, 1, 2))],
        limits={'engine': 1, 'service': 1},
        outages=[Outage('engine', 96, 200)],
        leavings=[Outage('service', 96, 200)],
        graceful=True,
        exits={'vm-1': 0},
    )


def find_broken(evidence: Evidence) -> set[Invariant]:
    """Return the invariants that were violated."""
    return {one.promise for one in count_promises(evidence) if one.broken}


def test_nothing_is_broken() -> None:
    evidence = build_evidence()
    counts = count_promises(evidence)
    assert not find_broken(evidence)
    assert {one.promise for one in counts} == set(Invariant)


@pytest.mark.parametrize(
    ('promise', 'changes'),
    [
        (Invariant.token_once, {'exact': False}),
        (Invariant.whole_answer, {'tokens': 2}),
        (Invariant.true_refusal, {'verdict': 'not_run', 'ending': ''}),
        (Invariant.graceful_stop, {'ending': 'incomplete'}),
    ],
)
def test_record_breaks_a_promise(
    promise: Invariant,
    changes: dict[str, object],
) -> None:
    evidence = build_evidence()
    evidence.records = [msgspec.structs.replace(_RECORD, **changes)]
    assert promise in find_broken(evidence)


def test_second_run_is_found() -> None:
    evidence = build_evidence()
    again = RunLedger([Run('f-1', 90), Run('f-1', 91)], peak=1)
    evidence.services = {'service': again}
    assert find_broken(evidence) == {Invariant.at_most_once}


@pytest.mark.parametrize(
    ('promise', 'field'),
    [
        (Invariant.data_centre_out, 'outages'),
        (Invariant.target_leaving, 'leavings'),
    ],
)
def test_late_work_is_found(promise: Invariant, field: str) -> None:
    evidence = build_evidence()
    setattr(evidence, field, [Outage('engine', 94, 101)])
    assert promise in find_broken(evidence)


def test_peak_exit_and_version_are_found() -> None:
    evidence = build_evidence()
    evidence.limits = {'engine': 0, 'service': 1}
    evidence.exits = {'vm-1': 1}
    evidence.versions = [Versions('vm-1', (2, 1))]
    evidence.broken_inside['token_once'] = 1
    assert find_broken(evidence) == {
        Invariant.start_limit,
        Invariant.graceful_stop,
        Invariant.version_rises,
        Invariant.token_once,
    }
