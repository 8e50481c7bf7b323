"""What control costs one real node as the fleet around it grows."""

import json
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from pathlib import Path

import msgspec
import psutil
from absl import flags

from chicoryshunt.connection.platform_api import PublishedVms
from chicoryshunt.types import VmId
from lab.benchmarks.results import append_result
from lab.benchmarks.scale_plan import (
    FLEET_KEY,
    Ports,
    Size,
    build_config,
    choose_node,
    find_centre,
    list_vms,
)
from lab.standins.daemon import parse_flags
from lab.standins.publish import Publisher
from lab.trials.fleet import (
    Fleet,
    Started,
    run_fleet,
    send,
    wait_ready,
    wait_version,
)
from lab.trials.topology import Platform, start_platform

_FLAGS = flags.FlagValues()
flags.DEFINE_float('seconds', 20, 'seconds of counting', flag_values=_FLAGS)
flags.DEFINE_boolean('record', True, 'append the result', flag_values=_FLAGS)
flags.DEFINE_boolean('slopes', True, 'measure every size', flag_values=_FLAGS)

_SETTLE_SECONDS = 5
_LEASE_SECONDS = 60
_HEADER_BYTES = 28
_BYTES_PER_MB = 1 << 20
_CORE_PERCENT_LIMIT = 4.8
_MEMORY_LIMIT_MB = 128
_BYTES_LIMIT = 5000
_FULL = Size(360, 600, 19_000)
_SIZES = (
    Size(45, 75, 19_000),
    Size(90, 150, 19_000),
    Size(180, 300, 19_000),
    Size(360, 150, 19_000),
    Size(360, 300, 19_000),
    Size(360, 600, 10),
    Size(360, 600, 19_000, is_busiest=True),
    _FULL,
)


@dataclass(frozen=True, slots=True)
class Reading:
    """Counters of the node at one moment."""

    at: float
    cpu_seconds: float
    memory_bytes: int
    bytes_by_kind: dict[str, float]
    datagrams: float

    def count_bytes(self, earlier: 'Reading') -> dict[str, float]:
        """Return the payload of each kind since an earlier reading."""
        return {
            kind: sent - earlier.bytes_by_kind.get(kind, 0)
            for kind, sent in self.bytes_by_kind.items()
        }


def measure(fleet: Fleet, size: Size) -> dict[str, object]:
    """Return what one node spends in a fleet of some size."""
    name = choose_node(size)
    with run_node(fleet, size, name) as node:
        time.sleep(_SETTLE_SECONDS)
        before = read_counters(node)
        time.sleep(_FLAGS.seconds)
        after = read_counters(node)
        kept = count_kept(node, name)
    return {
        **asdict(size),
        **compare(before, after),
        'targets_used': kept[0],
        'targets_kept': kept[1],
    }


def compare(before: Reading, after: Reading) -> dict[str, object]:
    """Return what was spent between two readings, a second."""
    seconds = after.at - before.at
    by_kind = after.count_bytes(before)
    payload = sum(by_kind.values())
    headers = (after.datagrams - before.datagrams) * _HEADER_BYTES
    cpu = after.cpu_seconds - before.cpu_seconds
    return {
        'core_percent': round(100 * cpu / seconds, 2),
        'memory_mb': round(after.memory_bytes / _BYTES_PER_MB, 1),
        'payload_bytes_per_second': {
            kind: round(sent / seconds) for kind, sent in by_kind.items()
        },
        'sent_bytes_per_second': round((payload + headers) / seconds),
    }


@contextmanager
def run_node(fleet: Fleet, size: Size, name: VmId) -> Iterator[Started]:
    """Yield a node that has its leases, with peers and platform around it."""
    port = fleet.reserve_ports(4)
    ports = Ports(port, port + 1, port + 2, port + 3)
    platform = start_platform(fleet)
    engine = fleet.start_stand_in('engine', 'engine')
    config = build_config(size, f'127.0.0.1:{engine.port}')
    Publisher(platform.config.url).publish_base(config)
    vms = PublishedVms(tuple(list_vms(size, ports, name)))
    published = msgspec.to_builtins(vms)
    send(platform.vm_list.url, 'PUT', '/v1/vms', published)
    try:
        yield _start_node(fleet, size, ports, name, platform)
    finally:
        fleet.stop()
        fleet.started.clear()


