"""Spreads the configuration between the nodes."""

import random
from collections.abc import Iterable, Iterator
from math import inf

import msgspec

from chicoryshunt.configuration.config_joining import Joining
from chicoryshunt.configuration.config_messages import (
    ConfigHead,
    ConfigLines,
    ConfigOffer,
    PullAnswer,
    PullRequest,
)
from chicoryshunt.configuration.config_readers import ReaderElection
from chicoryshunt.configuration.config_serving import PullServer, build_push
from chicoryshunt.configuration.configuration import Configuration
from chicoryshunt.events import log_problem
from chicoryshunt.membership.members import Members
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.types import VmId
from chicoryshunt.version.chain import Head, Relation
from chicoryshunt.version.replica import Segment, Snapshot, UpdateResult

ADVERT_SECONDS = 1.0
JOIN_ADVERT_SECONDS = 0.3
CONFIRM_SECONDS = 3.0
FANOUT = 3


class ConfigGossip:
    """Core that tells peers of new patches and asks for missing ones."""

    message_types: tuple[type[Message], ...] = (
        ConfigHead,
        ConfigLines,
        ConfigOffer,
    )

    def __init__(
        self,
        own: VmId,
        configuration: Configuration,
        joining: Joining,
        readers: ReaderElection,
        members: Members,
        rng: random.Random,
    ) -> None:
        """Start with a question to some peers."""
        self._own = own
        self._configuration = configuration
        self._joining = joining
        self._readers = readers
        self._members = members
        self._rng = rng
        self._pulls = PullServer()
        self._offers: dict[VmId, None] = {}
        self._told = configuration.head
        self._next_advert = -inf
        self._confirm_until = -inf

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterable[Send]:
        """Handle a message and return those to send."""
        match message:
            case ConfigHead():
                yield from self._receive_head(sender, message, now)
            case ConfigLines():
                yield from self._receive_lines(sender, message, now)
            case ConfigOffer(head=head):
                self._receive_offer(sender, head, now)

    def tick(self, now: float) -> Iterable[Send]:
        """Tell new patches, and ask a peer from time to time."""
        self._joining.tick(now)
        if now >= self._confirm_until:
            self._configuration.is_confirmed = True
        yield from self._tell_news(now)
        if now >= self._next_advert:
            self._pulls.drop()
            yield from self._ask_peers(now)

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Ask peers before the configuration is trusted again."""
        self._configuration.is_confirmed = False
        self._confirm_until = now + CONFIRM_SECONDS
        self._next_advert = now

    def take_offer(self) -> VmId | None:
        """Return a peer to pull from."""
        return self._offers.popitem()[0] if self._offers else None

    def build_pull_request(self) -> PullRequest:
        """Return the request for everything that this node misses."""
        return PullRequest(self._configuration.head)

    def answer_pull(self, request: PullRequest) -> PullAnswer:
        """Return everything that another node misses."""
        return self._pulls.answer(self._configuration.replica, request.head)

    def apply_pull(self, sender: VmId, answer: PullAnswer) -> None:
        """Use the answer to a pull."""
        if not answer.snapshot:
            self._configuration.extend(
                Segment(answer.position, answer.digest, answer.lines),
                sender,
            )
            return
        try:
            snapshot = msgspec.msgpack.decode(answer.snapshot, type=Snapshot)
        except msgspec.DecodeError as error:
            log_problem('snapshot_undecodable', sender=sender, error=error)
            return
        self._configuration.adopt(snapshot, sender)

    def _receive_head(
        self,
        sender: VmId,
        message: ConfigHead,
        now: float,
    ) -> Iterator[Send]:
        self._readers.record_read(now, message.read_age_ms)
        match self._configuration.compare(message.head, sender):
            case Relation.behind | Relation.unknown:
                self._confirm()
                yield from self._push(sender, message.head)
                return
            case Relation.ahead:
                yield self._build_head(sender, now, is_question=True)
                return
            case Relation.same:
                self._confirm()
        if message.is_question:
            yield self._build_head(sender, now, is_question=False)

    def _push(self, receiver: VmId, head: Head) -> Iterator[Send]:
        push = build_push(self._configuration.replica, head.position)
        if push is not None:
            yield Send(receiver, push)

    def _receive_lines(
        self,
        sender: VmId,
        message: ConfigLines,
        now: float,
    ) -> Iterator[Send]:
        outcome = self._configuration.extend(
            Segment(message.position, message.digest, message.lines),
            sender,
        )
        if outcome is UpdateResult.forked:
            return
        yield from self._tell_news(now)
        if message.last > self._configuration.head.position:
            yield self._build_head(sender, now, is_question=True)
        else:
            self._confirm()

    def _receive_offer(self, sender: VmId, head: Head, now: float) -> None:
        if self._configuration.compare(head, sender) is Relation.ahead:
            self._offers[sender] = None
            self._joining.record_offer(now)

    def _tell_news(self, now: float) -> Iterator[Send]:
        before = self._told
        self._told = self._configuration.head
        if self._told == before:
            return
        push = build_push(self._configuration.replica, before.position)
        for peer in self._choose_peers(FANOUT):
            if isinstance(push, ConfigLines):
                yield Send(peer, push)
            else:
                yield self._build_head(peer, now, is_question=True)

    def _ask_peers(self, now: float) -> Iterator[Send]:
        is_urgent = (
            self._joining.is_joining or not self._configuration.is_confirmed
        )
        interval = JOIN_ADVERT_SECONDS if is_urgent else ADVERT_SECONDS
        self._next_advert = now + interval
        for peer in self._choose_peers(FANOUT if is_urgent else 1):
            yield self._build_head(peer, now, is_question=True)

    def _choose_peers(self, count: int) -> list[VmId]:
        others = [vm for vm in self._members.published if vm != self._own]
        return self._rng.sample(others, min(count, len(others)))

    def _build_head(
        self,
        receiver: VmId,
        now: float,
        *,
        is_question: bool,
    ) -> Send:
        age = self._readers.get_age_ms(now)
        head = self._configuration.head
        return Send(receiver, ConfigHead(head, age, is_question))

    def _confirm(self) -> None:
        self._configuration.is_confirmed = True
