"""Composes what every message of the membership carries."""

from collections import deque

from chicoryshunt.membership.gossip import Gossip, LoadNote
from chicoryshunt.membership.roster import LIVE, Roster, Update
from chicoryshunt.membership.spread import Spread, fit_updates
from chicoryshunt.types import VmId

_MAX_UPDATES_BYTES = 240
_MAX_CHUNK_BYTES = 900
_MAX_LOADS = 6


class Composer:
    """Chooses the updates and loads that are worth passing on."""

    def __init__(self, roster: Roster) -> None:
        """Start with this node's own announcement."""
        self._roster = roster
        self._spread = Spread()
        self._recent_loads: deque[VmId] = deque(maxlen=_MAX_LOADS)
        self._cursor = 0
        self._spread.add(roster.get_own().update)

    def add(self, update: Update) -> None:
        """Pass an update on."""
        self._spread.add(update)

    def compose(self, updates: tuple[Update, ...] = ()) -> Gossip:
        """Return some updates with those that are due, and loads."""
        count = self._roster.published_count
        due = self._spread.take(count, _MAX_UPDATES_BYTES)
        return Gossip(
            self._roster.digest,
            (*updates, *due),
            self._list_loads(),
        )

    def compose_urgent(self) -> Gossip | None:
        """Return the updates that were never sent."""
        urgent = self._spread.take_urgent(_MAX_CHUNK_BYTES)
        return Gossip(self._roster.digest, urgent) if urgent else None

    def compose_chunk(self) -> Gossip:
        """Return the next part of the roster, in turn."""
        return Gossip(self._roster.digest, self.take_chunk())

    def compose_roster(self) -> list[Gossip]:
        """Return the whole roster in parts."""
        known = self._roster.list_known()
        parts = []
        while known:
            chunk = fit_updates(known, _MAX_CHUNK_BYTES)
            known = known[len(chunk) :]
            parts.append(Gossip(self._roster.digest, chunk))
        return parts

    def take_chunk(self) -> tuple[Update, ...]:
        """Return the next updates of the roster, in turn."""
        known = self._roster.list_known()
        start = self._cursor % len(known)
        chunk = fit_updates(known[start:] + known[:start], _MAX_CHUNK_BYTES)
        self._cursor = start + len(chunk)
        return chunk

    def find_refutable(self, vm: VmId) -> tuple[Update, ...]:
        """Return what a VM has to refute, if anything."""
        member = self._roster.find(vm)
        if member is None or member.update.state in LIVE:
            return ()
        return (member.update,) if member.update.incarnation else ()

    def apply_loads(self, notes: tuple[LoadNote, ...]) -> None:
        """Keep the loads that are later than those known."""
        for note in notes:
            self._apply_load(note)

    def _apply_load(self, note: LoadNote) -> None:
        member = self._roster.find(note.vm)
        if member is None or note.vm == self._roster.own:
            return
        if note.heartbeat > member.heartbeat:
            member.heartbeat = note.heartbeat
            member.load = note.load
            self._recent_loads.append(note.vm)

    def _list_loads(self) -> tuple[LoadNote, ...]:
        notes = []
        for vm in (self._roster.own, *dict.fromkeys(self._recent_loads)):
            member = self._roster.find(vm)
            if member is not None:
                notes.append(LoadNote(vm, member.heartbeat, member.load))
        return tuple(notes)
