"""Known facts about targets and data centres, and the rules in force."""

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

# Facts about removed targets are kept, so that an older fact that arrives
# late does not restore the target. Beyond this many facts, the oldest facts
# about removed targets are dropped.
_MAX_FACTS = 4096

# Source of facts that this node read itself; others have a node's name.
PLATFORM_SOURCE = 'store'

FactKey = tuple[str, str]
Subscriber = Callable[[Fact], None]


@dataclass(frozen=True, slots=True)
class KnownFact:
    """A fact and the monotonic time in seconds when it was received."""

    fact: Fact
    received: float


class Catalog:
    """Tracks the highest revision of each fact, from any source."""

    def __init__(self) -> None:
        """Start without facts and rules."""
        self.rules: RuleIndex | None = None
        self.rules_source = ''
        self._facts: dict[FactKey, KnownFact] = {}
        self._targets: dict[ServiceId, dict[TargetId, KnownFact]] = {}
        self._evacuated: frozenset[DataCentreId] = frozenset()
        self._digest: int | None = None
        self._subscribers: list[Subscriber] = []

    @property
    def rules_version(self) -> ConfigVersion:
        """Return the version of the rules in force, 0 if there are none."""
        if self.rules is None:
            return ConfigVersion(0)
        return self.rules.rules.version

    @property
    def digest(self) -> int:
        """Return a digest that is equal on nodes with the same facts."""
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def subscribe(self, notify: Subscriber) -> None:
        """Call ``notify(fact)`` after each fact with changed content."""
        self._subscribers.append(notify)

    def apply_rules(self, rules: Rules, source: str) -> bool:
        """Put rules in force if they are newer; return whether they were."""
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
        """Store a fact of a higher revision; return if its content changed."""
        key = get_key(fact)
        known = self._facts.get(key)
        if known is not None and known.fact.revision >= fact.revision:
            return False
        if known is not None:
            fact = _keep_location(fact, known.fact)
        is_change = known is None or known.fact.content != fact.content
        self._store(key, KnownFact(fact, now))
        if is_change:
            self._digest = None
            _log_change(fact, source)
            for notify in self._subscribers:
                notify(fact)
        return is_change

    def find(self, target: TargetId) -> TargetFact | None:
        """Return the fact about a target, also about a removed one."""
        known = self._facts.get(('target', target))
        if known is None or not isinstance(known.fact, TargetFact):
            return None
        return known.fact

    def list_usable(self, service: ServiceId) -> list[KnownFact]:
        """Return the targets of a service that may get new requests."""
        return [
            known
            for known in self._targets.get(service, {}).values()
            if is_usable(known.fact, self._evacuated)
        ]

    def list_present(self) -> Iterator[TargetFact]:
        """Yield the targets that are not gone."""
        for targets in self._targets.values():
            for known in targets.values():
                if isinstance(known.fact, TargetFact):
                    yield known.fact

    def list_facts(self) -> list[Fact]:
        """Return all facts, including those about removed targets."""
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
        self._drop_oldest_gone()

    def _drop_target(self, target: TargetId) -> None:
        for targets in self._targets.values():
            targets.pop(target, None)

    def _drop_oldest_gone(self) -> None:
        if len(self._facts) <= _MAX_FACTS:
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
    """Return the kind and name of the subject of a fact."""
    match fact:
        case TargetFact():
            return 'target', fact.target
        case EvacuationFact():
            return 'evacuation', fact.data_centre


def is_usable(fact: Fact, evacuated: frozenset[DataCentreId]) -> bool:
    """Return whether a fact is about a target that may get requests."""
    return (
        isinstance(fact, TargetFact)
        and fact.phase is TargetPhase.ready
        and fact.data_centre not in evacuated
    )


def build_gone_fact(target: TargetId, revision: Revision) -> TargetFact:
    """Return the fact that a target is gone."""
    return TargetFact(target, revision, TargetPhase.gone)


def _keep_location(fact: Fact, known: Fact) -> Fact:
    """Return the fact with the last known location of a removed target.

    Its runs continue for a while, and moving them needs its data centre.
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


def _log_change(fact: Fact, source: str) -> None:
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
