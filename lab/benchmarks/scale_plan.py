"""The fleet at the size to design for: names, places, configuration."""

from collections import Counter
from dataclasses import dataclass

from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.limits.voters import choose_voters
from chicoryshunt.types import (
    ConfigVersion,
    DataCentreId,
    ModelId,
    TargetId,
    TeamId,
    VmId,
)
from chicoryshunt.version.config import (
    Config,
    DataCentre,
    Model,
    Target,
    Team,
)

FLEET_KEY = 'c5' * 32
CONCURRENT = 64
MEMORY_TOKENS = 60_000
_CENTRES = ('north-a', 'north-b', 'north-c', 'south-a', 'south-b')
_MODELS = 6


@dataclass(frozen=True, slots=True)
class Size:
    """Counts of a fleet; the real node is a typical or the busiest one."""

    nodes: int
    targets: int
    teams: int
    is_busiest: bool = False


@dataclass(frozen=True, slots=True)
class Ports:
    """Ports on loopback: one for all synthetic peers, three for the node."""

    peers: int
    caller: int
    peer: int
    gossip: int


def list_vms(size: Size, ports: Ports, node: VmId) -> list[PublishedVm]:
    """Return the published list with the addresses of the real node."""
    names = [VmId(f'vm-{number:03}') for number in range(size.nodes)]
    return [
        PublishedVm(
            vm,
            _find_centre(number),
            caller=f'127.0.0.1:{ports.caller}',
            peer=f'127.0.0.1:{ports.peer}',
            gossip=f'127.0.0.1:{ports.gossip if vm == node else ports.peers}',
        )
        for number, vm in enumerate(names)
    ]


def choose_node(size: Size) -> VmId:
    """Return the VM with the mean count of seats, or with the highest."""
    vms = list_vms(size, Ports(0, 0, 0, 0), VmId(''))
    panels = choose_all_voters(build_config(size, ''), vms)
    seats = Counter(vm for panel in panels.values() for vm in panel)
    kept = Counter(panel[0] for panel in panels.values())
    if size.is_busiest:
        return max(seats, key=lambda vm: (seats[vm], kept[vm]))
    mean = sum(seats.values()) / size.nodes
    mean_kept = size.targets / size.nodes
    return min(
        seats,
        key=lambda vm: abs(seats[vm] - mean) + abs(kept[vm] - mean_kept),
    )


def list_regions() -> dict[DataCentreId, str]:
    """Return the region of each data centre."""
    return {DataCentreId(name): name.split('-')[0] for name in _CENTRES}


def build_config(size: Size, address: str) -> Config:
    """Return a configuration whose targets share one address."""
    return Config(
        ConfigVersion(1),
        data_centres={
            name: DataCentre(region) for name, region in list_regions().items()
        },
        teams={
            TeamId(f'team-{number:05}'): Team() for number in range(size.teams)
        },
        models={
            ModelId(f'model-{number}'): Model() for number in range(_MODELS)
        },
        targets={
            TargetId(f'runner-{number:03}'): Target(
                address,
                _find_centre(number),
                CONCURRENT,
                model=ModelId(f'model-{number % _MODELS}'),
                memory_tokens=MEMORY_TOKENS,
            )
            for number in range(size.targets)
        },
    )


def choose_all_voters(
    config: Config,
    vms: list[PublishedVm],
) -> dict[TargetId, tuple[VmId, ...]]:
    """Return the panel of each target."""
    return {
        name: choose_voters(name, target.data_centre, vms, list_regions())
        for name, target in config.targets.items()
    }


def find_centre(vm: VmId) -> DataCentreId:
    """Return the data centre of a VM."""
    return _find_centre(int(vm.rsplit('-', 1)[1]))


def _find_centre(number: int) -> DataCentreId:
    return DataCentreId(_CENTRES[number % len(_CENTRES)])
