"""Tells all other nodes something, and crosses data centres only once."""

from collections.abc import Iterable, Iterator
from random import Random

import msgspec

from chicoryshunt.fleet.messages import Beacon, FactNews, RunList, RunNews
from chicoryshunt.membership.membership import Membership
from chicoryshunt.nodes.core import Core, Message, Send
from chicoryshunt.types import DataCentreId, VmId

Told = Beacon | FactNews | RunNews | RunList


class Passed(msgspec.Struct, frozen=True, array_like=True, tag='bp'):
    """Carry what another node tells everybody.

    ``is_for_all`` asks the receiver to pass it on in its data centre.
    """

    origin: VmId
    told: Told
    is_for_all: bool


class Broadcast:
    """Core that passes messages on within a data centre.

    Load pattern: dozens of nodes tell all others of each run that they place.
    Traffic between data centres is dear, so each one gets a message once and
    a node there, chosen anew each time, passes it on. A relay that died loses
    single messages; what is told is repeated, or compared by digests.
    """

    message_types = (Passed,)

    def __init__(self, membership: Membership, rng: Random) -> None:
        """Know no receivers of what is passed on yet."""
        self._membership = membership
        self._rng = rng
        self._cores: tuple[Core, ...] = ()

    def deliver_to(self, cores: Iterable[Core]) -> None:
        """Hand what is passed on to these cores."""
        self._cores = tuple(cores)

    def tell(self, told: Told) -> Iterator[Send]:
        """Return the messages that tell all other nodes."""
        own = self._membership.own
        for data_centre, vms in self._group_others().items():
            if self._is_near(data_centre):
                yield from (Send(vm, told) for vm in vms)
            else:
                relay = self._rng.choice(vms)
                yield Send(relay, Passed(own, told, is_for_all=True))

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Take a message from its origin, and pass it on if that is asked."""
        if not isinstance(message, Passed):
            return
        if message.is_for_all:
            yield from self._pass_on(sender, message)
        for core in self._cores:
            if isinstance(message.told, core.message_types):
                yield from core.receive(message.origin, message.told, now)

    def tick(self, now: float) -> Iterator[Send]:
        """Do nothing; messages are passed on as they come."""
        return iter(())

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Do nothing; nothing is kept."""

    def _pass_on(self, sender: VmId, message: Passed) -> Iterator[Send]:
        passed = Passed(message.origin, message.told, is_for_all=False)
        known = {sender, message.origin}
        for data_centre, vms in self._group_others().items():
            if self._is_near(data_centre):
                yield from (Send(vm, passed) for vm in vms if vm not in known)

    def _is_near(self, data_centre: DataCentreId) -> bool:
        """Say whether nodes of a data centre are told directly.

        So are seeds that have not introduced themselves: nobody knows where
        they are.
        """
        own = self._membership.roster.get_own().published.data_centre
        return data_centre in {own, DataCentreId('')}

    def _group_others(self) -> dict[DataCentreId, list[VmId]]:
        roster = self._membership.roster
        groups: dict[DataCentreId, list[VmId]] = {}
        for vm in roster.list_others():
            member = roster.find(vm)
            if member is not None:
                place = member.published.data_centre
                groups.setdefault(place, []).append(vm)
        return groups
