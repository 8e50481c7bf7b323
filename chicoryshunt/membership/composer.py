"""Composes what every message of the membership carries."""

from collections import deque

from chicoryshunt.membership.gossip import Gossip, MemberLoad
from chicoryshunt.membership.roster import LIVE, Roster, Update
from chicoryshunt.membership.update_queue import UpdateQueue, fit_updates
from chicoryshunt.types import VmId

_UPDATE_BYTES = 240
_CHUNK_BYTES = 900
_LOADS = 6


class Composer:
    """Chooses the updates and loads that are worth passing on."""

    def __init__(self, roster: Roster) -> None:
        """Start with this node's own announcement."""
        self._roster = roster
        self._spread = UpdateQueue()
        self._recent: deque[VmId] = deque(maxlen=_LOADS)
        self._cursor = 0
        self._spread.add(roster.get_own().update)

    def add(self, update: Update) -> None:
        """Pass an update on."""
        self._spread.add(update)

    def compose(self, updates: tuple[Update, ...] = ()) -> Gossip:
        """Return some updates with those that are due, and loads."""
        count = self._roster.published_count
        due = self._spread.take(count, _UPDATE_BYTES)
        return Gossip(
            self._roster.digest,
            (*updates, *due),
            self._list_loads(),
        )

    def compose_urgent(self) -> Gossip | None:
        """Return the updates that were never sent."""
        urgent = self._spread.take_urgent(_CHUNK_BYTES)
        return Gossip(self._roster.digest, urgent) if urgent else None

    def compose_chunk(self) -> Gossip:
        """Return the next part of the roster, in turn."""
        return Gossip(self._roster.digest, self.take_chunk())

    def compose_roster(self) -> list[Gossip]:
        """Return the whole roster in parts."""
        known = self._roster.list_known()
        parts = []
        while known:
            chunk = fit_updates(known, _CHUNK_BYTES)
            known = known[len(chunk) :]
            parts.append(Gossip(self._roster.digest, chunk))
        return parts

    def take_chunk(self) -> tuple[Update, ...]:
        """Return the next updates of the roster, in turn."""
        known = self._roster.list_known()
        start = self._cursor % len(known)
        chunk = fit_updates(known[start:] + known[:start], _CHUNK_BYTES)
        self._cursor = start + len(chunk)
        return chunk

    def find_doubt(self, vm: VmId) -> tuple[Update, ...]:
        """Return what a VM has to refute, if anything."""
        member = self._roster.find(vm)
        if member is None or member.update.state in LIVE:
            return ()
        return (member.update,) if member.update.incarnation else ()

    def take_loads(self, notes: tuple[MemberLoad, ...]) -> None:
        """Keep the loads that are later than those known."""
        for note in notes:
            self._take_load(note)

    def _take_load(self, note: MemberLoad) -> None:
        member = self._roster.find(note.vm)
        if member is None or note.vm == self._roster.own:
            return
        if note.beat > member.beat:
            member.beat = note.beat
            member.load = note.load
            self._recent.append(note.vm)

    def _list_loads(self) -> tuple[MemberLoad, ...]:
        notes = []
        for vm in (self._roster.own, *dict.fromkeys(self._recent)):
            member = self._roster.find(vm)
            if member is not None:
                notes.append(MemberLoad(vm, member.beat, member.load))
        return tuple(notes)
