"""Fleets of the two first users, as processes on loopback."""

import json
import subprocess
from collections.abc import Collection, Iterable
from dataclasses import dataclass

import msgspec

from chicoryshunt.types import ConfigVersion, Profile
from chicoryshunt.version.config import Config
from lab.standins.publish import Publisher
from lab.trials.fleet import (
    READY_SECONDS,
    Fleet,
    Started,
    send,
    wait_leases,
    wait_ready,
    wait_version,
)

_PORTS_PER_NODE = 3
_FLEET_KEY = 'c5' * 32
CONCURRENT = 16
MEMORY_TOKENS = 16_000
_SERVICE_CONCURRENT = 32
_COLD_STEPS = 20


@dataclass(frozen=True, slots=True)
class Plan:
    """What a user runs; counts are per data centre."""

    region: str
    data_centres: tuple[str, ...]
    model: str
    service: str
    teams: tuple[str, ...]
    profile: Profile
    nodes: int = 3
    engines: int = 2
    services: int = 1


TABLERO = Plan(
    'ph-luzon',
    ('luzon-a', 'luzon-b', 'luzon-c'),
    'kibitzer-llm',
    'arbiter-api',
    tuple(f'club-{number}' for number in range(10)),
    Profile.stall,
)
AGENCY = Plan(
    'ovre-norrland',
    ('lulea-nord', 'umea-syd', 'kiruna-vast'),
    'vikmotor',
    'lyktarkiv',
    tuple(f'workshop-{number}' for number in range(10)),
    Profile.preemption,
)
SMALL = Plan(
    'ph-luzon',
    ('luzon-a',),
    'kibitzer-llm',
    'arbiter-api',
    ('olongapo',),
    Profile.stall,
)


@dataclass(slots=True)
class Placed:
    """One process and the data centre it stands in."""

    started: Started
    data_centre: str
    settings: dict[str, object]

    @property
    def name(self) -> str:
        """Return the name of the process."""
        return self.started.name

    @property
    def url(self) -> str:
        """Return its base URL."""
        return self.started.url

    @property
    def process(self) -> 'subprocess.Popen[bytes]':
        """Return the process that runs now."""
        return self.started.process


@dataclass(frozen=True, slots=True)
class Platform:
    """The stand-ins of the platform's services."""

    config: Started
    vm_list: Started


def start_platform(fleet: Fleet) -> Platform:
    """Start the configuration service and the VM list."""
    return Platform(
        fleet.start_stand_in('config_service', 'config'),
        fleet.start_stand_in('vm_list', 'vms'),
    )


