"""Spreads what a few nodes read from the platform to all others."""

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
from chicoryshunt.types import ConfigVersion, VmId

# Two readers in different data centres: one may fail without a gap.
_READERS = 2
_BEACON_INTERVAL_SECONDS = 0.5
# A beacon may be lost before another node reads in a reader's place.
_SILENCE_SECONDS = 1.6
# The next in rank waits longer, so that not all begin to read at once.
_RANK_DELAY_SECONDS = 0.1
# Nobody takes over from failing readers while another was answered so lately:
# its beacons tell of answers that are up to a second old.
_FRESH_SECONDS = 1.1
_MOST_RANK_DELAY_SECONDS = 2.0
# When the platform turns readers away, so many others try in quick turn: that
# all of them are turned away as well is unlikely unless it is down.
_QUICK_RANKS = 8
_LATE_RANK_DELAY_SECONDS = 1.0
# Who took over reads on for a while, or readers would change all the time.
_TAKEOVER_SECONDS = 6.0
_REQUEST_INTERVAL_SECONDS = 0.6
# A reader that was not answered for so long sees an outage; a watch waits for
# half of it, whether or not there is a change.
_OUTAGE_SECONDS = 1.0
# A datagram of 1400 bytes holds this many facts, also when it is passed on.
_FACTS_PER_MESSAGE = 6
# Nodes offer new rules to each other; a reader is asked after this time.
_OFFER_SECONDS = 0.4
# Differences that requests could not settle are settled by reading.
_REQUESTS_BEFORE_READ = 3


class ReaderRole(Enum):
    """Say whether a node reads the platform, and why."""

    none = 'none'
    regular = 'regular'
    takeover = 'takeover'
    uncertain = 'uncertain'


RulesBehind = Callable[[VmId, ConfigVersion], None]


@dataclass(slots=True)
class _Mismatch:
    """How often facts were asked for since the catalogs were last equal."""

    requests: int = 0
    next_request: float = 0


