"""Costs of the configuration at the size to design for."""

import gc
import logging
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator

import msgspec

from chicoryshunt.configuration.config_reading import WATCH_SECONDS
from chicoryshunt.configuration.config_serving import PullServer
from chicoryshunt.nodes.seal import Purpose, Seal
from chicoryshunt.types import (
    ConfigVersion,
    DataCentreId,
    Incarnation,
    ModelId,
    TargetId,
    TeamId,
    VmId,
)
from chicoryshunt.version.config import (
    Config,
    DataCentre,
    DesiredState,
    Model,
    Target,
    Team,
)
from chicoryshunt.version.fold import fold_line
from chicoryshunt.version.published import parse_base, split_base
from chicoryshunt.version.replica import NO_HEAD, Replica, Snapshot
from lab.benchmarks.results import append_result
from lab.models.config_fleet import TICK_SECONDS, build_fleet

_TEAMS = 19_000
_TARGETS = 600
_MODELS = 6
_DATA_CENTRES = 5
_PATCHES_A_DAY = 290
_FLEETS = (9, 90, 360)
_PATCHES = 10
_IDLE_SECONDS = 20
_JOIN_SECONDS = 10
_UDP_BYTES = 28
_MS = 1000


def main() -> None:
    """Measure, print and append one line for each benchmark."""
    logging.disable()
    report('config_fold', measure_fold())
    for nodes in _FLEETS:
        report('config_spread', measure_spread(nodes))


def report(benchmark: str, figures: dict[str, object]) -> None:
    """Print figures and append them to the results."""
    print(benchmark, figures)
    append_result(benchmark, figures)


def build_large() -> Config:
    """Return a configuration of the size to design for."""
    config = Config(
        version=ConfigVersion(1),
        data_centres={
            _name_data_centre(one): DataCentre('region')
            for one in range(_DATA_CENTRES)
        },
        teams={
            TeamId(f'team-{one:05}'): Team(weight=1 + one % 7)
            for one in range(_TEAMS)
        },
        models={ModelId(f'model-{one}'): Model() for one in range(_MODELS)},
        targets={
            TargetId(f'target-{one:03}'): _build_target(one)
            for one in range(_TARGETS)
        },
    )
    digest = split_base(config)[0].digest
    return msgspec.structs.replace(config, digest=digest)


def measure_fold() -> dict[str, object]:
    """Return times in milliseconds and sizes in bytes."""
    config = build_large()
    header, values = split_base(config)
    snapshot = Snapshot(config, (), ())
    replica = Replica()
    replica.adopt(snapshot)
    pulled = PullServer().answer(replica, NO_HEAD)
    lines = list(_build_day())
    return {
        'teams': _TEAMS,
        'targets': _TARGETS,
        'patches': len(lines),
        'shards': len(values),
        'shard_bytes_max': max(map(len, values)),
        'base_bytes': sum(map(len, values)),
        'snapshot_bytes': len(pulled.snapshot),
        'log_bytes': sum(map(len, lines)),
        'parse_base_ms': _time(lambda: parse_base(header, values)),
        'encode_snapshot_ms': _time(lambda: msgspec.msgpack.encode(snapshot)),
        'decode_snapshot_ms': _time(
            lambda: msgspec.msgpack.decode(pulled.snapshot, type=Snapshot),
        ),
        'fold_ms': _time(lambda: _fold_all(config, lines)) / len(lines),
        'config_resident_bytes': _measure_memory(
            lambda: parse_base(header, values),
        ),
        'day_of_patches_bytes': _measure_memory(
            lambda: _fold_all(config, lines),
        ),
    }


def measure_spread(nodes: int) -> dict[str, object]:
    """Return seconds to all nodes and bytes and reads a second."""
    data_centres = 3 if nodes < _FLEETS[1] else _DATA_CENTRES
    fleet = build_fleet(_build_small(), nodes, data_centres, seed=1)
    fleet.run(_JOIN_SECONDS)
    seconds = []
    for number in range(_PATCHES):
        fleet.service.append(_build_team_patch(number, number + 1))
        start = fleet.now
        while fleet.count_behind():
            fleet.run(TICK_SECONDS)
        seconds.append(round(fleet.now - start, 1))
        fleet.run(1)
    sent = dict(fleet.sent_bytes)
    datagrams = dict(fleet.sent_messages)
    fleet.run(_IDLE_SECONDS)
    readers = sum(
        node.parts.importer.readers.should_read(fleet.now)
        for node in fleet.nodes.values()
    )
    envelope = _measure_envelope() + _UDP_BYTES
    rates = [
        (
            fleet.sent_bytes[vm]
            - sent[vm]
            + envelope * (fleet.sent_messages[vm] - datagrams[vm])
        )
        / _IDLE_SECONDS
        for vm in fleet.nodes
    ]
    return {
        'nodes': nodes,
        'seconds_to_all_max': max(seconds),
        'seconds_to_all_median': statistics.median(seconds),
        'idle_bytes_per_second_mean': round(statistics.mean(rates)),
        'idle_bytes_per_second_max': round(max(rates)),
        'readers': readers,
        'service_calls_per_second': readers / WATCH_SECONDS,
    }


def _build_small() -> Config:
    config = Config(
        version=ConfigVersion(1),
        data_centres={_name_data_centre(0): DataCentre('region')},
    )
    digest = split_base(config)[0].digest
    return msgspec.structs.replace(config, digest=digest)


def _build_target(number: int) -> Target:
    return Target(
        f'10.0.{number // 250}.{number % 250}:8000',
        _name_data_centre(number % _DATA_CENTRES),
        64,
        model=ModelId(f'model-{number % _MODELS}'),
        memory_tokens=60_000,
        desired=DesiredState('2026-11', ('adapter-1',)),
    )


def _name_data_centre(number: int) -> DataCentreId:
    return DataCentreId(f'data-centre-{number}')


def _build_day() -> Iterator[bytes]:
    for number in range(_PATCHES_A_DAY):
        yield _build_team_patch(number * 61 % _TEAMS, number + 1)


def _build_team_patch(team: int, base: int) -> bytes:
    operation = {
        'op': 'set_team',
        'name': f'team-{team:05}',
        'value': {'weight': 1 + base},
    }
    patch = {'base': base, 'operations': [operation], 'note': 'more weight'}
    return msgspec.json.encode(patch)


def _fold_all(config: Config, lines: list[bytes]) -> Config:
    for line in lines:
        config = fold_line(config, line).config
    return config


def _time(run: Callable[[], object]) -> float:
    samples = []
    for _ in range(5):
        start = time.process_time()
        run()
        samples.append((time.process_time() - start) * _MS)
    return round(statistics.median(samples), 4)


def _measure_memory(run: Callable[[], object]) -> int:
    gc.collect()
    tracemalloc.start()
    kept = run()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept is not None
    return size


def _measure_envelope() -> int:
    seal = Seal(b'', VmId('vm-100'), Incarnation(1 << 41), Purpose.datagram)
    return len(seal.seal(VmId('vm-200'), b'\xc0')) - 1


if __name__ == '__main__':
    main()
