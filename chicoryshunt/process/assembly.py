"""Puts the parts of a node together."""

from collections.abc import Callable
from dataclasses import dataclass

from chicoryshunt.clock import Clock
from chicoryshunt.process.calls import CallApi, ServiceTargets
from chicoryshunt.process.drain import (
    TAKE_TABLE,
    Departure,
    Drain,
    Transfer,
)
from chicoryshunt.process.forwarding import SUBMIT, Forwarder
from chicoryshunt.process.grants import Mint, Origin
from chicoryshunt.process.holdings import Holdings, PartAnswer, TablePart
from chicoryshunt.process.links import Links
from chicoryshunt.process.ownership import Owner
from chicoryshunt.process.pause import Pulse
from chicoryshunt.process.peers import PeerClient, PeerServer
from chicoryshunt.process.records import Bounds, RecordTable
from chicoryshunt.process.seal import Purpose, Seal
from chicoryshunt.process.state import NodeState
from chicoryshunt.request.call import CallRunner, TargetSender
from chicoryshunt.types import Incarnation, TeamId, VmId


@dataclass(frozen=True, slots=True)
class OwnerParts:
    """What owned requests need in a node."""

    calls: CallApi
    drain: Drain
    departure: Departure
    owner: Owner


@dataclass(frozen=True, slots=True)
class PeerParts:
    """What carries calls between nodes."""

    server: PeerServer
    client: PeerClient
    pulse: Pulse
    clock: Clock


def build_peers(
    state: NodeState,
    incarnation: Incarnation,
    links: Links,
    clock: Clock,
) -> PeerParts:
    """Build both ends of the calls between nodes."""
    settings = state.settings
    seal = Seal(settings.key, settings.vm, incarnation, Purpose.call)
    pulse = Pulse(clock)
    return PeerParts(
        PeerServer(seal, links, pulse, state.metrics),
        PeerClient(seal, links),
        pulse,
        clock,
    )


def build_owner(
    state: NodeState,
    incarnation: Incarnation,
    peers: PeerParts,
    announce: Callable[[], None],
) -> OwnerParts:
    """Build the owner, and register what other nodes may call."""
    settings = state.settings
    origin = Origin(settings.vm, settings.data_centre, incarnation)
    owner = Owner(
        Mint(origin),
        RecordTable(Bounds()),
        Holdings(),
        peers.pulse,
        state.metrics,
    )
    drain = Drain()
    transfer = Transfer(peers.client, state, peers.clock, state.metrics)
    departure = Departure(drain, owner, announce, transfer, state.metrics)
    calls = CallApi(
        state,
        owner,
        Forwarder(owner, peers.client, state),
        CallRunner(ServiceTargets(state), TargetSender(), _spend_freely),
        drain,
    )

    async def take_table(sender: VmId, part: TablePart) -> PartAnswer:
        return owner.holdings.receive(part, peers.clock.now())

    peers.server.register(SUBMIT, calls.submit)
    peers.server.register(TAKE_TABLE, take_table)
    return OwnerParts(calls, drain, departure, owner)


def _spend_freely(team: TeamId) -> bool:
    return True
