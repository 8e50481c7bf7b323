"""Requests that wait at the nodes of the fleet."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass

from chicoryshunt.dispatch.service_order import (
    Claim,
    NoteKey,
    ReturnNote,
    ServiceHash,
    TeamHash,
    WaitingGroup,
)
from chicoryshunt.fleet.broadcast import Broadcast
from chicoryshunt.fleet.messages import (
    DemandGroup,
    DemandNews,
    DemandNote,
)
from chicoryshunt.fleet.workload import Workload
from chicoryshunt.membership.membership import Membership
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.types import VmId, VmState

# Groups in one message; with the notes they stay below the largest datagram.
MAX_GROUPS = 16
_NOTES_PER_MESSAGE = 10
_RETURNED_PER_MESSAGE = 10
# Each note is sent so often, as datagrams may be lost.
_NOTE_SENDS = 2
_MAX_NOTES = 256
# Notes are kept for this long after their callers may return.
_NOTE_SECONDS = 1.0
_INTERVAL_SECONDS = 0.25
_MIN_VALID_SECONDS = 1.0
_VALID_INTERVALS = 3
# A transit time beyond this is a clock that was set anew, as by a restart.
_MAX_TRANSIT_SECONDS = 60.0
# The shortest transit grows by this share of the time, more than clocks drift.
_CLOCK_DRIFT = 0.001
_MILLISECONDS = 1000
# What was placed since the news is counted again after this time.
_COLLECT_SECONDS = 0.02

Summarise = Callable[[float], Sequence[WaitingGroup]]


@dataclass(frozen=True, slots=True)
class _NodeNews:
    """Groups of a node; times in monotonic seconds."""

    groups: tuple[WaitingGroup, ...]
    sent: float
    until: float


@dataclass(slots=True)
class _SenderClock:
    """Clock of another node, compared with this one.

    ``offset`` is the smallest difference between arrival and sending lately.
    """

    offset: float
    sent: float
    received: float

    def measure_delay(self, sent: float, now: float) -> float | None:
        """Return the extra transit time of a message, ``None`` if outdated.

        A message is outdated if it was sent before one that has arrived.
        """
        allowed = self.offset + (now - self.received) * _CLOCK_DRIFT
        delay = now - sent - allowed
        if delay > _MAX_TRANSIT_SECONDS:
            allowed = now - sent
        elif sent <= self.sent:
            return None
        self.offset = min(allowed, now - sent)
        self.sent = sent
        self.received = now
        return now - sent - self.offset


class Demand:
    """Core that tells all nodes which requests wait, and where.

    Load pattern: requests wait at dozens of nodes for the same engines.
    Nothing is sent while no request waits.
    """

    message_types = (DemandNews,)

    def __init__(
        self,
        membership: Membership,
        broadcast: Broadcast,
        workload: Workload,
        now: float,
    ) -> None:
        """Start without news; drop the news of nodes that are gone."""
        self._workload = workload
        self._membership = membership
        self._broadcast = broadcast
        self._summarise: Summarise = _summarise_none
        self._next_report = now
        self._has_reported = False
        self._news: dict[VmId, _NodeNews] = {}
        self._clocks: dict[VmId, _SenderClock] = {}
        self._groups: tuple[WaitingGroup, ...] = ()
        self._collect_at: float = 0
        self._notes: dict[NoteKey, ReturnNote] = {}
        # How often each own note, or its end, is still to be sent.
        self._unsent: Counter[NoteKey] = Counter()
        self._unsent_returned: Counter[NoteKey] = Counter()
        membership.subscribe(self._handle_vm_state)

    def report_with(self, summarise: Summarise) -> None:
        """Report the groups that ``summarise(now)`` returns."""
        self._summarise = summarise

    def list_groups(self, now: float) -> tuple[WaitingGroup, ...]:
        """Return the requests that wait at other nodes, by valid news.

        Those that were placed since the news do not count.
        """
        if self._news and now > self._collect_at:
            self._collect(now)
        return self._groups

    def add_note(self, note: ReturnNote, now: float) -> None:
        """Note a refusal of this node, and tell the other nodes."""
        self._keep_note(note, now)
        self._unsent[note.key] = _NOTE_SENDS
        self._unsent_returned.pop(note.key, None)

    def take_note(self, key: NoteKey, now: float) -> ReturnNote | None:
        """Return and end the note of a request whose caller is back."""
        note = self._notes.pop(key, None)
        if note is None or now > note.return_at + _NOTE_SECONDS:
            return None
        self._unsent.pop(key, None)
        self._unsent_returned[key] = _NOTE_SENDS
        return note

    def list_notes(self, now: float) -> list[WaitingGroup]:
        """Return the requests whose callers may return, by valid notes."""
        return [
            note.group
            for note in self._notes.values()
            if now <= note.return_at + _NOTE_SECONDS
        ]

    def receive(
        self, sender: VmId, message: Message, now: float
    ) -> Iterator[Send]:
        """Store what waits at another node."""
        if isinstance(message, DemandNews) and sender != self._membership.own:
            delay = self._measure_delay(sender, message.sent, now)
            if delay is not None:
                self._store(sender, message, now - delay)
                self._store_notes(message, now - delay, now)
                self._collect(now)
        return iter(())

    def tick(self, now: float) -> Iterator[Send]:
        """Report what waits here when that is due, and once its end."""
        if now < self._next_report:
            return
        groups = self._summarise(now)
        notes = self._take_unsent_notes()
        returned = _take(self._unsent_returned, _RETURNED_PER_MESSAGE)
        if not (groups or notes or returned or self._has_reported):
            return
        self._next_report = now + self._find_interval()
        self._has_reported = bool(groups)
        yield from self._broadcast.send_to_all(
            DemandNews(
                now,
                tuple(_encode(group, now) for group in groups),
                tuple(_encode_note(note, now) for note in notes),
                returned,
            )
        )

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Drop all news, which may have changed since."""
        self._news.clear()
        self._clocks.clear()
        self._groups = ()
        self._notes.clear()
        self._unsent.clear()

    def _find_interval(self) -> float:
        return self._broadcast.scale_interval(_INTERVAL_SECONDS)

    def _measure_delay(
        self, sender: VmId, sent: float, now: float
    ) -> float | None:
        clock = self._clocks.get(sender)
        if clock is None:
            self._clocks[sender] = _SenderClock(now - sent, sent, now)
            return 0
        return clock.measure_delay(sent, now)

    def _store(self, sender: VmId, news: DemandNews, sent: float) -> None:
        """Store news that was sent at a time of this node's clock."""
        valid = max(
            _MIN_VALID_SECONDS, self._find_interval() * _VALID_INTERVALS
        )
        self._news.pop(sender, None)
        if news.groups:
            groups = tuple(_decode(group, sent) for group in news.groups)
            self._news[sender] = _NodeNews(groups, sent, sent + valid)

    def _store_notes(self, news: DemandNews, sent: float, now: float) -> None:
        for one in news.notes:
            self._keep_note(_decode_note(one, sent), now)
        for key in news.returned:
            self._notes.pop(NoteKey(key), None)

    def _keep_note(self, note: ReturnNote, now: float) -> None:
        self._notes[note.key] = note
        if len(self._notes) > _MAX_NOTES:
            first = min(self._notes.values(), key=_get_return)
            self._notes.pop(first.key)

    def _take_unsent_notes(self) -> list[ReturnNote]:
        keys = _take(self._unsent, _NOTES_PER_MESSAGE)
        return [self._notes[key] for key in keys if key in self._notes]

    def _collect(self, now: float) -> None:
        """Collect the groups of all valid news without what was placed."""
        self._news = {
            sender: news
            for sender, news in self._news.items()
            if news.until >= now
        }
        placed: Counter[VmId] = Counter()
        for known in self._workload.list_runs():
            news = self._news.get(known.node)
            if news is not None and known.placed > news.sent:
                placed[known.node] += 1
        groups: list[WaitingGroup] = []
        for sender, news in self._news.items():
            groups.extend(_drop_placed(news.groups, placed[sender]))
        self._groups = tuple(groups)
        ends = [valid.until for valid in self._news.values()]
        self._collect_at = min((now + _COLLECT_SECONDS, *ends))

    def _handle_vm_state(self, vm: VmId, state: VmState) -> None:
        if state is VmState.gone:
            self._clocks.pop(vm, None)
            if self._news.pop(vm, None) is not None:
                self._groups = ()
                self._collect_at = 0