class UserFleet:
    """Every process of one user, with the platform beside it."""

    def __init__(self, fleet: Fleet, plan: Plan) -> None:
        """Start the platform, the targets and the nodes."""
        self.fleet = fleet
        self.plan = plan
        self.platform = start_platform(fleet)
        self.engines = self._launch_targets('engine', plan.engines)
        self.services = self._launch_targets('service', plan.services)
        for target in (*self.engines, *self.services):
            wait_ready(target.started)
        self.publisher = Publisher(self.platform.config.url)
        self.publisher.publish_base(msgspec.convert(self._describe(), Config))
        self.nodes = self._launch_nodes()
        wait_version((node.started for node in self.nodes), 1)
        wait_leases([node.started for node in self.nodes])

    @property
    def addresses(self) -> list[str]:
        """Return where the nodes listen for callers."""
        return [f'127.0.0.1:{node.started.port}' for node in self.nodes]

    def publish_vms(self, *leaving: str) -> None:
        """Publish every node, some of them with the leaving mark."""
        settings = (node.settings for node in self.nodes)
        publish_vms(self.platform, settings, leaving)

    def find_limit(self, target: Placed) -> int:
        """Return how many requests a target declares to bear."""
        return CONCURRENT if target in self.engines else _SERVICE_CONCURRENT

    def restart_node(self, node: Placed) -> None:
        """Start a node again after its process ended."""
        node.started = self.fleet.launch_node(
            node.name,
            node.settings,
        )
        wait_ready(node.started)

    def _launch_targets(self, kind: str, count: int) -> list[Placed]:
        return [
            Placed(
                self.fleet.launch_stand_in(
                    kind,
                    f'{kind}-{data_centre}-{number}',
                    *_list_options(kind, number),
                ),
                data_centre,
                {},
            )
            for data_centre in self.plan.data_centres
            for number in range(count)
        ]

    def _launch_nodes(self) -> list[Placed]:
        self.nodes = []
        for data_centre in self.plan.data_centres:
            for number in range(self.plan.nodes):
                settings = build_settings(
                    self.fleet,
                    f'vm-{data_centre}-{number}',
                    data_centre,
                    self.platform,
                )
                launched = self.fleet.launch_node(
                    str(settings['vm']),
                    settings,
                )
                self.nodes.append(Placed(launched, data_centre, settings))
        self.publish_vms()
        for node in self.nodes:
            wait_ready(node.started)
        return self.nodes

    def _describe(self) -> dict[str, object]:
        plan = self.plan
        return {
            'version': ConfigVersion(1),
            'data_centres': {
                name: {'region': plan.region} for name in plan.data_centres
            },
            'teams': {team: {} for team in plan.teams},
            'models': {plan.model: {'profile': plan.profile.value}},
            'services': {plan.service: {}},
            'targets': {
                target.name: self._describe_target(target)
                for target in (*self.engines, *self.services)
            },
        }

    def _describe_target(self, target: Placed) -> dict[str, object]:
        described: dict[str, object] = {
            'address': f'127.0.0.1:{target.started.port}',
            'data_centre': target.data_centre,
        }
        if target in self.engines:
            return described | {
                'model': self.plan.model,
                'concurrent': CONCURRENT,
                'memory_tokens': MEMORY_TOKENS,
                'checks_fence': True,
            }
        return described | {
            'service': self.plan.service,
            'concurrent': _SERVICE_CONCURRENT,
        }


def _list_options(kind: str, number: int) -> tuple[str, ...]:
    if kind != 'engine':
        return ()
    return (
        f'--seed={number + 1}',
        f'--slots={CONCURRENT}',
        f'--memory={MEMORY_TOKENS}',
        f'--cold={_COLD_STEPS}',
    )


def build_settings(
    fleet: Fleet,
    vm: str,
    data_centre: str,
    platform: Platform,
) -> dict[str, object]:
    """Return the settings of one node on ports of its own."""
    port = fleet.reserve_ports(_PORTS_PER_NODE)
    return {
        'vm': vm,
        'data_centre': data_centre,
        'listen': {
            'host': '127.0.0.1',
            'caller': port,
            'peer': port + 1,
            'gossip': port + 2,
        },
        'platform': {
            'config': platform.config.url,
            'vms': platform.vm_list.url,
        },
        'fleet_key': _FLEET_KEY,
        'leases': {'term_seconds': 1, 'vm_list_lag_seconds': 1},
        'trials': True,
    }


def publish_vms(
    platform: Platform,
    settings: Iterable[dict[str, object]],
    leaving: Collection[str] = (),
) -> None:
    """Publish nodes on the VM list, some of them with the leaving mark."""
    vms = [_describe_vm(one, leaving) for one in settings]
    send(platform.vm_list.url, 'PUT', '/v1/vms', {'vms': vms})


def _describe_vm(
    settings: dict[str, object],
    leaving: Collection[str],
) -> dict[str, object]:
    listen = settings['listen']
    assert isinstance(listen, dict)
    host = listen['host']
    return {
        'vm': settings['vm'],
        'data_centre': settings['data_centre'],
        'caller': f'{host}:{listen["caller"]}',
        'peer': f'{host}:{listen["peer"]}',
        'gossip': f'{host}:{listen["gossip"]}',
        'leaving': settings['vm'] in leaving,
    }


def read_status(
    node: Placed,
    seconds: float = READY_SECONDS,
) -> dict[str, object]:
    """Return what a node says of itself within some seconds."""
    url = node.url
    status = json.loads(send(url, 'GET', '/v1/status', seconds=seconds))
    assert isinstance(status, dict)
    return status
