"""A small fleet on loopback: one stream, one filing, the status."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec

from chicoryshunt.version.config import Config
from lab.fleet import Fleet, Started, run_fleet, send, wait_version
from lab.publish import Publisher

_FIRST_PORT = int(os.environ.get('LAB_FIRST_PORT', '18100'))
_NODES = 3
_PORTS_PER_NODE = 3


def main() -> None:
    """Run the demo; exit 0 when the answer is whole."""
    with (
        tempfile.TemporaryDirectory() as folder,
        run_fleet(Path(folder), _FIRST_PORT) as fleet,
    ):
        nodes = start_small_fleet(fleet)
        addresses = ','.join(f'127.0.0.1:{node.port}' for node in nodes)
        statuses = [
            _call(
                addresses,
                '--model=kibitzer-llm',
                '--prompt=length=40 annotate round 3',
            ),
            _call(addresses, '--service=arbiter-api', '--key=pairing-17'),
        ]
        for node in nodes:
            print(send(node.url, 'GET', '/v1/status').decode())
    sys.exit(max(statuses))


def start_small_fleet(fleet: Fleet) -> list[Started]:
    """Start the platform, two engines, one service and three nodes."""
    config = fleet.start_stand_in('config_service', 'config')
    vm_list = fleet.start_stand_in('vm_list', 'vms')
    engines = [
        fleet.start_stand_in('engine', f'engine-{number}', f'--seed={number}')
        for number in range(2)
    ]
    service = fleet.start_stand_in('service', 'arbiter')
    Publisher(config.url).publish_base(_build_config(engines, service))
    settings = [
        _build_settings(fleet, number, config, vm_list)
        for number in range(_NODES)
    ]
    send(
        vm_list.url,
        'PUT',
        '/v1/vms',
        {'vms': [_publish_vm(one) for one in settings]},
    )
    nodes = [fleet.start_node(str(one['vm']), one) for one in settings]
    wait_version(nodes, 1)
    return nodes


def _call(addresses: str, *options: str) -> int:
    return subprocess.run(
        [
            sys.executable,
            '-m',
            'chicoryshunt',
            'call',
            f'--nodes={addresses}',
            '--team=olongapo',
            *options,
        ],
        check=False,
    ).returncode


def _build_config(engines: list[Started], service: Started) -> Config:
    targets: dict[str, object] = {
        engine.name: {
            'address': f'127.0.0.1:{engine.port}',
            'data_centre': 'luzon-a',
            'model': 'kibitzer-llm',
            'concurrent': 64,
            'memory_tokens': 60_000,
        }
        for engine in engines
    }
    targets['arbiter'] = {
        'address': f'127.0.0.1:{service.port}',
        'data_centre': 'luzon-a',
        'service': 'arbiter-api',
        'concurrent': 64,
    }
    return msgspec.convert(
        {
            'version': 1,
            'data_centres': {'luzon-a': {'region': 'ph-luzon'}},
            'teams': {'olongapo': {}},
            'models': {'kibitzer-llm': {}},
            'services': {'arbiter-api': {}},
            'targets': targets,
        },
        Config,
    )


def _build_settings(
    fleet: Fleet,
    number: int,
    config: Started,
    vm_list: Started,
) -> dict[str, object]:
    port = fleet.reserve_ports(_PORTS_PER_NODE)
    return {
        'vm': f'vm-{number}',
        'data_centre': 'luzon-a',
        'listen': {
            'host': '127.0.0.1',
            'caller': port,
            'peer': port + 1,
            'gossip': port + 2,
        },
        'platform': {'config': config.url, 'vms': vm_list.url},
    }


def _publish_vm(settings: dict[str, object]) -> dict[str, object]:
    listen = settings['listen']
    assert isinstance(listen, dict)
    host = listen['host']
    return {
        'vm': settings['vm'],
        'data_centre': settings['data_centre'],
        'caller': f'{host}:{listen["caller"]}',
        'peer': f'{host}:{listen["peer"]}',
        'gossip': f'{host}:{listen["gossip"]}',
    }


if __name__ == '__main__':
    main()
