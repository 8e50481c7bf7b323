"""Selects the gossip that membership messages carry."""

from collections import deque

from chicoryshunt.membership.gossip import Gossip, MemberLoad
from chicoryshunt.membership.roster import LIVE, Roster, Update
from chicoryshunt.membership.update_queue import UpdateQueue, fit_updates
from chicoryshunt.types import VmId

_MAX_UPDATES_BYTES = 240
_MAX_CHUNK_BYTES = 900
_MAX_LOADS = 6


class Composer:
    """Selects updates and loads to send."""

    def __init__(self, roster: Roster) -> None:
        """Queue this node's own state as the first update."""
        self._roster = roster
        self._queue = UpdateQueue()
        self._recent_loads: deque[VmId] = deque(maxlen=_MAX_LOADS)
        self._cursor = 0
        self._queue.add(roster.get_own().update)

    def add(self, update: Update) -> None:
        """Queue an update to be sent."""
        self._queue.add(update)

    def compose(self, updates: tuple[Update, ...] = ()) -> Gossip:
        """Return the given updates, queued updates and recent loads."""
        count = self._roster.published_count
        due = self._queue.take(count, _MAX_UPDATES_BYTES)
        return Gossip(
            self._roster.digest,
            (*updates, *due),
            self._list_loads(),
        )

    def compose_urgent(self) -> Gossip | None:
        """Return the updates that were not pushed yet, or ``None``."""
        urgent = self._queue.take_urgent(_MAX_CHUNK_BYTES)
        return Gossip(self._roster.digest, urgent) if urgent else None

    def compose_chunk(self) -> Gossip:
        """Return the next chunk of the roster, round robin."""
        return Gossip(self._roster.digest, self.take_chunk())

    def compose_roster(self) -> list[Gossip]:
        """Return the whole roster, split into chunks."""
        known = self._roster.list_known()
        parts = []
        while known:
            chunk = fit_updates(known, _MAX_CHUNK_BYTES)
            known = known[len(chunk) :]
            parts.append(Gossip(self._roster.digest, chunk))
        return parts

    def take_chunk(self) -> tuple[Update, ...]:
        """Return the next updates of the roster, round robin."""
        known = self._roster.list_known()
        start = self._cursor % len(known)
        chunk = fit_updates(known[start:] + known[:start], _MAX_CHUNK_BYTES)
        self._cursor = start + len(chunk)
        return chunk

    def find_refutable(self, vm: VmId) -> tuple[Update, ...]:
        """Return the update of a VM that is not live, for it to refute."""
        member = self._roster.find(vm)
        if member is None or member.update.state in LIVE:
            return ()
        return (member.update,) if member.update.incarnation else ()

    def apply_loads(self, loads: tuple[MemberLoad, ...]) -> None:
        """Store the loads that are newer than the known ones."""
        for load in loads:
            self._apply_load(load)

    def _apply_load(self, received: MemberLoad) -> None:
        member = self._roster.find(received.vm)
        if member is None or received.vm == self._roster.own:
            return
        if received.heartbeat > member.heartbeat:
            member.heartbeat = received.heartbeat
            member.load = received.load
            self._recent_loads.append(received.vm)

    def _list_loads(self) -> tuple[MemberLoad, ...]:
        loads = []
        for vm in (self._roster.own, *dict.fromkeys(self._recent_loads)):
            member = self._roster.find(vm)
            if member is not None:
                loads.append(MemberLoad(vm, member.heartbeat, member.load))
        return tuple(loads)
