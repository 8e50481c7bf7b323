"""Builds the components that own requests in a node."""

from collections.abc import Callable
from dataclasses import dataclass

from chicoryshunt.invariants import InvariantChecker
from chicoryshunt.nodes.peers import PeerServer
from chicoryshunt.ownership.drain import (
    TAKE_TABLE,
    Drain,
    GracefulShutdown,
    Transfer,
)
from chicoryshunt.ownership.forwarding import SUBMIT, Forwarder
from chicoryshunt.ownership.grants import GrantIssuer, OwnerId
from chicoryshunt.ownership.held_tables import HeldTables
from chicoryshunt.ownership.owned_calls import OwnedCalls
from chicoryshunt.ownership.owned_generations import OwnedGenerations
from chicoryshunt.ownership.owner import Owner
from chicoryshunt.ownership.records import RecordTable, TableLimits
from chicoryshunt.ownership.responder import Responder
from chicoryshunt.policy.budget import ExtraAllowed, RetryBudget
from chicoryshunt.request.call import CallRunner, TargetSender
from chicoryshunt.serving.calls import CallApi, ServiceTargets
from chicoryshunt.serving.state import NodeState
from chicoryshunt.types import TeamId


@dataclass(frozen=True, slots=True)
class OwnerComponents:
    """Components that serve owned requests in a node."""

    owner: Owner
    responder: Responder
    calls: CallApi
    generations: OwnedGenerations
    drain: Drain
    shutdown: GracefulShutdown


def build_owner(
    state: NodeState,
    server: PeerServer,
    announce: Callable[[], None],
) -> OwnerComponents:
    """Build the components and register their methods for other nodes.

    ``announce`` tells the other nodes that this one is leaving.
    """
    settings = state.settings
    fleet = state.fleet
    members = fleet.membership.roster
    owner = Owner(
        GrantIssuer(
            OwnerId(settings.vm, settings.data_centre, fleet.incarnation)
        ),
        RecordTable(TableLimits()),
        HeldTables(),
        fleet.pause_detector,
        state.metrics,
    )
    drain = Drain()
    shutdown = GracefulShutdown(
        drain,
        owner,
        announce,
        Transfer(fleet.peer_client, members, state.clock, state.metrics),
        state.metrics,
    )
    responder = Responder(state, owner)
    runner = CallRunner(
        ServiceTargets(state),
        TargetSender(),
        ServiceRetries(state),
        InvariantChecker(state.metrics),
    )
    owned_calls = OwnedCalls(
        state,
        owner,
        Forwarder(owner, fleet.peer_client, members),
        runner,
        drain,
    )
    server.register(SUBMIT, owned_calls.submit)
    server.register(TAKE_TABLE, owner.receive_part)
    return OwnerComponents(
        owner,
        responder,
        CallApi(state, responder, owned_calls, runner, drain),
        OwnedGenerations(owner, responder, state.metrics),
        drain,
        shutdown,
    )


class ServiceRetries:
    """Limits the retries of calls by a budget for each team."""

    def __init__(self, state: NodeState) -> None:
        """Start with a full budget for every team."""
        self._state = state
        self._budget = RetryBudget()

    def record_first(self, team: TeamId) -> None:
        """Add the retry ratio of the team to its budget."""
        config = self._state.config
        declared = None if config is None else config.teams.get(team)
        if declared is not None:
            now = self._state.clock.now()
            self._budget.record_first(team, declared.retry_ratio, now)

    def may_retry(self, team: TeamId) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        decision = self._budget.spend(team, self._state.clock.now())
        return isinstance(decision, ExtraAllowed)
