"""Synthetic peers of one real node, all in one process on one port.

They say what real nodes would say to it: answers to its probes, claims and
questions, and probes, claims and questions at the rate of a whole fleet.
"""

import asyncio
from random import Random
from typing import Any, cast

import msgspec
from absl import flags
from twisted.internet.protocol import DatagramProtocol

from chicoryshunt.configuration.config_messages import ConfigHead
from chicoryshunt.connection import loop
from chicoryshunt.limits.claims import (
    Claim,
    Claims,
    Grant,
    Grants,
    LeaseTimes,
    Release,
)
from chicoryshunt.limits.voters import find_share
from chicoryshunt.membership.gossip import (
    Gossip,
    MemberLoad,
    News,
    Probe,
    ProbeAnswer,
    ProbeRequest,
)
from chicoryshunt.membership.roster import Update
from chicoryshunt.nodes.core import Message
from chicoryshunt.nodes.seal import DropReason, Envelope, Purpose, Seal
from chicoryshunt.policy.slots import LoadSnapshot
from chicoryshunt.types import Incarnation, TargetId, VmId, VmState
from lab.benchmarks.scale_plan import (
    CONCURRENT,
    FLEET_KEY,
    MEMORY_TOKENS,
    Ports,
    Size,
    build_config,
    choose_all_voters,
    list_vms,
)
from lab.standins.daemon import parse_flags

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('port', 0, 'port of all peers', flag_values=_FLAGS)
flags.DEFINE_integer('gossip', 0, 'port of the node', flag_values=_FLAGS)
flags.DEFINE_string('node', '', 'name of the node', flag_values=_FLAGS)
flags.DEFINE_integer('nodes', 360, 'nodes', flag_values=_FLAGS)
flags.DEFINE_integer('targets', 600, 'targets', flag_values=_FLAGS)

_MAC_BYTES = 16
_INCARNATION = Incarnation(1_000)
_ROSTER_PART = 30
_LOADS = 6
_PROBE_SECONDS = 1.0
_USED = 4

Received = (
    Probe
    | ProbeAnswer
    | ProbeRequest
    | News
    | Claims
    | Grants
    | Release
    | ConfigHead
)


class Holder:
    """One synthetic VM's claims on one target that the node keeps."""

    def __init__(self, vm: VmId, target: TargetId, panel: Any) -> None:
        """Start without a grant."""
        self.vm = vm
        self._target = target
        seat = find_share(panel, vm)
        assert seat is not None
        self._seats = (seat,)
        self._number = 0
        self._grant: Grant | None = None
        self._account = 0

    def take(self, grant: Grant) -> None:
        """Take a grant of the node."""
        self._grant = grant
        if grant.excess is not None:
            self._account = grant.excess_version

    def claim(self, rng: Random) -> Claim:
        """Return the next claim."""
        self._number += 1
        grant = self._grant
        slots = 0 if grant is None else grant.slots
        used = rng.randint(0, min(slots, _USED))
        return Claim(
            self._target,
            self._number,
            used,
            used,
            slots,
            used + rng.randint(0, 2),
            0 if grant is None else grant.grant_number,
            () if grant is None else self._seats,
            self._account,
        )


