"""Targets, evacuations and rules that this node believes in."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

import msgspec
import xxhash

from chicoryshunt.events import log_event
from chicoryshunt.fleet.facts import (
    EvacuationFact,
    Fact,
    Revision,
    TargetFact,
    TargetPhase,
)
from chicoryshunt.rules.model import Rules
from chicoryshunt.rules.routing import RuleIndex
from chicoryshunt.types import ConfigVersion, DataCentreId, ServiceId, TargetId

# Facts about targets that left are kept, so that an older fact which
# arrives late does not bring the target back.
_MOST_GONE = 4096

# Source of what this node read itself; what others told has their name.
PLATFORM_SOURCE = 'store'

FactKey = tuple[str, str]
Follower = Callable[[Fact], None]


@dataclass(frozen=True, slots=True)
class KnownFact:
    """A fact with the moment it was learned, in monotonic seconds."""

    fact: Fact
    received: float


class Catalog:
    """The highest revision heard of each fact, whoever told it."""

    def __init__(self) -> None:
        """Start without any knowledge."""
        self.rules: RuleIndex | None = None
        self.rules_source = ''
        self._facts: dict[FactKey, KnownFact] = {}
        self._targets: dict[ServiceId, dict[TargetId, KnownFact]] = {}
        self._evacuated: frozenset[DataCentreId] = frozenset()
        self._digest: int | None = None
        self._followers: list[Follower] = []

    @property
    def rules_version(self) -> ConfigVersion:
        """Return the version in force, 0 when there is none."""
        if self.rules is None:
            return ConfigVersion(0)
        return self.rules.rules.version

    @property
    def digest(self) -> int:
        """Return a number that is equal where the same facts are held."""
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def subscribe(self, notify: Follower) -> None:
        """Call ``notify(fact)`` after each fact that is news."""
        self._followers.append(notify)

    def apply_rules(self, rules: Rules, source: str) -> bool:
        """Put a newer version in force; an older one never returns."""
        if rules.version <= self.rules_version:
            return False
        log_event(
            'rules_in_force',
            version=rules.version,
            before=self.rules_version,
            source=source,
            routes=len(rules.routes),
        )
        self.rules = RuleIndex(rules)
        self.rules_source = source
        return True

    def apply(self, fact: Fact, now: float, source: str) -> bool:
        """Believe a fact of a higher revision; say whether it is news."""
        key = get_key(fact)
        known = self._facts.get(key)
        if known is not None and known.fact.revision >= fact.revision:
            return False
        if known is not None:
            fact = _keep_place(fact, known.fact)
        is_news = known is None or known.fact.content != fact.content
        self._store(key, KnownFact(fact, now))
        if is_news:
            self._digest = None
            _log_news(fact, source)
            for notify in self._followers:
                notify(fact)
        return is_news

    def find(self, target: TargetId) -> TargetFact | None:
        """Return what is believed of a target, also of one that left."""
        known = self._facts.get(('target', target))
        if known is None or not isinstance(known.fact, TargetFact):
            return None
        return known.fact

    def list_usable(self, service: ServiceId) -> list[KnownFact]:
        """Return the targets of a service that may get new work."""
        return [
            known
            for known in self._targets.get(service, {}).values()
            if is_usable(known.fact, self._evacuated)
        ]

    def list_present(self) -> Iterator[TargetFact]:
        """Return the targets that have not left."""
        for targets in self._targets.values():
            for known in targets.values():
                if isinstance(known.fact, TargetFact):
                    yield known.fact

    def list_facts(self) -> list[Fact]:
        """Return every fact that others need, those of the gone included."""
        return [known.fact for known in self._facts.values()]

    def _store(self, key: FactKey, known: KnownFact) -> None:
        self._facts[key] = known
        match known.fact:
            case TargetFact() as fact:
                self._drop_target(fact.target)
                if fact.phase is not TargetPhase.gone:
                    targets = self._targets.setdefault(fact.service, {})
                    targets[fact.target] = known
            case EvacuationFact():
                self._evacuated = frozenset(
                    _list_evacuated(one.fact for one in self._facts.values()),
                )
        self._forget_oldest()

    def _drop_target(self, target: TargetId) -> None:
        for targets in self._targets.values():
            targets.pop(target, None)

    def _forget_oldest(self) -> None:
        if len(self._facts) <= _MOST_GONE:
            return
        for key, known in tuple(self._facts.items()):
            if _is_gone(known.fact):
                self._facts.pop(key)
                return

    def _compute_digest(self) -> int:
        digest = 0
        for key, known in self._facts.items():
            if not _is_gone(known.fact):
                text = repr((key, known.fact.content)).encode()
                digest ^= xxhash.xxh3_64_intdigest(text)
        return digest


def get_key(fact: Fact) -> FactKey:
    """Return what a fact is about."""
    match fact:
        case TargetFact():
            return 'target', fact.target
        case EvacuationFact():
            return 'evacuation', fact.data_centre


def is_usable(fact: Fact, evacuated: frozenset[DataCentreId]) -> bool:
    """Say whether a target may get new work."""
    return (
        isinstance(fact, TargetFact)
        and fact.phase is TargetPhase.ready
        and fact.data_centre not in evacuated
    )


def build_gone_fact(target: TargetId, revision: Revision) -> TargetFact:
    """Return the fact that a target has left."""
    return TargetFact(target, revision, TargetPhase.gone)


def _keep_place(fact: Fact, known: Fact) -> Fact:
    """Return a fact that says where a target was that has left.

    Its runs go on for a while, and moving them depends on its data centre.
    """
    if not isinstance(fact, TargetFact) or not isinstance(known, TargetFact):
        return fact
    if fact.data_centre:
        return fact
    return msgspec.structs.replace(
        fact,
        service=known.service,
        address=known.address,
        data_centre=known.data_centre,
    )


def _is_gone(fact: Fact) -> bool:
    match fact:
        case TargetFact():
            return fact.phase is TargetPhase.gone
        case EvacuationFact():
            return not fact.is_ordered


def _list_evacuated(facts: Iterable[Fact]) -> Iterator[DataCentreId]:
    for fact in facts:
        if isinstance(fact, EvacuationFact) and fact.is_ordered:
            yield fact.data_centre


def _log_news(fact: Fact, source: str) -> None:
    match fact:
        case TargetFact():
            log_event(
                'target_phase',
                target=fact.target,
                phase=fact.phase.value,
                service=fact.service,
                address=fact.address,
                cold_seconds=fact.cold_seconds,
                revision=fact.revision,
                source=source,
            )
        case EvacuationFact():
            log_event(
                'evacuation',
                data_centre=fact.data_centre,
                ordered=fact.is_ordered,
                revision=fact.revision,
                source=source,
            )
