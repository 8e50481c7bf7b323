"""Puts the parts of a node together."""

from collections.abc import Callable
from dataclasses import dataclass

from chicoryshunt.process.calls import CallApi, ServiceTargets
from chicoryshunt.process.drain import (
    TAKE_TABLE,
    Departure,
    Drain,
    Transfer,
)
from chicoryshunt.process.forwarding import SUBMIT, Forwarder
from chicoryshunt.process.grants import Mint, Origin
from chicoryshunt.process.holdings import Holdings
from chicoryshunt.process.ownership import Owner
from chicoryshunt.process.peers import PeerServer
from chicoryshunt.process.records import Bounds, RecordTable
from chicoryshunt.process.state import NodeState
from chicoryshunt.request.call import CallRunner, TargetSender
from chicoryshunt.types import TeamId


@dataclass(frozen=True, slots=True)
class OwnerParts:
    """What owned requests need in a node."""

    calls: CallApi
    drain: Drain
    departure: Departure


def build_owner(
    state: NodeState,
    server: PeerServer,
    announce: Callable[[], None],
) -> OwnerParts:
    """Build the owner, and register what other nodes may call."""
    settings = state.settings
    fleet = state.fleet
    members = fleet.membership.roster
    owner = Owner(
        Mint(Origin(settings.vm, settings.data_centre, fleet.incarnation)),
        RecordTable(Bounds()),
        Holdings(),
        fleet.pulse,
        state.metrics,
    )
    drain = Drain()
    departure = Departure(
        drain,
        owner,
        announce,
        Transfer(fleet.peer_client, members, state.clock, state.metrics),
        state.metrics,
    )
    calls = CallApi(
        state,
        owner,
        Forwarder(owner, fleet.peer_client, members),
        CallRunner(ServiceTargets(state), TargetSender(), _spend_freely),
        drain,
    )
    server.register(SUBMIT, calls.submit)
    server.register(TAKE_TABLE, owner.take_part)
    return OwnerParts(calls, drain, departure)


def _spend_freely(team: TeamId) -> bool:
    return True
