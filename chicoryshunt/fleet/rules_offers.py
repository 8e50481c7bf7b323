"""Offers new rules from node to node, so that no few have to serve all."""

from collections.abc import Callable, Iterator
from random import Random

from chicoryshunt.fleet.catalog import PLATFORM_SOURCE, Catalog
from chicoryshunt.fleet.messages import RulesNotice
from chicoryshunt.membership.membership import Membership
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.types import ConfigVersion, DataCentreId, VmId

# Nodes of the own data centre that each node offers new rules to: all of
# thirty have heard of them after three steps.
_FANOUT = 4
# Who read the rules from the platform offers them to this many nodes of each
# other data centre, where one may be dead.
_REMOTE_FANOUT = 2

Offered = Callable[[VmId, ConfigVersion], None]


class RulesOffers:
    """Core that offers rules to a few nodes, who fetch them and do the same.

    Load pattern: thousands of routes in a new version, and dozens of nodes on
    thin links. A reader that served all of them would need longer than a
    version may take to be in force.
    """

    message_types = (RulesNotice,)

    def __init__(
        self,
        catalog: Catalog,
        membership: Membership,
        rng: Random,
    ) -> None:
        """Offer whatever the catalog puts in force from now on."""
        self._catalog = catalog
        self._membership = membership
        self._rng = rng
        self._offered = catalog.rules_version
        self._followers: list[Offered] = []

    def on_offer(self, notify: Offered) -> None:
        """Call ``notify(vm, version)`` when a node offers newer rules."""
        self._followers.append(notify)

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Take an offer; nothing is answered."""
        if not isinstance(message, RulesNotice):
            return iter(())
        if message.version > self._catalog.rules_version:
            for notify in self._followers:
                notify(sender, message.version)
        return iter(())

    def tick(self, now: float) -> Iterator[Send]:
        """Offer the rules in force to a few nodes, once a version."""
        version = self._catalog.rules_version
        if version == self._offered:
            return
        self._offered = version
        for receiver in self._choose_receivers():
            yield Send(receiver, RulesNotice(version))

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Do nothing; a later version is offered again."""

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
