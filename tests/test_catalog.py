"""What a node believes of targets, data centres and rules."""

from random import Random

from chicoryshunt.fleet.catalog import Catalog, build_gone_fact
from chicoryshunt.fleet.facts import (
    EvacuationFact,
    Revision,
    TargetFact,
    TargetPhase,
)
from chicoryshunt.types import ServiceId, TargetId
from tests.fleet_builders import HOME, build_fact, build_route, build_rules

PLAIN = ServiceId('plain')


def _list_names(catalog: Catalog) -> list[str]:
    names: list[str] = []
    for known in catalog.list_usable(PLAIN):
        assert isinstance(known.fact, TargetFact)
        names.append(known.fact.target)
    return names


def test_a_gone_target_stays_gone() -> None:
    catalog = Catalog()
    catalog.apply(build_fact(revision=1), 0, 'a')
    catalog.apply(build_gone_fact(TargetId('t1'), Revision(5)), 1, 'a')

    assert not catalog.apply(build_fact(revision=4), 2, 'b')
    assert not _list_names(catalog)


def test_a_leaving_target_gets_nothing_new() -> None:
    catalog = Catalog()
    catalog.apply(build_fact(revision=1), 0, 'a')
    catalog.apply(build_fact(revision=2, phase=TargetPhase.leaving), 1, 'a')

    assert not _list_names(catalog)
    assert [fact.target for fact in catalog.list_present()] == ['t1']


def test_a_reused_address_serves_its_new_service() -> None:
    catalog = Catalog()
    catalog.apply(build_fact(revision=1), 0, 'a')
    moved = build_fact(revision=2, service=ServiceId('other'))
    catalog.apply(moved, 1, 'a')

    assert not _list_names(catalog)
    assert catalog.list_usable(ServiceId('other'))


def test_an_evacuated_data_centre_gets_nothing() -> None:
    catalog = Catalog()
    catalog.apply(build_fact(), 0, 'a')
    catalog.apply(EvacuationFact(HOME, Revision(2), True), 1, 'a')
    assert not _list_names(catalog)

    catalog.apply(EvacuationFact(HOME, Revision(3), False), 2, 'a')
    assert _list_names(catalog) == ['t1']


def test_rules_never_fall_back() -> None:
    catalog = Catalog()
    catalog.apply_rules(build_rules(build_route(), version=7), 'a')

    assert not catalog.apply_rules(build_rules(version=6), 'b')
    assert catalog.rules_version == 7


def test_the_order_of_facts_does_not_matter() -> None:
    facts = [
        build_fact('t1', 1),
        build_fact('t2', 2),
        build_fact('t2', 3, TargetPhase.leaving),
        build_gone_fact(TargetId('t3'), Revision(4)),
    ]
    digests = set()
    for seed in range(6):
        catalog = Catalog()
        shuffled = list(facts)
        Random(seed).shuffle(shuffled)
        for fact in shuffled:
            catalog.apply(fact, 0, 'a')
        digests.add(catalog.digest)

    assert len(digests) == 1


def test_a_heartbeat_is_no_news() -> None:
    catalog = Catalog()
    heard: list[object] = []
    catalog.subscribe(heard.append)
    catalog.apply(build_fact(revision=1), 0, 'a')

    assert not catalog.apply(build_fact(revision=2), 1, 'a')
    assert len(heard) == 1
