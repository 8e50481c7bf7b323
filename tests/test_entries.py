"""Tests of the address answer."""

from collections import Counter
from random import Random

from chicoryshunt.membership.entries import order_entries
from chicoryshunt.membership.roster import Roster, Update
from chicoryshunt.types import DataCentreId, Incarnation, VmId, VmState
from lab.models.network import build_vm

_CENTRE = DataCentreId('luzon-a')


def _build_roster(states: dict[str, VmState]) -> Roster:
    vms = [
        build_vm(name, 'luzon-a' if name < 'n' else 'luzon-b')
        for name in states
    ]
    roster = Roster(vms[0], Incarnation(1))
    roster.apply_vm_list(vms, 0)
    for name, state in states.items():
        roster.apply(Update(VmId(name), Incarnation(2), state), 0)
    return roster


def test_own_data_centre_comes_first() -> None:
    roster = _build_roster(
        {
            'a': VmState.live,
            'b': VmState.leaving,
            'c': VmState.gone,
            'd': VmState.live,
            'x': VmState.live,
        },
    )
    ordered = order_entries(roster, _CENTRE, Random(1))
    names = [member.published.vm for member in ordered]
    assert set(names[:2]) == {'a', 'd'}
    assert names[2:] == ['x']


def test_less_loaded_vm_is_named_first_more_often() -> None:
    roster = _build_roster(dict.fromkeys('abcd', VmState.live))
    for member in roster:
        member.load = 50 if member.published.vm == 'a' else 1
    rng = Random(3)
    firsts = Counter(
        order_entries(roster, _CENTRE, rng)[0].published.vm for _ in range(200)
    )
    assert firsts[VmId('a')] == 0
    assert len(firsts) == 3


def test_suspects_are_named_when_nobody_is_live() -> None:
    roster = _build_roster({'a': VmState.suspect, 'b': VmState.leaving})
    ordered = order_entries(roster, _CENTRE, Random(1))
    assert [member.published.vm for member in ordered] == ['a']