class CatalogSync:
    """Core that keeps the catalogs of all nodes alike."""

    message_types = (Beacon, FactNews, FactRequest)

    def __init__(
        self,
        catalog: Catalog,
        membership: Membership,
        broadcast: Broadcast,
        now: float,
    ) -> None:
        """Start without any contact with the platform."""
        self._catalog = catalog
        self._membership = membership
        self._broadcast = broadcast
        self._contact = float('-inf')
        self._failing: set[VmId] = set()
        self._have_readers_failed = False
        self._started = now
        self._next_beacon = now
        self._takeover_until = float('-inf')
        self._mismatch = _Mismatch()
        self._behind_since: float | None = None
        self._duty = ReaderRole.none
        self._rules_behind: list[RulesBehind] = []
        self.needs_full_read = True

    def on_rules_behind(self, notify: RulesBehind) -> None:
        """Call ``notify(vm, version)`` when a node has newer rules."""
        self._rules_behind.append(notify)

    def record_success(self, now: float) -> None:
        """Remember that the platform answered this node."""
        self._contact = max(self._contact, now)
        self._failing.discard(self._membership.own)

    def record_failure(self, now: float) -> None:
        """Tell the others soon that the platform does not answer this node."""
        if self._membership.own not in self._failing:
            self._next_beacon = now
        self._failing.add(self._membership.own)

    def measure_age(self, now: float) -> float:
        """Return for how many seconds nobody is known to have read."""
        return now - self._contact

    def sees_outage(self, now: float) -> bool:
        """Say whether the platform has stopped answering those who read it."""
        if self._have_readers_failed or self._duty is not ReaderRole.none:
            return self.measure_age(now) > _OUTAGE_SECONDS
        return self.measure_age(now) > _SILENCE_SECONDS

    def decide_role(self, now: float) -> ReaderRole:
        """Say whether this node is to read the platform now."""
        duty = self._decide_duty(now)
        if duty is not self._duty:
            log_event(
                'reading_duty',
                duty=duty.value,
                before=self._duty.value,
                age_seconds=min(self.measure_age(now), now - self._started),
            )
            self._duty = duty
        return duty

    def publish(self, facts: Sequence[Fact]) -> Iterator[Send]:
        """Return the messages that tell all others some news."""
        for news in _split(facts):
            yield from self._broadcast.tell(news)

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Take what a reader tells, or answer who asks for facts."""
        match message:
            case Beacon():
                yield from self._take_beacon(sender, message, now)
            case FactNews(facts):
                for fact in facts:
                    self._catalog.apply(fact, now, sender)
            case FactRequest():
                for news in _split(self._catalog.list_facts()):
                    yield Send(sender, news)

    def tick(self, now: float) -> Iterator[Send]:
        """Tell the others what this node holds while it reads."""
        if now < self._next_beacon or self._duty is ReaderRole.none:
            return
        self._next_beacon = now + _BEACON_INTERVAL_SECONDS
        beacon = Beacon(
            self._catalog.digest,
            self._catalog.rules_version,
            self.measure_age(now),
            self._membership.own in self._failing,
        )
        yield from self._broadcast.tell(beacon)

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Believe that what is held is as old as the pause."""
        self._contact -= paused_seconds
        self.needs_full_read = True

    def _decide_duty(self, now: float) -> ReaderRole:
        if self.needs_full_read:
            return ReaderRole.uncertain
        ranked = self._rank_readers()
        rank = ranked.index(self._membership.own)
        if rank < _READERS:
            return ReaderRole.regular
        if self._is_missed(ranked[:_READERS], rank, now):
            self._takeover_until = now + _TAKEOVER_SECONDS
        return (
            ReaderRole.takeover
            if now < self._takeover_until
            else ReaderRole.none
        )

    def _is_missed(
        self,
        readers: Sequence[VmId],
        rank: int,
        now: float,
    ) -> bool:
        """Say whether this node is to read in the readers' place.

        They say so themselves when the platform does not answer them; when
        they say nothing at all it takes longer to be sure.
        """
        turn = rank - _READERS
        age = self.measure_age(now)
        self._have_readers_failed = self._failing.issuperset(readers)
        if self._have_readers_failed:
            return age > _FRESH_SECONDS + _measure_refused_delay(turn)
        delay = min(turn * _RANK_DELAY_SECONDS, _MOST_RANK_DELAY_SECONDS)
        return age > _SILENCE_SECONDS + delay

    def _rank_readers(self) -> list[VmId]:
        roster = self._membership.roster
        serving = set(roster.list_serving()) | {self._membership.own}
        ranked = rank_vms('platform-reader', serving)
        first = roster.find(ranked[0])
        if first is None:
            return ranked
        others = roster.list_serving(first.published.data_centre)
        apart = next((vm for vm in ranked if vm not in others), None)
        if apart is not None:
            ranked.remove(apart)
            ranked.insert(1, apart)
        return ranked

    def _take_beacon(
        self,
        sender: VmId,
        beacon: Beacon,
        now: float,
    ) -> Iterator[Send]:
        if beacon.is_failing:
            self._failing.add(sender)
            return
        self._failing.discard(sender)
        self._contact = max(self._contact, now - beacon.age_seconds)
        self._compare_rules(sender, beacon.rules_version, now)
        if beacon.digest == self._catalog.digest:
            self._mismatch = _Mismatch()
        elif now >= self._mismatch.next_request:
            self._mismatch.next_request = now + _REQUEST_INTERVAL_SECONDS
            self._mismatch.requests += 1
            yield from self._settle(sender)

    def _compare_rules(
        self,
        sender: VmId,
        version: ConfigVersion,
        now: float,
    ) -> None:
        """Have newer rules fetched from a reader if nobody else offers them."""
        if version <= self._catalog.rules_version:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since >= _OFFER_SECONDS:
            for notify in self._rules_behind:
                notify(sender, version)

    def _settle(self, sender: VmId) -> Iterator[Send]:
        if self._mismatch.requests > _REQUESTS_BEFORE_READ:
            log_event('facts_differ', reader=sender)
            self._mismatch.requests = 0
            self.needs_full_read = True
        else:
            yield Send(sender, FactRequest())


def _measure_refused_delay(turn: int) -> float:
    """Return how long a node leaves it to others when readers are refused.

    Load pattern: the platform is away for everyone, and comes back to dozens
    of nodes that all began to read in each other's place.
    """
    late = max(turn - _QUICK_RANKS, 0)
    quick = min(turn, _QUICK_RANKS)
    return quick * _RANK_DELAY_SECONDS + late * _LATE_RANK_DELAY_SECONDS


def _split(facts: Sequence[Fact]) -> Iterator[FactNews]:
    for start in range(0, len(facts), _FACTS_PER_MESSAGE):
        yield FactNews(tuple(facts[start : start + _FACTS_PER_MESSAGE]))
