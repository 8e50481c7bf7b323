"""Exchanges crashes of engines and their suspected causes between nodes."""

from collections.abc import Collection, Iterable, Iterator
from random import Random

from chicoryshunt.dispatch.crash_suspects import CrashSuspects, PartKey
from chicoryshunt.events import log_event
from chicoryshunt.fleet.broadcast import Broadcast
from chicoryshunt.fleet.messages import (
    ClearedParts,
    CrashNews,
    CrashNote,
    CrashRequest,
)
from chicoryshunt.membership.membership import Membership
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.nodes.packing import pack
from chicoryshunt.types import TargetId, VmId

# Datagrams may be lost, so each node repeats what it knows to another one.
_REPEAT_SECONDS = 2.0
# A node that starts asks this many times, one node each.
_START_REQUESTS = 3
_REQUEST_SECONDS = 0.4


class CrashExchange:
    """Core that gives all nodes the same suspects.

    Load pattern: a crash is seen by a few nodes, and the next request with
    the same prompt part comes to another one.
    """

    message_types = (CrashNews, CrashRequest, ClearedParts)

    def __init__(
        self,
        membership: Membership,
        broadcast: Broadcast,
        now: float,
        rng: Random,
    ) -> None:
        """Start without crashes; ask other nodes for theirs."""
        self.suspects = CrashSuspects()
        self._membership = membership
        self._broadcast = broadcast
        self._rng = rng
        self._next_repeat = now + _REPEAT_SECONDS
        self._next_request = now
        self._requests_left = _START_REQUESTS
        self._logged: set[frozenset[PartKey]] = set()

    def report(
        self, target: TargetId, parts: Collection[PartKey], now: float
    ) -> Iterator[Send]:
        """Add a crash that this node saw; return the messages to send."""
        suspected = self.suspects.list_suspects(parts)
        if not self.suspects.add_crash(target, suspected, now):
            return iter(())
        self._log_blocks()
        note = CrashNote(target, 0, tuple(suspected))
        return self._broadcast.send_to_all(CrashNews((note,)))

    def clear(self, parts: Collection[PartKey]) -> Iterator[Send]:
        """Mark parts as harmless; return the messages to send."""
        freed = self.suspects.clear(parts)
        if not freed:
            return iter(())
        self._log_blocks()
        return self._broadcast.send_to_all(CrashNews(cleared=tuple(freed)))

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Apply the news of another node, or answer its request."""
        match message:
            case CrashNews(crashes, cleared):
                self.suspects.clear(cleared)
                yield from self._apply(sender, crashes, now)
            case ClearedParts(parts):
                yield from self.clear(parts)
            case CrashRequest():
                yield from self._send_all(sender, now)

    def tick(self, now: float) -> Iterator[Send]:
        """Repeat what is known to one node; ask for it after the start."""
        self.suspects.forget_old(now)
        if self._requests_left and now >= self._next_request:
            self._next_request = now + _REQUEST_SECONDS
            for asked in self._choose_other():
                self._requests_left -= 1
                yield Send(asked, CrashRequest())
        if now >= self._next_repeat:
            self._next_repeat = now + _REPEAT_SECONDS
            for receiver in self._choose_other():
                yield from self._send_all(receiver, now)

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Do nothing; what was known before a pause still holds."""

    def _apply(
        self, sender: VmId, crashes: Iterable[CrashNote], now: float
    ) -> Iterator[Send]:
        """Add crashes; tell their sender which suspects are harmless."""
        harmless: set[PartKey] = set()
        for note in crashes:
            harmless.update(self.suspects.list_cleared(note.suspects))
            self.suspects.add_crash(note.target, note.suspects, now - note.age)
        self._log_blocks()
        if harmless:
            yield Send(sender, ClearedParts(tuple(harmless)))

    def _send_all(self, receiver: VmId, now: float) -> Iterator[Send]:
        notes = (
            CrashNote(crash.target, now - crash.at, tuple(crash.suspects))
            for crash in self.suspects.list_crashes()
        )
        for packed in pack(notes):
            yield Send(receiver, CrashNews(packed))

    def _choose_other(self) -> list[VmId]:
        """Return one other node, none if no other is known."""
        serving = self._membership.roster.list_serving()
        others = [vm for vm in serving if vm != self._membership.own]
        return self._rng.sample(others, min(1, len(others)))

    def _log_blocks(self) -> None:
        """Log the blocks that were added or dropped."""
        blocks = {block.parts: block for block in self.suspects.blocks}
        for parts in blocks.keys() - self._logged:
            log_event(
                'prompt_parts_blocked',
                parts=_format(parts),
                crashes=blocks[parts].crash_count,
            )
        for dropped in self._logged - blocks.keys():
            log_event('prompt_parts_unblocked', parts=_format(dropped))
        self._logged = set(blocks)


def _format(parts: Collection[PartKey]) -> str:
    return ','.join(f'{part:x}' for part in sorted(parts))
