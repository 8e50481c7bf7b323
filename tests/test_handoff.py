"""Tests of the hand-off, cut at each of its steps."""

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

_ORIGIN = OwnerId(VmId('a'), DataCentreId('luzon-a'), Incarnation(1))
_NOW = 1000.0
_RECORDS = 3


class Fate(Enum):
    """What becomes of one part."""

    arrives = 'arrives'
    lost_before = 'lost_before'
    lost_after = 'lost_after'
    receiver_restarts = 'receiver_restarts'


_ENOUGH = tuple(itertools.repeat(Fate.arrives, 2 * _RECORDS))


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
    return SealedRecords(_ORIGIN, b'key', records)


def build_handoff(*successors: str) -> Handoff:
    vms = [VmId(vm) for vm in successors]
    return Handoff(build_sealed(), vms, part_bytes=1)


def build_spec(number: int, minted: float = _NOW) -> Submission:
    return Submission(RequestName(b'%d' % number), b'x', minted)


def send(handoff: Handoff, holdings: HeldTables, fate: Fate) -> HeldTables:
    """Send one part; return the receiver's holdings afterwards."""
    if fate is Fate.receiver_restarts:
        holdings = HeldTables()
    if fate is Fate.lost_before:
        handoff.accept_failure()
        return holdings
    answer = holdings.receive(handoff.build_part(_NOW), _NOW)
    if fate is Fate.lost_after:
        handoff.accept_failure()
    else:
        handoff.accept_answer(answer)
    return holdings


@pytest.mark.parametrize(
    'fates',
    tuple(itertools.product(Fate, repeat=_RECORDS)),
    ids=lambda fates: '-'.join(fate.value for fate in fates),
)
def test_every_cut_ends_with_all_or_nothing(
    fates: tuple[Fate, ...],
) -> None:
    handoff = build_handoff('b', 'c')
    held = {VmId('b'): HeldTables(), VmId('c'): HeldTables()}
    for fate in (*fates, *_ENOUGH):
        if handoff.state is HandoffState.sending:
            to = handoff.successor
            held[to] = send(handoff, held[to], fate)
            for holdings in held.values():
                check_holdings(holdings)
    assert handoff.state is HandoffState.taken
    assert held[handoff.successor].find(_ORIGIN) is not None


def check_holdings(holdings: HeldTables) -> None:
    """A table that answers has every record."""
    table = holdings.find(_ORIGIN)
    if table is not None:
        for number in range(_RECORDS):
            answer = table.answer(build_spec(number), _NOW)
            assert isinstance(answer, TargetAnswer)


def test_part_of_a_table_proves_nothing() -> None:
    holdings = HeldTables()
    send(build_handoff('b'), holdings, Fate.arrives)
    assert holdings.find(_ORIGIN) is None


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
        send(handoff, HeldTables(), Fate.arrives)
    assert handoff.state is HandoffState.lost


def test_leaving_or_full_successor_refuses() -> None:
    leaving = HeldTables()
    leaving.is_closed = True
    for holdings in (leaving, HeldTables(max_bytes=1)):
        handoff = build_handoff('b')
        send(handoff, holdings, Fate.arrives)
        assert handoff.state is HandoffState.lost
        assert not holdings.size


def test_holder_begins_nothing() -> None:
    holdings = HeldTables()
    handoff = build_handoff('b')
    for _ in range(_RECORDS):
        send(handoff, holdings, Fate.arrives)
    table = holdings.find(_ORIGIN)
    assert table is not None
    unknown = table.answer(build_spec(9), _NOW + 1)
    assert isinstance(unknown, NoAnswer)
    assert unknown.is_final
    old = build_spec(9, _NOW - GRANT_LIFE_SECONDS - RECORD_SECONDS)
    forgotten = table.answer(old, _NOW)
    assert isinstance(forgotten, NoAnswer)
    assert forgotten.verdict.run is RunState.may_have_run


def test_age_is_judged_by_the_owners_clock() -> None:
    holdings = HeldTables()
    handoff = Handoff(SealedRecords(_ORIGIN, b'key', ()), [VmId('b')])
    assert holdings.receive(handoff.build_part(_NOW), 5) == PartAnswer(True)
    table = holdings.find(_ORIGIN)
    assert table is not None
    limit = GRANT_LIFE_SECONDS + RECORD_SECONDS
    for age, run in ((1, RunState.not_run), (limit, RunState.may_have_run)):
        outcome = table.answer(build_spec(0, _NOW - age), 5)
        assert isinstance(outcome, NoAnswer)
        assert outcome.verdict.run is run


def test_table_is_dropped_with_its_grants() -> None:
    holdings = HeldTables()
    send(build_handoff('b'), holdings, Fate.arrives)
    holdings.expire(_NOW + GRANT_LIFE_SECONDS + RECORD_SECONDS)
    assert not holdings.size


def test_successors_are_near_live_and_others() -> None:
    members = FakeMembers(a='luzon-a', b='luzon-b', c='luzon-a', d='luzon-b')
    ranked = rank_successors(_ORIGIN, members)
    assert ranked[0] == 'c'
    assert set(ranked) == {'b', 'c', 'd'}
    assert not rank_successors(_ORIGIN, FakeMembers(a='luzon-a'))
