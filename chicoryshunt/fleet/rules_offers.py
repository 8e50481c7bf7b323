"""Spreads new rules by gossip, so that no node has to serve them all."""

from collections.abc import Callable, Iterator
from random import Random

from chicoryshunt.fleet.catalog import PLATFORM_SOURCE, Catalog
from chicoryshunt.fleet.messages import RulesNotice
from chicoryshunt.membership.membership import Membership
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.types import ConfigVersion, DataCentreId, VmId

# Each node offers new rules to this many nodes of its data centre: three steps
# reach all of thirty nodes.
_FANOUT = 4
# A node that read rules from the platform offers them to this many nodes of
# each other data centre, so that one of them may be dead.
_REMOTE_FANOUT = 2

OfferSubscriber = Callable[[VmId, ConfigVersion], None]


class RulesOffers:
    """Core that offers new rules to a few nodes, which fetch and offer them.

    Load pattern: a new version with thousands of routes, and dozens of nodes
    on slow links. A reader that served all of them would exceed the time
    within which a version has to be in force.
    """

    message_types = (RulesNotice,)

    def __init__(
        self,
        catalog: Catalog,
        membership: Membership,
        rng: Random,
    ) -> None:
        """Offer the rules that the catalog puts in force from now on."""
        self._catalog = catalog
        self._membership = membership
        self._rng = rng
        self._offered_version = catalog.rules_version
        self._subscribers: list[OfferSubscriber] = []

    def on_offer(self, notify: OfferSubscriber) -> None:
        """Call ``notify(vm, version)`` when a node offers newer rules."""
        self._subscribers.append(notify)

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Report an offer of newer rules to the subscribers."""
        if not isinstance(message, RulesNotice):
            return iter(())
        if message.version > self._catalog.rules_version:
            for notify in self._subscribers:
                notify(sender, message.version)
        return iter(())

    def tick(self, now: float) -> Iterator[Send]:
        """Offer each new version of the rules once, to a few nodes."""
        version = self._catalog.rules_version
        if version == self._offered_version:
            return
        self._offered_version = version
        for receiver in self._choose_receivers():
            yield Send(receiver, RulesNotice(version))

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Do nothing; a pause does not affect offers."""

    def _choose_receivers(self) -> Iterator[VmId]:
        roster = self._membership.roster
        own = roster.get_own().published.data_centre
        is_reader = self._catalog.rules_source == PLATFORM_SOURCE
        for data_centre in self._list_data_centres():
            if data_centre == own:
                yield from self._sample(data_centre, _FANOUT)
            elif is_reader:
                yield from self._sample(data_centre, _REMOTE_FANOUT)

    def _sample(self, data_centre: DataCentreId, count: int) -> list[VmId]:
        serving = self._membership.roster.list_serving(data_centre)
        others = [vm for vm in serving if vm != self._membership.own]
        return self._rng.sample(others, min(count, len(others)))

    def _list_data_centres(self) -> set[DataCentreId]:
        return {
            member.published.data_centre for member in self._membership.roster
        }
