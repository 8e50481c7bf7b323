"""Distributes facts that a few nodes read from the platform to all."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from chicoryshunt.events import log_event
from chicoryshunt.fleet.broadcast import Broadcast
from chicoryshunt.fleet.catalog import Catalog
from chicoryshunt.fleet.facts import Fact
from chicoryshunt.fleet.messages import Beacon, FactNews, FactRequest
from chicoryshunt.membership.membership import Membership
from chicoryshunt.membership.rendezvous import rank_vms
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.nodes.packing import pack
from chicoryshunt.types import ConfigVersion, VmId

# One of two readers in different data centres may fail without a gap.
_READERS = 2
_BEACON_INTERVAL_SECONDS = 0.5
# A beacon may get lost without another node replacing its reader.
_READER_TIMEOUT_SECONDS = 1.6
# Each next rank waits longer, so that not all nodes take over at once.
_RANK_DELAY_SECONDS = 0.1
# No node takes over from failing readers while another one got an answer this
# recently: the answers that its beacons report are up to a second old.
_FRESH_SECONDS = 1.1
_MAX_RANK_DELAY_SECONDS = 2.0
# When the platform refuses the readers, this many other nodes try at short
# intervals: it is unlikely to refuse all of them unless it is down.
_QUICK_RANKS = 8
_LATE_RANK_DELAY_SECONDS = 1.0
# A node that has just started learns in this time whether there are others.
_SETTLING_SECONDS = 0.3
# A node that took over keeps reading, so that readers do not alternate.
_TAKEOVER_SECONDS = 6.0
_REQUEST_INTERVAL_SECONDS = 0.6
# A reader without an answer for this long sees an outage; a watch is answered
# within half of it, whether or not there is a change.
_OUTAGE_SECONDS = 1.0
# Nodes offer new rules to each other; after this time a reader is asked.
_OFFER_TIMEOUT_SECONDS = 0.4
# After this many requests a node reads the platform itself.
_REQUESTS_BEFORE_READ = 3


class ReaderRole(Enum):
    """Whether a node reads the platform, and why."""

    none = 'none'
    regular = 'regular'
    takeover = 'takeover'
    uncertain = 'uncertain'


NewerRulesSubscriber = Callable[[VmId, ConfigVersion], None]


@dataclass(slots=True)
class _Mismatch:
    """Requests for facts since the catalogs were last equal."""

    requests: int = 0
    next_request: float = 0


class CatalogSync:
    """Core that keeps the catalogs of all nodes equal."""

    message_types = (Beacon, FactNews, FactRequest)

    def __init__(
        self,
        catalog: Catalog,
        membership: Membership,
        broadcast: Broadcast,
        now: float,
    ) -> None:
        """Start without an answer of the platform."""
        self._catalog = catalog
        self._membership = membership
        self._broadcast = broadcast
        self._last_success = float('-inf')
        self._failing: set[VmId] = set()
        self._have_readers_failed = False
        self._started = now
        self._next_beacon = now
        self._takeover_until = float('-inf')
        self._mismatch = _Mismatch()
        self._behind_since: float | None = None
        self._role = ReaderRole.none
        self._ranked: list[VmId] = []
        self._ranked_version = -1
        self._newer_rules_subscribers: list[NewerRulesSubscriber] = []
        self.needs_full_read = True

    def on_rules_behind(self, notify: NewerRulesSubscriber) -> None:
        """Call ``notify(vm, version)`` when a node has newer rules."""
        self._newer_rules_subscribers.append(notify)

    def record_success(self, now: float) -> None:
        """Record that the platform answered this node."""
        self._last_success = max(self._last_success, now)
        self._failing.discard(self._membership.own)

    def record_failure(self, now: float) -> None:
        """Record a failed read; the next tick reports the first one."""
        if self._membership.own not in self._failing:
            self._next_beacon = now
        self._failing.add(self._membership.own)

    def measure_age(self, now: float) -> float:
        """Return the seconds since the last successful read of any node."""
        return now - self._last_success

    def sees_outage(self, now: float) -> bool:
        """Return whether the platform has stopped answering the readers."""
        if self._have_readers_failed or self._role is not ReaderRole.none:
            return self.measure_age(now) > _OUTAGE_SECONDS
        return self.measure_age(now) > _READER_TIMEOUT_SECONDS

    def decide_role(self, now: float) -> ReaderRole:
        """Return whether this node has to read the platform, and why."""
        role = self._choose_role(now)
        if role is not self._role:
            log_event(
                'reading_duty',
                duty=role.value,
                before=self._role.value,
                age_seconds=min(self.measure_age(now), now - self._started),
            )
            self._role = role
        return role

    def publish(self, facts: Sequence[Fact]) -> Iterator[Send]:
        """Return the messages that send facts to all other nodes."""
        for part in _split(facts):
            yield from self._broadcast.send_to_all(part)

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Handle beacons and facts, and answer requests for facts."""
        match message:
            case Beacon():
                yield from self._handle_beacon(sender, message, now)
            case FactNews(facts):
                for fact in facts:
                    self._catalog.apply(fact, now, sender)
            case FactRequest():
                for part in _split(self._catalog.list_facts()):
                    yield Send(sender, part)

    def tick(self, now: float) -> Iterator[Send]:
        """Send a beacon when it is due, while this node reads."""
        if now < self._next_beacon or self._role is ReaderRole.none:
            return
        self._next_beacon = now + _BEACON_INTERVAL_SECONDS
        beacon = Beacon(
            self._catalog.digest,
            self._catalog.rules_version,
            self.measure_age(now),
            self._membership.own in self._failing,
        )
        yield from self._broadcast.send_to_all(beacon)

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Add the pause to the age of the facts, and read them again."""
        self._last_success -= paused_seconds
        self.needs_full_read = True

    def _choose_role(self, now: float) -> ReaderRole:
        if self.needs_full_read:
            return ReaderRole.uncertain
        if not self._is_settled(now):
            return ReaderRole.none
        ranked = self._rank_readers()
        rank = ranked.index(self._membership.own)
        if rank < _READERS:
            return ReaderRole.regular
        if self._must_take_over(ranked[:_READERS], rank, now):
            self._takeover_until = now + _TAKEOVER_SECONDS
        return (
            ReaderRole.takeover
            if now < self._takeover_until
            else ReaderRole.none
        )

    def _is_settled(self, now: float) -> bool:
        """Return whether this node knows enough others to rank them.

        Load pattern: hundreds of nodes start together, and each would read
        until it has heard of those that rank before it.
        """
        if self._membership.roster.published_count <= 1:
            return now - self._started >= _SETTLING_SECONDS
        return self._membership.is_confirmed(now)

    def _must_take_over(
        self,
        readers: Sequence[VmId],
        rank: int,
        now: float,
    ) -> bool:
        """Return whether this node has to read instead of the readers.

        Readers report when the platform does not answer them; if they send
        nothing at all, this node waits longer.
        """
        position = rank - _READERS
        age = self.measure_age(now)
        self._have_readers_failed = self._failing.issuperset(readers)
        if self._have_readers_failed:
            return age > _FRESH_SECONDS + _compute_refused_delay(position)
        delay = min(position * _RANK_DELAY_SECONDS, _MAX_RANK_DELAY_SECONDS)
        return age > _READER_TIMEOUT_SECONDS + delay

    def _rank_readers(self) -> list[VmId]:
        """Return the nodes as they rank, until one of them changes."""
        version = self._membership.roster.version
        if self._ranked_version != version:
            self._ranked = self._compute_ranks()
            self._ranked_version = version
        return self._ranked

    def _compute_ranks(self) -> list[VmId]:
        roster = self._membership.roster
        serving = set(roster.list_serving()) | {self._membership.own}
        ranked = rank_vms('platform-reader', serving)
        first = roster.find(ranked[0])
        if first is None:
            return ranked
        others = roster.list_serving(first.published.data_centre)
        remote = next((vm for vm in ranked if vm not in others), None)
        if remote is not None:
            ranked.remove(remote)
            ranked.insert(1, remote)
        return ranked

    def _handle_beacon(
        self,
        sender: VmId,
        beacon: Beacon,
        now: float,
    ) -> Iterator[Send]:
        if beacon.is_failing:
            self._failing.add(sender)
            return
        self._failing.discard(sender)
        self._last_success = max(self._last_success, now - beacon.age_seconds)
        self._compare_rules(sender, beacon.rules_version, now)
        if beacon.digest == self._catalog.digest:
            self._mismatch = _Mismatch()
        elif now >= self._mismatch.next_request:
            self._mismatch.next_request = now + _REQUEST_INTERVAL_SECONDS
            self._mismatch.requests += 1
            yield from self._resolve_mismatch(sender)

    def _compare_rules(
        self,
        sender: VmId,
        version: ConfigVersion,
        now: float,
    ) -> None:
        """Request newer rules from a reader if no other node offers them."""
        if version <= self._catalog.rules_version:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since >= _OFFER_TIMEOUT_SECONDS:
            for notify in self._newer_rules_subscribers:
                notify(sender, version)

    def _resolve_mismatch(self, sender: VmId) -> Iterator[Send]:
        if self._mismatch.requests > _REQUESTS_BEFORE_READ:
            log_event('facts_differ', reader=sender)
            self._mismatch.requests = 0
            self.needs_full_read = True
        else:
            yield Send(sender, FactRequest())


def _compute_refused_delay(position: int) -> float:
    """Return the seconds to wait before replacing refused readers.

    Load pattern: the platform is unavailable to all nodes, and when it
    recovers, dozens of nodes that replaced each other read it at once.
    """
    late = max(position - _QUICK_RANKS, 0)
    quick = min(position, _QUICK_RANKS)
    return quick * _RANK_DELAY_SECONDS + late * _LATE_RANK_DELAY_SECONDS


def _split(facts: Sequence[Fact]) -> Iterator[FactNews]:
    return map(FactNews, pack(facts))
