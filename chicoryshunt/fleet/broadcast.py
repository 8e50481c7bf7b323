"""Broadcast to all nodes with one message to each other data centre."""

from collections.abc import Iterable, Iterator
from random import Random

import msgspec

from chicoryshunt.fleet.messages import (
    Beacon,
    CrashNews,
    DemandNews,
    FactNews,
    OutageNews,
    PaceNews,
    RunList,
    RunNews,
)
from chicoryshunt.membership.membership import Membership
from chicoryshunt.membership.roster import Roster
from chicoryshunt.nodes.core import Core, Message, Send
from chicoryshunt.types import DataCentreId, VmId

BroadcastMessage = (
    Beacon
    | CrashNews
    | DemandNews
    | FactNews
    | OutageNews
    | PaceNews
    | RunList
    | RunNews
)


# Intervals of regular messages hold for so many nodes. In a larger fleet they
# grow with it, so that no node receives more messages than from this many.
_SENDING_NODES = 40


class Passed(msgspec.Struct, frozen=True, array_like=True, tag='bp'):
    """Broadcast message of the node ``origin``.

    ``is_for_all``: the receiver relays it to the nodes of its data centre.
    """

    origin: VmId
    payload: BroadcastMessage
    is_for_all: bool


class Broadcast:
    """Core that broadcasts messages and relays those of other nodes.

    Load pattern: dozens of nodes announce each run that they place. Traffic
    between data centres is expensive, so each one gets a message once, and a
    node there, chosen at random for each message, relays it. A relay that
    died loses single messages; senders repeat them or compare digests.
    """

    message_types = (Passed,)

    def __init__(self, membership: Membership, rng: Random) -> None:
        """Start without cores to deliver to."""
        self._membership = membership
        self._rng = rng
        self._cores: tuple[Core, ...] = ()
        self._groups: dict[DataCentreId, list[VmId]] = {}
        self._groups_version = -1

    def deliver_to(self, cores: Iterable[Core]) -> None:
        """Deliver relayed messages to these cores."""
        self._cores = tuple(cores)

    def scale_interval(self, seconds: float) -> float:
        """Return the interval of a regular message of each node, in seconds."""
        count = self._membership.roster.published_count
        return seconds * max(1, count / _SENDING_NODES)

    def send_to_all(self, payload: BroadcastMessage) -> Iterator[Send]:
        """Return the messages that carry a payload to all other nodes."""
        own = self._membership.own
        for data_centre, vms in self._group_others().items():
            if self._is_direct(data_centre):
                yield from (Send(vm, payload) for vm in vms)
            else:
                relay = self._rng.choice(vms)
                yield Send(relay, Passed(own, payload, is_for_all=True))

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Deliver a message to the cores, and relay it if requested."""
        if not isinstance(message, Passed):
            return
        if message.is_for_all:
            yield from self._pass_on(sender, message)
        for core in self._cores:
            if isinstance(message.payload, core.message_types):
                yield from core.receive(message.origin, message.payload, now)

    def tick(self, now: float) -> Iterator[Send]:
        """Do nothing; messages are relayed when they arrive."""
        return iter(())

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Do nothing; a broadcast holds no state."""

    def _pass_on(self, sender: VmId, message: Passed) -> Iterator[Send]:
        passed = Passed(message.origin, message.payload, is_for_all=False)
        excluded = {sender, message.origin}
        for data_centre, vms in self._group_others().items():
            if self._is_direct(data_centre):
                yield from (
                    Send(vm, passed) for vm in vms if vm not in excluded
                )

    def _is_direct(self, data_centre: DataCentreId) -> bool:
        """Return whether nodes of a data centre get messages directly.

        So do seeds that have not introduced themselves, since their data
        centre is unknown.
        """
        own = self._membership.roster.get_own().published.data_centre
        return data_centre in {own, DataCentreId('')}

    def _group_others(self) -> dict[DataCentreId, list[VmId]]:
        """Return the other nodes by data centre, until one changes."""
        roster = self._membership.roster
        if self._groups_version != roster.version:
            self._groups = self._build_groups(roster)
            self._groups_version = roster.version
        return self._groups

    def _build_groups(self, roster: Roster) -> dict[DataCentreId, list[VmId]]:
        groups: dict[DataCentreId, list[VmId]] = {}
        for vm in roster.list_others():
            member = roster.find(vm)
            if member is not None:
                data_centre = member.published.data_centre
                groups.setdefault(data_centre, []).append(vm)
        return groups
