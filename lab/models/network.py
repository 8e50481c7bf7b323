"""Fake network that delivers messages between the cores of nodes."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from random import Random

import msgspec

from chicoryshunt.clock import ManualClock
from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.nodes.core import Core, Message, Send
from chicoryshunt.nodes.pause import PauseDetector
from chicoryshunt.types import DataCentreId, VmId

# Envelope of a datagram and its headers of UDP and IP.
HEADER_BYTES = 98


@dataclass(frozen=True)
class PendingMessage:
    """Message in transit."""

    sender: VmId
    receiver: VmId
    message: Message
    # Monotonic time in seconds before which it is not delivered.
    due: float = 0


class Host:
    """Cores of one node with the detector of pauses of its process."""

    def __init__(self, cores: tuple[Core, ...], clock: ManualClock) -> None:
        self.cores = cores
        self.is_paused = False
        self._pause_detector = PauseDetector(clock)
        for core in cores:
            self._pause_detector.subscribe(core.handle_pause)

    def check(self) -> float:
        return self._pause_detector.check()

    def tick(self) -> Iterator[Send]:
        now = self._pause_detector.check()
        for core in self.cores:
            yield from core.tick(now)

    def receive(self, sender: VmId, message: Message) -> Iterable[Send]:
        now = self._pause_detector.check()
        for core in self.cores:
            if isinstance(message, core.message_types):
                return core.receive(sender, message, now)
        raise AssertionError(f'no core receives {message!r}')


class Network:
    """Delivers, loses, duplicates, delays and reorders messages.

    ``loss`` and ``duplication`` are probabilities: with ``loss`` 1 nothing
    arrives. ``lateness`` is the longest additional transit in seconds.
    """

    def __init__(self, clock: ManualClock, rng: Random) -> None:
        self.clock = clock
        self.hosts: dict[VmId, Host] = {}
        self.loss: float = 0
        self.duplication: float = 0
        self.lateness: float = 0
        self.messages: Counter[str] = Counter()
        # Counts messages that are passed on by what they carry.
        self.payloads: Counter[str] = Counter()
        self.bytes_sent: Counter[VmId] = Counter()
        self._rng = rng
        self._pending: list[PendingMessage] = []
        self._sides: list[frozenset[VmId]] = []

    def disturb(self, share: float, lateness: float = 0) -> None:
        """Lose and duplicate a share of the messages, and delay them."""
        self.loss = share
        self.duplication = share
        self.lateness = lateness

    def cut(self, side: Iterable[VmId]) -> None:
        self._sides.append(frozenset(side))

    def heal(self) -> None:
        self._sides.clear()

    def is_cut(self, one: VmId, other: VmId) -> bool:
        return any((one in side) != (other in side) for side in self._sides)

    def send(self, sender: VmId, sends: Iterable[Send]) -> None:
        for one in sends:
            self.messages[type(one.message).__name__] += 1
            payload = getattr(one.message, 'payload', one.message)
            self.payloads[type(payload).__name__] += 1
            self.bytes_sent[sender] += HEADER_BYTES + len(
                msgspec.msgpack.encode(one.message)
            )
            is_lost = self._rng.random() < self.loss
            is_duplicated = self._rng.random() < self.duplication
            if is_lost:
                continue
            for _ in range(1 + is_duplicated):
                self._pending.append(
                    PendingMessage(
                        sender, one.receiver, one.message, self._draw_due()
                    )
                )

    def run(self, seconds: float, step: float = 0.1) -> None:
        """Advance the clock; each message takes up to one step."""
        for _ in range(round(seconds / step)):
            self.clock.advance(step)
            self.deliver()
            for vm, host in tuple(self.hosts.items()):
                if not host.is_paused:
                    self.send(vm, host.tick())

    def deliver(self) -> None:
        pending_messages = self._pending
        self._pending = []
        self._rng.shuffle(pending_messages)
        for pending in pending_messages:
            host = self.hosts.get(pending.receiver)
            if host is None or self.is_cut(pending.sender, pending.receiver):
                continue
            if self._is_held(host, pending):
                self._pending.append(pending)
                continue
            answers = host.receive(pending.sender, pending.message)
            self.send(pending.receiver, answers)

    def _is_held(self, host: Host, pending: PendingMessage) -> bool:
        return host.is_paused or pending.due > self.clock.now()

    def _draw_due(self) -> float:
        if not self.lateness:
            return 0
        return self.clock.now() + self._rng.random() * self.lateness


def build_vm(
    name: str,
    data_centre: str = 'luzon-a',
    *,
    leaving: bool = False,
) -> PublishedVm:
    """Return one VM of the platform's list."""
    return PublishedVm(
        VmId(name),
        DataCentreId(data_centre),
        caller=f'{name}:1',
        peer=f'{name}:2',
        gossip='127.0.0.1:3',
        leaving=leaving,
    )
