"""Which VMs of the fleet are live: gossip, suspicion, incarnations."""

from collections.abc import Callable, Iterable, Iterator
from random import Random

from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.events import log_event, log_problem
from chicoryshunt.membership.composer import Composer
from chicoryshunt.membership.gossip import (
    Gossip,
    News,
    Probe,
    ProbeAnswer,
    ProbeRequest,
)
from chicoryshunt.membership.prober import Origin, Pending, Prober
from chicoryshunt.membership.roster import Roster, Update
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.types import Incarnation, VmId, VmState

PROBE_INTERVAL_SECONDS = 1.0
SUSPECT_SECONDS = 3.0
CONFIRM_SECONDS = 4.0
_JOIN_INTERVAL_SECONDS = 0.5
_JOIN_PROBES = 4
_HELPERS = 3
_FANOUT = 4
_CONFIRMATIONS = 3

Subscriber = Callable[[VmId, VmState], None]


class Membership:
    """Core that knows the members; times are seconds of a monotonic clock."""

    message_types = (Probe, ProbeAnswer, ProbeRequest, News)

    def __init__(
        self,
        own: PublishedVm,
        incarnation: Incarnation,
        rng: Random,
        now: float,
    ) -> None:
        """Start alone, with nothing confirmed."""
        self.own = own.vm
        self.roster = Roster(own, incarnation)
        self.is_superseded = False
        self._rng = rng
        self._prober = Prober(self.roster, rng)
        self._composer = Composer(self.roster)
        self._subscribers: list[Subscriber] = []
        self._raise: list[Callable[[Incarnation], None]] = []
        self._next_probe = now
        self._next_beat = now
        self._answers = 0
        self._confirm_at = now + CONFIRM_SECONDS
        self._is_established = False

    @property
    def incarnation(self) -> Incarnation:
        """Return this node's incarnation."""
        return self.roster.get_own().update.incarnation

    @property
    def is_leaving(self) -> bool:
        """Say whether this node leaves, by itself or by the list's mark."""
        return self.roster.find_state(self.own) is VmState.leaving

    def is_confirmed(self, now: float) -> bool:
        """Say whether others confirmed the roster since start or pause."""
        return self._answers >= _CONFIRMATIONS or now >= self._confirm_at

    def subscribe(self, notify: Subscriber) -> None:
        """Call ``notify(vm, state)`` after each change of a state."""
        self._subscribers.append(notify)

    def on_incarnation_raised(
        self, notify: Callable[[Incarnation], None]
    ) -> None:
        """Call ``notify(incarnation)`` when this node must take a higher."""
        self._raise.append(notify)

    def apply_vm_list(self, vms: Iterable[PublishedVm], now: float) -> None:
        """Follow the platform's list of VMs."""
        before = {one.published.vm: one.state for one in self.roster}
        for dropped in self.roster.apply_vm_list(vms, now):
            self._notify(dropped, VmState.gone)
        for member in self.roster:
            changed = member.published.vm
            if before.get(changed, VmState.gone) is not member.state:
                self._notify(changed, member.state)

    def leave(self, now: float) -> Iterator[Send]:
        """Announce that this node leaves; return the messages to send."""
        self._announce(VmState.leaving, self.incarnation, now)
        yield from self._push_urgent()

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Handle a message and return those to send."""
        match message:
            case Probe(number, gossip, join):
                self._take(gossip, now)
                yield self._answer(sender, number, gossip)
                if join:
                    yield from self._send_roster(sender)
            case ProbeAnswer(number, gossip):
                self._take(gossip, now)
                if gossip.digest != self.roster.digest:
                    yield Send(sender, News(self._composer.compose_chunk()))
                yield from self._finish(number)
            case ProbeRequest(number, subject, gossip):
                self._take(gossip, now)
                yield self._probe(subject, now, Origin(sender, number))
            case News(gossip):
                self._take(gossip, now)

    def tick(self, now: float) -> Iterator[Send]:
        """Do what is due and return the messages to send."""
        for expired in self.roster.list_suspects(now - SUSPECT_SECONDS):
            self._hear(
                Update(expired.vm, expired.incarnation, VmState.gone),
                now,
            )
        for failed in self._prober.drop_failed(now):
            self._suspect(failed.subject, now)
        for late in self._prober.find_late(now):
            yield from self._ask_helpers(late)
        if now >= self._next_beat:
            self._next_beat = now + PROBE_INTERVAL_SECONDS
            self.roster.get_own().beat += 1
        if now >= self._next_probe:
            yield from self._probe_next(now)
        yield from self._push_urgent()

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Treat what was true before a pause as unknown."""
        log_event('membership_unconfirmed', paused_seconds=paused_seconds)
        self._prober.reset()
        self._answers = 0
        self._confirm_at = now + CONFIRM_SECONDS
        self._next_probe = now
        for member in self.roster:
            member.since = now

    def _take(self, gossip: Gossip, now: float) -> None:
        for update in gossip.updates:
            if update.vm == self.own:
                self._hear_of_self(update, now)
            else:
                self._hear(update, now)
        self._composer.take_loads(gossip.loads)

    def _hear(self, update: Update, now: float) -> None:
        before = self.roster.find_state(update.vm)
        if not self.roster.apply(update, now):
            return
        self._composer.add(update)
        state = self.roster.find_state(update.vm)
        if state is not before:
            self._notify(update.vm, state)

    def _hear_of_self(self, update: Update, now: float) -> None:
        own = self.roster.get_own().update
        if not update.supersedes(own):
            return
        is_foreign = update.incarnation > own.incarnation
        if is_foreign and self._is_established:
            if not self.is_superseded:
                log_problem('vm_superseded', incarnation=update.incarnation)
            self.is_superseded = True
            return
        self._announce(own.state, update.incarnation, now)
        if is_foreign:
            for notify in self._raise:
                notify(self.incarnation)

    def _announce(
        self,
        state: VmState,
        above: Incarnation,
        now: float,
    ) -> None:
        self._hear(Update(self.own, Incarnation(above + 1), state), now)

    def _answer(self, sender: VmId, number: int, heard: Gossip) -> Send:
        updates = self._composer.find_doubt(sender)
        if heard.digest != self.roster.digest:
            updates = (*updates, *self._composer.take_chunk())
        return Send(
            sender,
            ProbeAnswer(number, self._composer.compose(updates)),
        )

    def _send_roster(self, receiver: VmId) -> Iterator[Send]:
        for part in self._composer.compose_roster():
            yield Send(receiver, News(part))

    def _finish(self, number: int) -> Iterator[Send]:
        pending = self._prober.finish(number)
        if pending is None:
            return
        if pending.origin is None:
            self._answers += 1
            self._is_established = True
            return
        yield Send(
            pending.origin.vm,
            ProbeAnswer(pending.origin.number, self._composer.compose()),
        )

    def _probe_next(self, now: float) -> Iterator[Send]:
        if self.is_confirmed(now):
            self._next_probe = now + PROBE_INTERVAL_SECONDS
            subject = self._prober.choose()
            if subject is not None:
                yield self._probe(subject, now)
            return
        self._next_probe = now + _JOIN_INTERVAL_SECONDS
        others = sorted(self.roster.published - {self.own})
        count = min(_JOIN_PROBES, len(others))
        for chosen in self._rng.sample(others, count):
            yield self._probe(chosen, now, join=not self._answers)

    def _probe(
        self,
        subject: VmId,
        now: float,
        origin: Origin | None = None,
        *,
        join: bool = False,
    ) -> Send:
        number = self._prober.start(subject, now, origin)
        doubt = self._composer.find_doubt(subject)
        return Send(
            subject,
            Probe(number, self._composer.compose(doubt), join),
        )

    def _ask_helpers(self, late: Pending) -> Iterator[Send]:
        others = [
            vm
            for vm in self.roster.list_serving()
            if vm not in {self.own, late.subject}
        ]
        count = min(_HELPERS, len(others))
        for chosen in self._rng.sample(others, count):
            gossip = self._composer.compose()
            yield Send(
                chosen,
                ProbeRequest(late.number, late.subject, gossip),
            )

    def _push_urgent(self) -> Iterator[Send]:
        gossip = self._composer.compose_urgent()
        if gossip is None:
            return
        others = self.roster.list_others()
        count = min(_FANOUT, len(others))
        for chosen in self._rng.sample(others, count):
            yield Send(chosen, News(gossip))

    def _suspect(self, vm: VmId, now: float) -> None:
        member = self.roster.find(vm)
        if member is None or member.update.state is VmState.gone:
            return
        incarnation = member.update.incarnation
        self._hear(Update(vm, incarnation, VmState.suspect), now)

    def _notify(self, vm: VmId, state: VmState) -> None:
        log_event('vm_state', vm=vm, state=state.value)
        for notify in self._subscribers:
            notify(vm, state)