def _start_node(
    fleet: Fleet,
    size: Size,
    ports: Ports,
    name: VmId,
    platform: Platform,
) -> Started:
    fleet.launch_module(
        'benchmarks.scale_peers',
        ports.peers,
        f'--gossip={ports.gossip}',
        f'--node={name}',
        f'--nodes={size.nodes}',
        f'--targets={size.targets}',
    )
    node = fleet.launch_node(name, _build_settings(ports, name, platform))
    wait_ready(node)
    wait_version([node], 1)
    wait_most_leases(node)
    return node


def wait_most_leases(node: Started) -> None:
    """Wait for leases of the synthetic keepers; kept targets stay cold."""
    deadline = time.monotonic() + _LEASE_SECONDS
    while time.monotonic() < deadline:
        leases = json.loads(send(node.url, 'GET', '/v1/status'))['leases']
        held = [one for one in leases if one['slots']]
        if len(held) > len(leases) // 2:
            return
        time.sleep(1)
    raise RuntimeError(f'{node.name} got no leases')


def _build_settings(
    ports: Ports,
    name: VmId,
    platform: Platform,
) -> dict[str, object]:
    return {
        'vm': name,
        'data_centre': find_centre(name),
        'listen': {
            'host': '127.0.0.1',
            'caller': ports.caller,
            'peer': ports.peer,
            'gossip': ports.gossip,
        },
        'platform': {
            'config': platform.config.url,
            'vms': platform.vm_list.url,
        },
        'fleet_key': FLEET_KEY,
    }


def read_counters(node: Started) -> Reading:
    """Read processor time, memory and datagrams of a node."""
    process = psutil.Process(node.process.pid)
    times = process.cpu_times()
    metrics = send(node.url, 'GET', '/metrics').decode()
    return Reading(
        time.monotonic(),
        times.user + times.system,
        process.memory_info().rss,
        read_metric(metrics, 'chicoryshunt_datagram_bytes_sent_total'),
        sum(read_metric(metrics, 'chicoryshunt_datagrams_sent_total').values()),
    )


def read_metric(metrics: str, name: str) -> dict[str, float]:
    """Return a metric by its only label."""
    readings = {}
    for line in metrics.splitlines():
        if line.startswith((f'{name}{{', f'{name} ')):
            label, reading = line.removeprefix(name).rsplit(' ', 1)
            readings[label.strip('{}').partition('=')[2].strip('"')] = float(
                reading,
            )
    return readings


def count_kept(node: Started, name: VmId) -> tuple[int, int]:
    """Return how many targets a node uses and how many it keeps."""
    status = json.loads(send(node.url, 'GET', '/v1/status'))
    leases = status['leases']
    kept = [one for one in leases if one['keeper'] == name]
    return len(leases), len(kept)


def judge(full: dict[str, object]) -> dict[str, bool]:
    """Say which targets the node meets at the full size."""
    return {
        'core': float(str(full['core_percent'])) <= _CORE_PERCENT_LIMIT,
        'memory': float(str(full['memory_mb'])) <= _MEMORY_LIMIT_MB,
        'bytes': float(str(full['sent_bytes_per_second'])) <= _BYTES_LIMIT,
    }


def main() -> None:
    """Measure, print and append; exit 1 when a target is missed."""
    parse_flags(_FLAGS)
    with (
        tempfile.TemporaryDirectory() as folder,
        run_fleet(Path(folder)) as fleet,
    ):
        points = []
        for size in _SIZES if _FLAGS.slopes else (_FULL,):
            points.append(measure(fleet, size))
            print(json.dumps(points[-1]), flush=True)
    met = judge(points[-1])
    if _FLAGS.record:
        append_result('scale', {'met': met, 'points': points})
    print(json.dumps({'met': met}))
    sys.exit(0 if all(met.values()) else 1)


if __name__ == '__main__':
    main()