def _summarise_none(now: float) -> tuple[WaitingGroup, ...]:
    return ()


def _drop_placed(
    groups: Iterable[WaitingGroup], placed: int
) -> Iterator[WaitingGroup]:
    """Yield what is left of groups once the first requests were placed."""
    for group in groups:
        dropped = min(placed, group.count)
        placed -= dropped
        if not dropped:
            yield group
        elif dropped < group.count:
            yield group.keep(group.count - dropped)


def _take(unsent: Counter[NoteKey], limit: int) -> tuple[NoteKey, ...]:
    """Return keys that are due, and count one sending of each."""
    keys = tuple(unsent)[:limit]
    for key in keys:
        unsent[key] -= 1
        if not unsent[key]:
            unsent.pop(key)
    return keys


def _get_return(note: ReturnNote) -> float:
    return note.return_at


def _encode_note(note: ReturnNote, now: float) -> DemandNote:
    group = note.group
    return DemandNote(
        note.key,
        group.claim.priority,
        group.claim.team,
        group.prompt_tokens,
        round((now - group.claim.arrived) * _MILLISECONDS),
        round((note.return_at - now) * _MILLISECONDS),
        group.expected_tokens,
        group.claim.service,
    )


def _decode_note(note: DemandNote, sent: float) -> ReturnNote:
    claim = Claim(
        ServiceHash(note.service),
        note.priority,
        TeamHash(note.team),
        sent - note.age / _MILLISECONDS,
        late_at=math.inf,
        first_at=math.inf,
    )
    return ReturnNote(
        NoteKey(note.key),
        WaitingGroup(claim, 1, note.prompt_tokens, note.expected_tokens),
        sent + note.time_to_return / _MILLISECONDS,
    )


def _encode(group: WaitingGroup, now: float) -> DemandGroup:
    claim = group.claim
    return DemandGroup(
        claim.priority,
        claim.team,
        group.count,
        group.prompt_tokens,
        round((now - claim.arrived) * _MILLISECONDS),
        round((claim.late_at - now) * _MILLISECONDS),
        group.expected_tokens,
        round((claim.first_at - now) * _MILLISECONDS),
        claim.service,
    )


def _decode(group: DemandGroup, sent: float) -> WaitingGroup:
    claim = Claim(
        ServiceHash(group.service),
        group.priority,
        TeamHash(group.team),
        sent - group.age / _MILLISECONDS,
        sent + group.time_left / _MILLISECONDS,
        sent + group.time_to_first / _MILLISECONDS,
    )
    return WaitingGroup(
        claim, max(group.count, 1), group.prompt_tokens, group.expected_tokens
    )
