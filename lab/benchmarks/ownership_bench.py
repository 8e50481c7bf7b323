"""Processor time and memory of calls that may not be repeated."""

import asyncio
import json
import statistics
import tempfile
import time
import tracemalloc
from dataclasses import dataclass
from pathlib import Path

import msgspec
import psutil
from absl import flags

from chicoryshunt.connection.caller_api import Entries
from chicoryshunt.connection.client import HttpClient
from chicoryshunt.operations import run_until_done
from chicoryshunt.ownership.grants import (
    GRANT_LIFE_SECONDS,
    RequestName,
)
from chicoryshunt.ownership.records import (
    RECORD_SECONDS,
    RecordTable,
    Submission,
    TableLimits,
)
from chicoryshunt.request.outcome import TargetAnswer
from lab.benchmarks.results import append_result
from lab.standins.daemon import parse_flags
from lab.trials.fleet import run_fleet
from lab.trials.topology import SMALL, Placed, UserFleet

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('rounds', 5, 'rounds of each kind', flag_values=_FLAGS)
flags.DEFINE_integer('calls', 300, 'calls a round', flag_values=_FLAGS)
flags.DEFINE_integer('at_once', 8, 'calls at once', flag_values=_FLAGS)
flags.DEFINE_integer('records', 20_000, 'records held', flag_values=_FLAGS)
flags.DEFINE_integer('size', 200, 'bytes an answer', flag_values=_FLAGS)
flags.DEFINE_float('requests', 8000, 'requests a second', flag_values=_FLAGS)
flags.DEFINE_integer('nodes', 360, 'nodes of the fleet', flag_values=_FLAGS)
flags.DEFINE_float('share', 0.1, 'not repeatable', flag_values=_FLAGS)
flags.DEFINE_boolean('record', True, 'append the result', flag_values=_FLAGS)

_MICROSECONDS = 1_000_000
_DIGITS = 1
_BYTES_PER_MB = 1 << 20
_KINDS = ('repeatable', 'owned', 'forwarded')


@dataclass(frozen=True, slots=True)
class Cost:
    """Processor time of one call, in microseconds, at both nodes."""

    owner_us: float
    forwarder_us: float


class CallBench:
    """Calls one owner directly and through another node."""

    def __init__(self, user: UserFleet) -> None:
        """Let the first node own, and the second forward."""
        self._owner = user.nodes[0]
        self._forwarder = user.nodes[1]
        self._client = HttpClient()
        self._number = 0
        self._token = ''

    async def run(self) -> dict[str, Cost]:
        """Return the median cost of each kind of call."""
        costs: dict[str, list[Cost]] = {kind: [] for kind in _KINDS}
        for number in range(_FLAGS.rounds + 1):
            for kind in _KINDS:
                cost = await self._measure(kind)
                if number:
                    costs[kind].append(cost)
        return {name: _find_median(found) for name, found in costs.items()}

    async def _measure(self, kind: str) -> Cost:
        """Return the cost of a call above the nodes' cost when idle."""
        self._token = await self._get_token()
        before = self._read_times()
        started = time.monotonic()
        await asyncio.gather(*(self._send(kind) for _ in _list_workers()))
        seconds = time.monotonic() - started
        after = self._read_times()
        await asyncio.sleep(seconds)
        idle = self._read_times()
        scale = _MICROSECONDS / (_count_calls() * _FLAGS.at_once)
        return Cost(
            (2 * after[0] - before[0] - idle[0]) * scale,
            (2 * after[1] - before[1] - idle[1]) * scale,
        )

    async def _send(self, kind: str) -> None:
        node = self._forwarder if kind == 'forwarded' else self._owner
        method = 'GET' if kind == 'repeatable' else 'POST'
        for _ in range(_count_calls()):
            await self._call(node, method)

    def _read_times(self) -> tuple[float, float]:
        return _read_time(self._owner), _read_time(self._forwarder)

    async def _get_token(self) -> str:
        _, body = await self._client.read(
            'GET',
            f'{self._owner.url}/v1/entries',
        )
        grant = msgspec.json.decode(body, type=Entries).grant
        assert grant is not None
        return grant.token

    async def _call(self, node: Placed, method: str) -> None:
        self._number += 1
        status, body = await self._client.read(
            method,
            f'{node.url}/v1/call/{SMALL.service}/file',
            b'{}',
            {
                'x-team': SMALL.teams[0],
                'x-grant': self._token,
                'idempotency-key': f'key-{self._number}',
            },
        )
        assert status == 200, body


def measure_record() -> float:
    """Return the bytes of memory that one record takes."""
    table = RecordTable(
        TableLimits(records=_FLAGS.records, table_bytes=1 << 40)
    )
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(_FLAGS.records):
        name = RequestName(number.to_bytes(16))
        table.admit(Submission(name, bytes(name), 0), 1)
        body = number.to_bytes(_FLAGS.size)
        table.end(name, TargetAnswer(200, 'application/json', body), 1)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / len(table)


def _find_median(costs: list[Cost]) -> Cost:
    return Cost(
        statistics.median(cost.owner_us for cost in costs),
        statistics.median(cost.forwarder_us for cost in costs),
    )


def _count_calls() -> int:
    return int(_FLAGS.calls // _FLAGS.at_once)


def _list_workers() -> range:
    return range(_FLAGS.at_once)


def _read_time(node: Placed) -> float:
    times = psutil.Process(node.process.pid).cpu_times()
    return float(times.user + times.system)


def _describe_costs(costs: dict[str, Cost]) -> dict[str, object]:
    repeatable = costs['repeatable'].owner_us
    owned = costs['owned'].owner_us
    forwarded = costs['forwarded']
    return {
        'repeatable_us': round(repeatable, _DIGITS),
        'owned_us': round(owned, _DIGITS),
        'forwarded_owner_us': round(forwarded.owner_us, _DIGITS),
        'forwarded_other_us': round(forwarded.forwarder_us, _DIGITS),
        'owned_ratio': round(owned / repeatable, 2),
        'forwarded_ratio': round(forwarded.owner_us / owned, 2),
    }


def _describe_records() -> dict[str, object]:
    record_bytes = measure_record()
    rate = _FLAGS.requests / _FLAGS.nodes * _FLAGS.share
    records = rate * (GRANT_LIFE_SECONDS + RECORD_SECONDS)
    return {
        'record_bytes': round(record_bytes),
        'answer_bytes': _FLAGS.size,
        'share': _FLAGS.share,
        'owned_rate': round(rate, 2),
        'records': round(records),
        'records_mb': round(records * record_bytes / _BYTES_PER_MB, 2),
    }


def main() -> None:
    """Run the benchmark and append its result."""
    parse_flags(_FLAGS)
    with (
        tempfile.TemporaryDirectory() as folder,
        run_fleet(Path(folder)) as fleet,
    ):
        user = UserFleet(fleet, SMALL)
        costs = run_until_done(lambda: CallBench(user).run())
    figures = _describe_costs(costs) | _describe_records()
    print(json.dumps(figures, indent=2))
    if _FLAGS.record:
        append_result('ownership', figures)


if __name__ == '__main__':
    main()
