"""Builders of test data."""

import json
from random import Random

import msgspec

from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.membership.membership import Membership
from chicoryshunt.nodes.peers import PeerServer
from chicoryshunt.nodes.seal import Purpose, Seal
from chicoryshunt.policy.occupancy import RunningRequest
from chicoryshunt.policy.queue import QueuedRequest, RequestSpec
from chicoryshunt.policy.survival import (
    LengthEstimator,
    RequestKind,
    classify,
)
from chicoryshunt.serving.assembly import build_owner
from chicoryshunt.serving.callers import CallerApi
from chicoryshunt.serving.state import NodeState
from chicoryshunt.settings import Settings
from chicoryshunt.types import (
    ConfigVersion,
    DataCentreId,
    Incarnation,
    ModelId,
    RequestId,
    ServiceId,
    TargetId,
    TeamId,
    VmId,
)
from chicoryshunt.version.config import (
    Config,
    DataCentre,
    Model,
    Presence,
    Service,
    Target,
    Team,
)
from chicoryshunt.version.published import split_base
from chicoryshunt.version.replica import Replica, Snapshot
from lab.models.local_shares import LocalShares

FLEET_KEY = '5a' * 32


def build_settings_text(**changes: object) -> str:
    """Return the text of a settings file with top-level changes."""
    settings: dict[str, object] = {
        'vm': 'vm-1',
        'data_centre': 'luzon-a',
        'listen': {
            'host': '127.0.0.1',
            'caller': 8101,
            'peer': 8201,
            'gossip': 8301,
        },
        'platform': {
            'config': 'http://127.0.0.1:9001',
            'vms': 'http://127.0.0.1:9002',
        },
        'fleet_key': FLEET_KEY,
    }
    settings.update(changes)
    kept = {name: one for name, one in settings.items() if one is not None}
    return json.dumps(kept)


def build_seal(vm: str, incarnation: int = 1, key: str = FLEET_KEY) -> Seal:
    """Return the seal of a node."""
    return Seal(
        bytes.fromhex(key),
        VmId(vm),
        Incarnation(incarnation),
        Purpose.datagram,
    )


def build_membership(vms: list[PublishedVm]) -> Membership:
    """Return the membership of the first of some VMs."""
    membership = Membership(vms[0], Incarnation(1), Random(1), 0)
    membership.apply_vm_list(vms, 0)
    return membership


def build_spec(
    request: str = 'request-1',
    team: str = 'team-1',
    *,
    prompt_tokens: int = 100,
    max_tokens: int = 30_000,
    priority: int = 0,
    weight: float = 1,
) -> RequestSpec:
    """Return the spec of a request."""
    return RequestSpec(
        RequestId(request),
        RequestKind(
            TeamId(team), ModelId('kibitzer-llm'), classify(max_tokens)
        ),
        prompt_tokens,
        max_tokens,
        priority,
        weight,
    )


def build_config(teams: int = 2, targets: int = 2) -> Config:
    """Return a base of one data centre, one model and one service."""
    data_centre = DataCentreId('luzon-a')
    model = ModelId('kibitzer-llm')
    built = Config(
        version=ConfigVersion(1),
        data_centres={data_centre: DataCentre('ph-luzon')},
        teams={TeamId(f'team-{one}'): Team() for one in range(teams)},
        models={model: Model()},
        services={ServiceId('arbiter-api'): Service()},
        targets={
            TargetId(f'target-{one}'): Target(
                f'127.0.0.1:{7000 + one}',
                data_centre,
                64,
                model=model,
            )
            for one in range(targets)
        },
    )
    return msgspec.structs.replace(
        built,
        digest=split_base(built)[0].digest,
    )


def build_patch(base: int, *operations: dict[str, object]) -> bytes:
    """Return one line of the patch log; it sets a team by default."""
    if not operations:
        operations = (build_set_team('baguio', 2),)
    return msgspec.json.encode({'base': base, 'operations': operations})


def build_set_team(name: str, weight: float) -> dict[str, object]:
    """Return the operation that sets a team."""
    return {'op': 'set_team', 'name': name, 'value': {'weight': weight}}


def take_out(config: Config, what: str) -> Config:
    """Return a configuration whose data centre or targets are out."""
    if what == 'data_centre':
        centres = {
            name: msgspec.structs.replace(one, presence=Presence.out)
            for name, one in config.data_centres.items()
        }
        return msgspec.structs.replace(config, data_centres=centres)
    targets = {
        name: msgspec.structs.replace(one, presence=Presence.out)
        for name, one in config.targets.items()
    }
    return msgspec.structs.replace(config, targets=targets)


def put_in_force(state: NodeState, config: Config) -> None:
    """Make a node start with a configuration."""
    replica = Replica()
    replica.adopt(Snapshot(config, (), ()))
    state.configuration.start_from(replica)


def build_caller_api(state: NodeState) -> CallerApi:
    """Return the caller interface of a node without peers."""
    fleet = state.fleet
    components = build_owner(
        state,
        PeerServer(
            fleet.call_seal,
            fleet.links,
            fleet.pause_detector,
            state.metrics,
        ),
        lambda: None,
    )
    return CallerApi(state, components)


def build_state(settings: Settings) -> NodeState:
    """Return the state of a node that shares no target with others."""
    shares = LocalShares(lambda: state.config, lambda: 1)
    state = NodeState(settings, shares)
    return state


def build_running(produced: int, prompt_tokens: int) -> RunningRequest:
    """Return a running request whose length estimate is the prior."""
    kind = RequestKind(TeamId('team-1'), ModelId('kibitzer-llm'))
    survival = LengthEstimator().estimate(kind)
    return RunningRequest(kind, survival, prompt_tokens, 30_000, produced)


def build_queued(
    request: str,
    team: str = 'team-1',
    arrived: float = 0,
    work: float = 100,
    **changes: int,
) -> QueuedRequest:
    """Return a queued request."""
    return QueuedRequest(build_spec(request, team, **changes), arrived, work)
