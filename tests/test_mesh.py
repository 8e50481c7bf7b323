"""Tests of the datagrams between nodes."""

from typing import Any, cast

import msgspec
import pytest

from chicoryshunt.clock import ManualClock
from chicoryshunt.membership.gossip import Gossip, News, Probe
from chicoryshunt.membership.membership import Membership
from chicoryshunt.membership.roster import Update
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.core import Send
from chicoryshunt.nodes.links import Links
from chicoryshunt.nodes.mesh import MAX_DATAGRAM_BYTES, Mesh
from chicoryshunt.nodes.pause import PauseDetector
from chicoryshunt.types import Incarnation, VmId, VmState
from lab.models.network import build_vm
from tests.builders import (
    FLEET_KEY,
    build_membership,
    build_seal,
)

_OWN = VmId('vm-1')
_PEER = VmId('vm-2')


class Transport:
    """Keeps what was sent."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def write(self, datagram: bytes, address: object) -> None:
        self.sent.append(datagram)


class Node:
    """A mesh with a membership core and a fake transport."""

    def __init__(self) -> None:
        self.vms = [build_vm('vm-1'), build_vm('vm-2')]
        self.links = Links()
        self.links.update_addresses(self.vms)
        self.metrics = Metrics()
        self.membership: Membership = build_membership(self.vms)
        self.mesh = Mesh(
            build_seal(_OWN),
            self.links,
            PauseDetector(ManualClock()),
            self.metrics,
            [self.membership],
        )
        self.transport = Transport()
        cast(Any, self.mesh).transport = self.transport

    def count_dropped(self, reason: str) -> float:
        return self.metrics.get('datagrams_dropped', reason=reason)


@pytest.fixture
def node() -> Node:
    return Node()


def _seal_probe(key: str = FLEET_KEY, vm: VmId = _OWN) -> bytes:
    gone = Update(_PEER, Incarnation(9), VmState.live)
    body = msgspec.msgpack.encode(Probe(1, Gossip(0, (gone,))))
    return build_seal(_PEER, key=key).seal(vm, body)


def test_probe_is_answered(node: Node) -> None:
    node.mesh.datagramReceived(_seal_probe(), ('127.0.0.1', 9))
    assert len(node.transport.sent) == 1
    assert node.membership.roster.find_state(_PEER) is VmState.live


def test_replayed_datagram_changes_nothing(node: Node) -> None:
    datagram = _seal_probe()
    for _ in range(3):
        node.mesh.datagramReceived(datagram, ('127.0.0.1', 9))
    assert len(node.transport.sent) == 1
    assert node.count_dropped('replayed') == 2


@pytest.mark.parametrize(
    ('datagram', 'reason'),
    [
        (b'', 'forged'),
        (b'x' * 40, 'forged'),
        (b'x' * (MAX_DATAGRAM_BYTES + 1), 'oversized'),
        (_seal_probe()[:-1], 'forged'),
        (_seal_probe(key='11' * 32), 'forged'),
        (_seal_probe(vm=VmId('vm-3')), 'misdirected'),
        (build_seal(_PEER).seal(_OWN, b'\xc1'), 'malformed'),
        (build_seal(_PEER).seal(_OWN, b'\x93\xa2mp\x01\xc0'), 'undecodable'),
        (build_seal(_PEER).seal(_OWN, b'\x91\xa2zz'), 'undecodable'),
    ],
)
def test_bad_datagram_changes_nothing(
    node: Node,
    datagram: bytes,
    reason: str,
) -> None:
    digest = node.membership.roster.digest
    node.mesh.datagramReceived(datagram, ('127.0.0.1', 9))
    assert node.count_dropped(reason) == 1
    assert node.membership.roster.digest == digest
    assert not node.transport.sent


def test_cut_vm_is_neither_heard_nor_reached(node: Node) -> None:
    node.links.cut([_PEER])
    node.mesh.datagramReceived(_seal_probe(), ('127.0.0.1', 9))
    node.mesh.send_all([Send(_PEER, News(Gossip(0)))])
    assert not node.transport.sent
    assert node.membership.roster.find_state(_PEER) is VmState.gone


def test_oversized_message_is_not_sent(node: Node) -> None:
    updates = tuple(
        Update(VmId(f'vm-{number}'), Incarnation(1), VmState.live)
        for number in range(200)
    )
    node.mesh.send_all([Send(_PEER, News(Gossip(0, updates)))])
    assert not node.transport.sent
