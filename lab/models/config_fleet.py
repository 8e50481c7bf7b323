"""Configuration cores of several nodes on a fake network and service."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from chicoryshunt.configuration.config_assembly import (
    ConfigParts,
    build_configuration,
)
from chicoryshunt.configuration.configuration import Configuration
from chicoryshunt.configuration.log_importer import BaseNeeded
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.types import DataCentreId, LogPosition, VmId
from chicoryshunt.version.config import Config
from chicoryshunt.version.fold import fold_line
from chicoryshunt.version.published import format_log, split_base

TICK_SECONDS = 0.1
_READ_SECONDS = 0.5


class FakeService:
    """Published base and log, with limits on what a read returns."""

    def __init__(self, base: Config) -> None:
        """Publish a base with an empty log."""
        self.configs = [base]
        self.lines: list[bytes] = []
        self.is_down = False
        self.shown: int | None = None
        self.cut_bytes = 0
        self.unreachable: frozenset[VmId] = frozenset()
        self.reads = 0
        self.base = LogPosition(0)

    def append(self, line: bytes) -> None:
        """Append a patch."""
        self.lines.append(line)
        self.configs.append(fold_line(self.configs[-1], line).config)

    def compact(self) -> None:
        """Publish the latest version as the base of an empty log."""
        self.base = LogPosition(len(self.lines))

    def read(self, reader: VmId) -> tuple[bytes, tuple[bytes, ...]] | None:
        """Return the log and the shards of its base, or None if unreachable."""
        self.reads += 1
        if self.is_down or reader in self.unreachable:
            return None
        shown = len(self.lines) if self.shown is None else self.shown
        start = min(self.base, shown)
        earlier = tuple(config.digest for config in self.configs[:start])
        header, values = split_base(self.configs[start], earlier)
        text = format_log(header, self.lines[start:shown])
        return text[: max(0, len(text) - self.cut_bytes)], values


@dataclass(slots=True)
class FakeNode:
    """Configuration core of one node."""

    vm: VmId
    data_centre: DataCentreId
    configuration: Configuration
    parts: ConfigParts
    is_up: bool = True
    next_read: float = 0


@dataclass(slots=True)
class FakeLinks:
    """Faults of the links: seconds and probabilities for each message."""

    delay: float = 0.005
    jitter: float = 0
    loss: float = 0
    duplication: float = 0
    cut: frozenset[VmId] = frozenset()

    def is_cut(self, one: VmId, other: VmId) -> bool:
        """Return whether a partition separates two nodes."""
        return (one in self.cut) != (other in self.cut)


class _PendingMessage(NamedTuple):
    """Message in transit; ``number`` keeps the order at equal times."""

    at: float
    number: int
    sender: VmId
    receiver: VmId
    message: Message


@dataclass(slots=True)
class FakeFleet:
    """Nodes, links and the configuration service on a virtual clock."""

    service: FakeService
    rng: random.Random
    links: FakeLinks = field(default_factory=FakeLinks)
    nodes: dict[VmId, FakeNode] = field(default_factory=dict)
    now: float = 0
    sent_bytes: Counter[VmId] = field(default_factory=Counter)
    sent_messages: Counter[VmId] = field(default_factory=Counter)
    _queue: list[_PendingMessage] = field(
        default_factory=list,
    )
    _numbers: 'itertools.count[int]' = field(default_factory=itertools.count)

    def start(self, vm: VmId, data_centre: DataCentreId) -> None:
        """Start a node, or restart it without its state."""
        metrics = Metrics()
        configuration = Configuration(metrics)
        parts = build_configuration(
            configuration,
            vm,
            data_centre,
            _FakeMembers(self, vm),
            random.Random(self.rng.random()),
            metrics,
        )
        offset = self.rng.uniform(0, _READ_SECONDS)
        self.nodes[vm] = FakeNode(
            vm,
            data_centre,
            configuration,
            parts,
            next_read=self.now + offset,
        )

    def stop(self, vm: VmId) -> None:
        """Stop a node without notice."""
        self.nodes[vm].is_up = False

    def run(self, seconds: float) -> None:
        """Advance the clock, run the live nodes and deliver messages."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_SECONDS
            for node in tuple(self.nodes.values()):
                if node.is_up:
                    self._tick(node)
            self._deliver()

    def count_behind(self) -> int:
        """Return the number of live nodes that miss published patches."""
        position = len(self.service.lines)
        return sum(
            node.configuration.head.position < position
            for node in self.nodes.values()
            if node.is_up
        )

    def _tick(self, node: FakeNode) -> None:
        self._send(node.vm, node.parts.gossip.tick(self.now))
        peer = node.parts.gossip.take_offer()
        if peer is not None:
            self._pull(node, peer)
        if self.now >= node.next_read:
            node.next_read = self.now + _READ_SECONDS
            if node.parts.importer.readers.should_read(self.now):
                self._read(node)

    def _read(self, node: FakeNode) -> None:
        published = self.service.read(node.vm)
        if published is None:
            return
        text, values = published
        use = node.parts.importer.apply_log(text, self.now)
        if isinstance(use, BaseNeeded):
            node.parts.importer.apply_base(use.header, values)
            node.parts.importer.apply_log(text, self.now)

    def _pull(self, node: FakeNode, peer: VmId) -> None:
        other = self.nodes[peer]
        if not other.is_up or self.links.is_cut(node.vm, peer):
            return
        request = node.parts.gossip.build_pull_request()
        answer = other.parts.gossip.answer_pull(request)
        self.sent_bytes[peer] += len(msgspec.msgpack.encode(answer))
        node.parts.gossip.apply_pull(peer, answer)

    def _send(self, sender: VmId, sends: Iterable[Send]) -> None:
        for one in sends:
            encoded = msgspec.msgpack.encode(one.message)
            self.sent_bytes[sender] += len(encoded)
            self.sent_messages[sender] += 1
            if self.rng.random() < self.links.loss:
                continue
            self._enqueue(sender, one)
            if self.rng.random() < self.links.duplication:
                self._enqueue(sender, one)

    def _enqueue(self, sender: VmId, one: Send) -> None:
        delay = self.links.delay + self.rng.uniform(0, self.links.jitter)
        heapq.heappush(
            self._queue,
            _PendingMessage(
                self.now + delay,
                next(self._numbers),
                sender,
                one.receiver,
                one.message,
            ),
        )

    def _deliver(self) -> None:
        while self._queue and self._queue[0].at <= self.now:
            pending = heapq.heappop(self._queue)
            node = self.nodes[pending.receiver]
            is_cut = self.links.is_cut(pending.sender, pending.receiver)
            if node.is_up and not is_cut:
                gossip = node.parts.gossip
                self._send(
                    node.vm,
                    gossip.receive(pending.sender, pending.message, pending.at),
                )


@dataclass(frozen=True, slots=True)
class _FakeMembers:
    """Members of the fleet as one node sees them."""

    fleet: FakeFleet
    own: VmId

    def list_live(
        self,
        data_centre: DataCentreId | None = None,
    ) -> Sequence[VmId]:
        """Return the nodes that are up and reachable."""
        return [
            node.vm
            for node in self.fleet.nodes.values()
            if node.is_up
            and data_centre in {None, node.data_centre}
            and not self.fleet.links.is_cut(self.own, node.vm)
        ]

    @property
    def published(self) -> Collection[VmId]:
        """Return every node, up or not."""
        return list(self.fleet.nodes)


def build_fleet(
    base: Config,
    nodes: int,
    data_centres: int,
    seed: int,
) -> FakeFleet:
    """Return a fleet whose nodes have just started."""
    fleet = FakeFleet(FakeService(base), random.Random(seed))
    for number in range(nodes):
        fleet.start(
            VmId(f'vm-{number}'),
            DataCentreId(f'data-centre-{number % data_centres}'),
        )
    return fleet
