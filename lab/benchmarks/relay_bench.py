"""Processor time per token through a node against a bare TCP relay."""

import json
import statistics
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import msgspec
import psutil
from absl import flags

from chicoryshunt.version.config import Config
from lab.benchmarks.results import append_result
from lab.loads.relay_load import LoadReading
from lab.standins.daemon import parse_flags
from lab.standins.publish import Publisher
from lab.trials.fleet import Fleet, Started, run_fleet, wait_ready, wait_version
from lab.trials.topology import build_settings, publish_vms, start_platform

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('rounds', 5, 'rounds of both relays', flag_values=_FLAGS)
flags.DEFINE_integer('streams', 190, 'streams at once', flag_values=_FLAGS)
flags.DEFINE_integer('slow', 0, 'more that read nothing', flag_values=_FLAGS)
flags.DEFINE_integer('size', 57, 'bytes an event', flag_values=_FLAGS)
flags.DEFINE_float('seconds', 5, 'seconds of counting', flag_values=_FLAGS)
flags.DEFINE_integer('engines', 6, 'engines', flag_values=_FLAGS)
flags.DEFINE_boolean('record', True, 'append the result', flag_values=_FLAGS)

_BYTES_PER_MB = 1 << 20


@dataclass(frozen=True, slots=True)
class Sample:
    """One relay in one round; processor time is per token."""

    cpu_us: float
    user_us: float
    memory_mb: float
    load: LoadReading


def measure(relay: Started) -> Sample:
    """Run the load against one relay and read its processor time."""
    process = psutil.Process(relay.process.pid)
    command = [
        sys.executable,
        '-m',
        'lab.loads.relay_load',
        f'--port={relay.port}',
        f'--streams={_FLAGS.streams}',
        f'--seconds={_FLAGS.seconds}',
        f'--slow={_FLAGS.slow}',
    ]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as load:
        assert load.stdout is not None
        load.stdout.readline()
        before = process.cpu_times()
        body = load.stdout.read()
        after = process.cpu_times()
        memory = process.memory_info().rss
    reading = msgspec.json.decode(body, type=LoadReading)
    user = after.user - before.user
    total = user + after.system - before.system
    return Sample(
        total / reading.tokens * 1e6,
        user / reading.tokens * 1e6,
        memory / _BYTES_PER_MB,
        reading,
    )


def start_relays(fleet: Fleet) -> dict[str, Started]:
    """Start the engines, the bare relay and one node."""
    platform = start_platform(fleet)
    engines = [
        fleet.start_stand_in(
            'metronome',
            f'engine-{number}',
            f'--size={_FLAGS.size}',
        )
        for number in range(_FLAGS.engines)
    ]
    ports = ','.join(str(engine.port) for engine in engines)
    base = msgspec.convert(_build_config(engines), Config)
    Publisher(platform.config.url).publish_base(base)
    settings = build_settings(fleet, 'vm-0', 'luzon-a', platform)
    settings['limits'] = {'caller_grace_seconds': 0.1}
    publish_vms(platform, (settings,))
    targets = f'--targets={ports}'
    bare = fleet.start_stand_in('bare_relay', 'bare', targets)
    loop = fleet.start_stand_in(
        'bare_relay',
        'loop',
        targets,
        '--loop_transports',
    )
    node = fleet.launch_node('vm-0', settings)
    wait_ready(node)
    wait_version((node,), 1)
    return {'bare': bare, 'loop': loop, 'node': node}


def _build_config(engines: list[Started]) -> object:
    return {
        'version': 1,
        'data_centres': {'luzon-a': {'region': 'ph-luzon'}},
        'teams': {'t': {}},
        'models': {'m': {}},
        'targets': {
            engine.name: {
                'address': f'127.0.0.1:{engine.port}',
                'data_centre': 'luzon-a',
                'model': 'm',
                'concurrent': 64,
                'memory_tokens': 1_000_000,
            }
            for engine in engines
        },
    }


def summarise(rounds: list[dict[str, Sample]]) -> dict[str, object]:
    """Return medians and spread over the rounds."""
    ratios = [one['node'].cpu_us / one['bare'].cpu_us for one in rounds]
    summary: dict[str, object] = {
        'ratio': round(statistics.median(ratios), 3),
        'ratio_min': round(min(ratios), 3),
        'ratio_max': round(max(ratios), 3),
        'ratio_to_loop': round(
            statistics.median(
                one['node'].cpu_us / one['loop'].cpu_us for one in rounds
            ),
            3,
        ),
        'wrong': sum(one['node'].load.wrong for one in rounds),
        'streams': _FLAGS.streams,
        'slow': _FLAGS.slow,
        'event_bytes': _FLAGS.size,
        'rounds': len(rounds),
    }
    for name in ('bare', 'loop', 'node'):
        samples = [one[name] for one in rounds]
        summary[name] = {
            'cpu_us': _median([one.cpu_us for one in samples]),
            'user_us': _median([one.user_us for one in samples]),
            'memory_mb': _median([one.memory_mb for one in samples]),
            'p50_ms': _median([one.load.p50_ms for one in samples]),
            'p99_ms': _median([one.load.p99_ms for one in samples]),
            'tokens_per_second': _median(
                [one.load.tokens / one.load.seconds for one in samples],
            ),
        }
    return summary


def _median(readings: list[float]) -> float:
    return round(statistics.median(readings), 2)


def main() -> None:
    """Measure both relays in turn, print and append the summary."""
    parse_flags(_FLAGS)
    rounds: list[dict[str, Sample]] = []
    with (
        tempfile.TemporaryDirectory() as folder,
        run_fleet(Path(folder)) as fleet,
    ):
        relays = start_relays(fleet)
        for _ in range(_FLAGS.rounds):
            rounds.append(
                {name: measure(relay) for name, relay in relays.items()},
            )
    summary = summarise(rounds)
    print(json.dumps(summary, indent=2))
    if _FLAGS.record:
        append_result('relay', summary)


if __name__ == '__main__':
    main()
