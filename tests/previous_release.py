"""Messages and a node of the previous release, as far as runs go."""

from collections.abc import Iterable, Iterator

import msgspec

from chicoryshunt.clock import ManualClock
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.nodes.links import Links
from chicoryshunt.nodes.mesh import Mesh
from chicoryshunt.nodes.pause import PauseDetector
from chicoryshunt.types import RequestId, TargetId, VmId
from tests.builders import build_seal

_OWN, _PEER = VmId('vm-1'), VmId('vm-2')


class PlacedRun(msgspec.Struct, frozen=True, array_like=True):
    request: RequestId
    target: TargetId
    prompt_tokens: int
    expected_tokens: int
    max_tokens: int
    age: float


class RunNews(msgspec.Struct, frozen=True, array_like=True, tag='wn'):
    placed: tuple[PlacedRun, ...] = ()
    ended: tuple[RequestId, ...] = ()
    stranded: tuple[RequestId, ...] = ()


class RunList(msgspec.Struct, frozen=True, array_like=True, tag='wl'):
    round: int
    part: int
    parts: int
    runs: tuple[PlacedRun, ...]


class Passed(msgspec.Struct, frozen=True, array_like=True, tag='bp'):
    origin: VmId
    payload: RunNews | RunList
    is_for_all: bool


class PreviousNode:
    """A node that records the messages that it knows."""

    message_types = (RunNews, RunList, Passed)

    def __init__(self) -> None:
        self.received: list[Message] = []
        self.metrics = Metrics()
        self._mesh = Mesh(
            build_seal(_OWN),
            Links(),
            PauseDetector(ManualClock()),
            self.metrics,
            [self],
        )

    def accept(self, messages: Iterable[Message]) -> None:
        """Take datagrams of another node."""
        seal = build_seal(_PEER)
        for message in messages:
            datagram = seal.seal(_OWN, msgspec.msgpack.encode(message))
            self._mesh.datagramReceived(datagram, ('127.0.0.1', 9))

    def receive(
        self, sender: VmId, message: Message, now: float
    ) -> Iterator[Send]:
        self.received.append(message)
        return iter(())

    def tick(self, now: float) -> Iterator[Send]:
        return iter(())

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Do nothing."""
