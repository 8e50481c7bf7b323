"""Tests of the hand-off, with a failure at each of its steps."""

import itertools
from enum import Enum

import pytest

from chicoryshunt.ownership.grants import (
    GRANT_LIFE_SECONDS,
    OwnerId,
    RequestName,
)
from chicoryshunt.ownership.handoff import (
    MAX_FAILURES,
    Handoff,
    HandoffState,
    SealedRecords,
)
from chicoryshunt.ownership.held_tables import HeldTables, PartAnswer
from chicoryshunt.ownership.records import RECORD_SECONDS, Record, Submission
from chicoryshunt.ownership.succession import rank_successors
from chicoryshunt.request.outcome import NoAnswer, TargetAnswer
from chicoryshunt.types import DataCentreId, Incarnation, RunState, VmId

_OWNER = OwnerId(VmId('a'), DataCentreId('luzon-a'), Incarnation(1))
_NOW = 1000.0
_RECORDS = 3


class Transmission(Enum):
    """Outcome of sending one part."""

    arrives = 'arrives'
    lost_before = 'lost_before'
    lost_after = 'lost_after'
    receiver_restarts = 'receiver_restarts'


_ENOUGH = tuple(itertools.repeat(Transmission.arrives, 2 * _RECORDS))


class FakeMembers:
    """Live VMs by data centre."""

    def __init__(self, **places: str) -> None:
        self._places = places

    def list_live(self, data_centre: DataCentreId | None = None) -> list[VmId]:
        return [
            VmId(vm)
            for vm, place in self._places.items()
            if data_centre in {None, place}
        ]

    @property
    def published(self) -> list[VmId]:
        return self.list_live()


def build_sealed() -> SealedRecords:
    records = tuple(
        Record(
            RequestName(b'%d' % number),
            b'x',
            TargetAnswer(200, 'text/plain', b'filed %d' % number),
            _NOW + RECORD_SECONDS,
        )
        for number in range(_RECORDS)
    )
    return SealedRecords(_OWNER, b'key', records)


def build_handoff(*successors: str) -> Handoff:
    vms = [VmId(vm) for vm in successors]
    return Handoff(build_sealed(), vms, part_bytes=1)


def build_submission(number: int, minted: float = _NOW) -> Submission:
    return Submission(RequestName(b'%d' % number), b'x', minted)


def send(
    handoff: Handoff, tables: HeldTables, transmission: Transmission
) -> HeldTables:
    """Send one part; return the receiver's tables afterwards."""
    if transmission is Transmission.receiver_restarts:
        tables = HeldTables()
    if transmission is Transmission.lost_before:
        handoff.accept_failure()
        return tables
    answer = tables.receive(handoff.build_part(_NOW), _NOW)
    if transmission is Transmission.lost_after:
        handoff.accept_failure()
    else:
        handoff.accept_answer(answer)
    return tables


@pytest.mark.parametrize(
    'transmissions',
    tuple(itertools.product(Transmission, repeat=_RECORDS)),
    ids=lambda transmissions: '-'.join(
        transmission.value for transmission in transmissions
    ),
)
def test_losses_leave_all_of_a_table_or_nothing(
    transmissions: tuple[Transmission, ...],
) -> None:
    handoff = build_handoff('b', 'c')
    receivers = {VmId('b'): HeldTables(), VmId('c'): HeldTables()}
    for transmission in (*transmissions, *_ENOUGH):
        if handoff.state is HandoffState.sending:
            to = handoff.successor
            receivers[to] = send(handoff, receivers[to], transmission)
            for tables in receivers.values():
                check_tables(tables)
    assert handoff.state is HandoffState.taken
    assert receivers[handoff.successor].find(_OWNER) is not None


def check_tables(tables: HeldTables) -> None:
    """Check that a table that is found has every record."""
    table = tables.find(_OWNER)
    if table is not None:
        for number in range(_RECORDS):
            answer = table.answer(build_submission(number), _NOW)
            assert isinstance(answer, TargetAnswer)


def test_incomplete_table_is_not_used() -> None:
    tables = HeldTables()
    send(build_handoff('b'), tables, Transmission.arrives)
    assert tables.find(_OWNER) is None


def test_dead_successor_is_followed_by_the_next() -> None:
    handoff = build_handoff('b', 'c')
    for _ in range(MAX_FAILURES):
        assert handoff.successor == 'b'
        handoff.accept_failure()
    assert handoff.successor == 'c'
    for _ in range(MAX_FAILURES):
        handoff.accept_failure()
    assert handoff.state is HandoffState.lost


def test_restarting_successor_is_given_up() -> None:
    handoff = build_handoff('b')
    for _ in range(MAX_FAILURES * _RECORDS):
        send(handoff, HeldTables(), Transmission.arrives)
    assert handoff.state is HandoffState.lost


def test_leaving_or_full_successor_refuses() -> None:
    leaving = HeldTables()
    leaving.is_closed = True
    for tables in (leaving, HeldTables(max_bytes=1)):
        handoff = build_handoff('b')
        send(handoff, tables, Transmission.arrives)
        assert handoff.state is HandoffState.lost
        assert not tables.size


def test_holder_begins_nothing() -> None:
    tables = HeldTables()
    handoff = build_handoff('b')
    for _ in range(_RECORDS):
        send(handoff, tables, Transmission.arrives)
    table = tables.find(_OWNER)
    assert table is not None
    unknown = table.answer(build_submission(9), _NOW + 1)
    assert isinstance(unknown, NoAnswer)
    assert unknown.is_final
    old = build_submission(9, _NOW - GRANT_LIFE_SECONDS - RECORD_SECONDS)
    forgotten = table.answer(old, _NOW)
    assert isinstance(forgotten, NoAnswer)
    assert forgotten.verdict.run is RunState.may_have_run


def test_grant_age_follows_the_owners_clock() -> None:
    tables = HeldTables()
    handoff = Handoff(SealedRecords(_OWNER, b'key', ()), [VmId('b')])
    assert tables.receive(handoff.build_part(_NOW), 5) == PartAnswer(True)
    table = tables.find(_OWNER)
    assert table is not None
    limit = GRANT_LIFE_SECONDS + RECORD_SECONDS
    for age, run in ((1, RunState.not_run), (limit, RunState.may_have_run)):
        outcome = table.answer(build_submission(0, _NOW - age), 5)
        assert isinstance(outcome, NoAnswer)
        assert outcome.verdict.run is run


def test_table_expires_with_its_grants() -> None:
    tables = HeldTables()
    send(build_handoff('b'), tables, Transmission.arrives)
    tables.expire(_NOW + GRANT_LIFE_SECONDS + RECORD_SECONDS)
    assert not tables.size


def test_successors_begin_in_the_data_centre() -> None:
    members = FakeMembers(a='luzon-a', b='luzon-b', c='luzon-a', d='luzon-b')
    ranked = rank_successors(_OWNER, members)
    assert ranked[0] == 'c'
    assert set(ranked) == {'b', 'c', 'd'}
    assert not rank_successors(_OWNER, FakeMembers(a='luzon-a'))