class Peers(DatagramProtocol):
    """Every synthetic peer, each with its own seal."""

    def __init__(self, size: Size, ports: Ports, node: VmId) -> None:
        """Learn from the plan who keeps what."""
        vms = list_vms(size, ports, node)
        panels = choose_all_voters(build_config(size, ''), vms)
        self._node = node
        self._vms = [one.vm for one in vms if one.vm != node]
        self._address = ('127.0.0.1', ports.gossip)
        self._rng = Random(1)
        self._seals = {vm: _build_seal(vm) for vm in self._vms}
        self._decoder = msgspec.msgpack.Decoder(Received)
        self._envelopes = msgspec.msgpack.Decoder(Envelope)
        self._digest = 0
        self._answer = 0
        self._beat = 0
        self._head: ConfigHead | None = None
        self._holders = {
            (vm, target): Holder(vm, target, panel)
            for target, panel in panels.items()
            if panel[0] == node
            for vm in panel[1:]
        }

    async def probe(self) -> None:
        """Probe the node and ask for its head as often as a fleet does."""
        while True:
            await asyncio.sleep(_PROBE_SECONDS)
            self._beat += 1
            sender = self._rng.choice(self._vms)
            self._send(sender, Probe(self._beat, self._build_gossip()))
            if self._head is not None:
                asked = msgspec.structs.replace(self._head, is_question=True)
                self._send(self._rng.choice(self._vms), asked)

    async def renew(self) -> None:
        """Renew the claims on what the node keeps."""
        interval = LeaseTimes().interval
        while True:
            holders = list(self._holders.values())
            for holder in holders:
                claims = Claims(_INCARNATION, (holder.claim(self._rng),))
                self._send(holder.vm, claims)
                await asyncio.sleep(interval / len(holders))
            if not holders:
                await asyncio.sleep(interval)

    def datagramReceived(self, datagram: bytes, addr: object) -> None:
        """Answer as the receiver would."""
        receiver = self._envelopes.decode(datagram[_MAC_BYTES:]).receiver
        envelope = self._seals[receiver].open(datagram)
        if isinstance(envelope, DropReason):
            return
        try:
            message = self._decoder.decode(envelope.body)
        except msgspec.ValidationError:
            return
        self._handle(receiver, message)

    def _handle(self, receiver: VmId, message: Received) -> None:
        match message:
            case Probe(number, gossip, join):
                self._digest = gossip.digest
                if join:
                    self._send_roster(receiver)
                answer = ProbeAnswer(number, self._build_gossip())
                self._send(receiver, answer)
            case ProbeAnswer(_, gossip):
                self._digest = gossip.digest
            case Claims(_, claims):
                grants = tuple(self._grant(claim) for claim in claims)
                self._send(receiver, Grants(grants))
            case Grants(grants):
                for grant in grants:
                    self._holders[(receiver, grant.target)].take(grant)
            case ConfigHead():
                self._head = message
                if message.is_question:
                    told = msgspec.structs.replace(message, is_question=False)
                    self._send(receiver, told)

    def _send_roster(self, sender: VmId) -> None:
        for start in range(0, len(self._vms), _ROSTER_PART):
            updates = tuple(
                Update(vm, _INCARNATION, VmState.live)
                for vm in self._vms[start : start + _ROSTER_PART]
            )
            self._send(sender, News(Gossip(self._digest, updates)))

    def _build_gossip(self) -> Gossip:
        loads = tuple(
            MemberLoad(vm, self._beat, self._rng.randint(0, 40))
            for vm in self._rng.sample(self._vms, _LOADS)
        )
        return Gossip(self._digest, (), loads)

    def _grant(self, claim: Claim) -> Grant:
        self._answer += 1
        return Grant(
            claim.target,
            claim.number,
            1,
            self._answer,
            CONCURRENT // 12,
            MEMORY_TOKENS // CONCURRENT,
            1,
            None if claim.excess_version == 1 else (),
            LoadSnapshot(7, 30, 2, 40_000, 26_500, 12, 400),
            is_clear=True,
        )

    def _send(self, sender: VmId, message: Message) -> None:
        body = msgspec.msgpack.encode(message)
        sealed = self._seals[sender].seal(self._node, body)
        cast(Any, self.transport).write(sealed, self._address)


def _build_seal(vm: VmId) -> Seal:
    key = bytes.fromhex(FLEET_KEY)
    return Seal(key, vm, _INCARNATION, Purpose.datagram)


def main() -> None:
    """Run every peer until SIGTERM."""
    parse_flags(_FLAGS)
    loop.install_reactor()
    reactor = loop.get_reactor()
    ports = Ports(_FLAGS.port, 0, 0, _FLAGS.gossip)
    size = Size(_FLAGS.nodes, _FLAGS.targets, 0)
    peers = Peers(size, ports, VmId(_FLAGS.node))
    reactor.listenUDP(_FLAGS.port, peers, interface='127.0.0.1')
    reactor.callWhenRunning(lambda: asyncio.ensure_future(peers.probe()))
    reactor.callWhenRunning(lambda: asyncio.ensure_future(peers.renew()))
    reactor.run()


if __name__ == '__main__':
    main()
