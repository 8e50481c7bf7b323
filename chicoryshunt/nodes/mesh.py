"""Sends and receives sealed datagrams and dispatches them to cores."""

import functools
import operator
from collections.abc import Iterable, Sequence
from typing import Any, cast

import msgspec
from twisted.internet.protocol import DatagramProtocol

from chicoryshunt.events import log_problem
from chicoryshunt.failures import contain_failure
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.core import Core, Message, Send
from chicoryshunt.nodes.links import Links
from chicoryshunt.nodes.pause import PauseDetector
from chicoryshunt.nodes.seal import DropReason, Seal
from chicoryshunt.types import VmId

MAX_DATAGRAM_BYTES = 1400


class Mesh(DatagramProtocol):
    """UDP protocol that carries the messages of the cores."""

    def __init__(
        self,
        seal: Seal,
        links: Links,
        pause_detector: PauseDetector,
        metrics: Metrics,
        cores: Sequence[Core],
    ) -> None:
        """Dispatch each message type to the core that receives it."""
        self._seal = seal
        self._links = links
        self._pause_detector = pause_detector
        for core in cores:
            pause_detector.subscribe(core.handle_pause)
        self._metrics = metrics
        self._cores = {kind: one for one in cores for kind in one.message_types}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_build_union(self._cores))

    def send_all(self, sends: Iterable[Send]) -> None:
        """Send messages; drop those whose receiver has no known address.

        A message that cannot be encoded is logged and does not stop others.
        """
        for send in sends:
            with contain_failure(
                'datagram_not_sent',
                kind=type(send.message).__name__,
                receiver=send.receiver,
            ):
                self._send(send.receiver, send.message)

    def datagramReceived(self, datagram: bytes, addr: object) -> None:
        """Verify, decode and dispatch one datagram; send the replies."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self._drop('oversized', addr)
            return
        envelope = self._seal.open(datagram)
        if isinstance(envelope, DropReason):
            self._drop(envelope.value, addr)
            return
        if self._links.is_cut(envelope.sender):
            return
        try:
            message = self._decoder.decode(envelope.body)
        except msgspec.DecodeError:
            self._drop('undecodable', addr)
            return
        core = self._cores[type(message)]
        with contain_failure(
            'datagram_failed',
            kind=type(message).__name__,
            sender=envelope.sender,
        ):
            self.send_all(
                core.receive(
                    envelope.sender, message, self._pause_detector.check()
                ),
            )

    def _send(self, receiver: VmId, message: Message) -> None:
        address = self._links.find_gossip(receiver)
        if address is None:
            return
        datagram = self._seal.seal(receiver, self._encoder.encode(message))
        if len(datagram) > MAX_DATAGRAM_BYTES:
            log_problem(
                'datagram_too_large',
                kind=type(message).__name__,
                size=len(datagram),
            )
            return
        cast(Any, self.transport).write(datagram, tuple(address))
        self._metrics.add(
            'datagram_bytes_sent',
            'Bytes sent in datagrams',
            len(datagram),
            kind=type(message).__name__,
        )
        self._metrics.count('datagrams_sent', 'Datagrams sent')

    def _drop(self, reason: str, addr: object) -> None:
        self._metrics.count(
            'datagrams_dropped',
            'Datagrams dropped, by reason',
            reason=reason,
        )
        log_problem('datagram_dropped', reason=reason, sender=addr)


def _build_union(message_types: Iterable[type[Message]]) -> Any:
    return functools.reduce(operator.or_, cast(Any, message_types))
