"""Builders of test data."""

import json

import msgspec

from chicoryshunt.process.seal import Purpose, Seal
from chicoryshunt.types import (
    ConfigVersion,
    DataCentreId,
    Incarnation,
    ModelId,
    ServiceId,
    TargetId,
    TeamId,
    VmId,
)
from chicoryshunt.version.config import (
    Config,
    DataCentre,
    Model,
    Service,
    Target,
    Team,
)
from chicoryshunt.version.published import split_base

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
    """Return a seal of one node."""
    return Seal(
        bytes.fromhex(key),
        VmId(vm),
        Incarnation(incarnation),
        Purpose.datagram,
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
