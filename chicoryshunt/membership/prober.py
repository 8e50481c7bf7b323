"""Chooses the VM to probe next and tracks unanswered probes."""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from chicoryshunt.membership.roster import Roster
from chicoryshunt.types import VmId, VmState

DIRECT_TIMEOUT_SECONDS = 0.4
PROBE_TIMEOUT_SECONDS = 1.2
_GONE_PROBE_INTERVAL = 4
_GONE = frozenset((VmState.gone,))


@dataclass(slots=True)
class Origin:
    """The node that requested a probe, and its number for that probe."""

    vm: VmId
    number: int


@dataclass(slots=True)
class Pending:
    """An unanswered probe; ``origin`` is the node that requested it.

    ``has_requests``: other nodes were asked to probe the VM as well.
    """

    number: int
    subject: VmId
    sent: float
    origin: Origin | None = None
    has_requests: bool = False


class Prober:
    """Chooses members in shuffled rounds, and at times one that is gone."""

    def __init__(self, roster: Roster, rng: Random) -> None:
        """Start without pending probes."""
        self._roster = roster
        self._rng = rng
        self._number = 0
        self._pending: dict[int, Pending] = {}
        self._round: list[VmId] = []

    def start(
        self,
        subject: VmId,
        now: float,
        origin: Origin | None = None,
    ) -> int:
        """Record a probe that is being sent and return its number."""
        self._number += 1
        pending = Pending(self._number, subject, now, origin)
        self._pending[self._number] = pending
        return self._number

    def choose(self) -> VmId | None:
        """Return the VM to probe next, if there is any."""
        gone = self._roster.list_in(_GONE)
        if gone and self._number % _GONE_PROBE_INTERVAL == 0:
            return self._rng.choice(gone)
        while self._round:
            vm = self._round.pop()
            member = self._roster.find(vm)
            if member is not None and member.state is not VmState.gone:
                return vm
        self._round = self._roster.list_others()
        self._rng.shuffle(self._round)
        if self._round:
            return self._round.pop()
        return self._rng.choice(gone) if gone else None

    def finish(self, number: int) -> Pending | None:
        """Remove an answered probe and return it, if it is pending."""
        return self._pending.pop(number, None)

    def take_late(self, now: float) -> Iterator[Pending]:
        """Yield own probes that other nodes should repeat, once each."""
        for pending in self._pending.values():
            is_late = now - pending.sent >= DIRECT_TIMEOUT_SECONDS
            if is_late and not pending.has_requests and pending.origin is None:
                pending.has_requests = True
                yield pending

    def drop_failed(self, now: float) -> list[Pending]:
        """Remove the probes that timed out and return this node's own."""
        failed = [
            pending
            for pending in self._pending.values()
            if now - pending.sent >= PROBE_TIMEOUT_SECONDS
        ]
        for pending in failed:
            self._pending.pop(pending.number)
        return [one for one in failed if one.origin is None]

    def reset(self) -> None:
        """Remove every pending probe."""
        self._pending.clear()
