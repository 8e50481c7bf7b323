"""Load generator for generations and filings that records the answers."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

from absl import flags
from hdrh.histogram import HdrHistogram

from chicoryshunt.caller.answer import Answer
from chicoryshunt.caller.caller import Caller
from chicoryshunt.exceptions import CallError
from chicoryshunt.operations import run_until_done
from chicoryshunt.types import RunState
from lab.loads.ledger import Record, check_tokens, find_worst_gap, write_records
from lab.standins.daemon import parse_flags

_FLAGS = flags.FlagValues()
flags.DEFINE_list('nodes', [], 'addresses of nodes', flag_values=_FLAGS)
flags.DEFINE_list('teams', [], 'teams to call as', flag_values=_FLAGS)
flags.DEFINE_string('model', '', 'model to call', flag_values=_FLAGS)
flags.DEFINE_string('service', '', 'service to call', flag_values=_FLAGS)
flags.DEFINE_float('rate', 10, 'generations per second', flag_values=_FLAGS)
flags.DEFINE_float('filings', 5, 'filings per second', flag_values=_FLAGS)
flags.DEFINE_float('seconds', 10, 'seconds to send for', flag_values=_FLAGS)
flags.DEFINE_float('mu', 4, 'mean of the log of the length', flag_values=_FLAGS)
flags.DEFINE_float(
    'sigma',
    1,
    'standard deviation of the log of the length',
    flag_values=_FLAGS,
)
flags.DEFINE_integer(
    'longest', 2000, 'maximum length of an answer in tokens', flag_values=_FLAGS
)
flags.DEFINE_integer('seed', 1, 'seed', flag_values=_FLAGS)
flags.DEFINE_string('delivery', 'stream', 'delivery', flag_values=_FLAGS)
flags.DEFINE_string('ledger', '', 'file for the ledger', flag_values=_FLAGS)

_MS = 1000
_MAX_MS = 3_600_000
_PERCENTILES = (50, 95, 99)


class Load:
    """Open-loop load: requests start on schedule, also if answers are late."""

    def __init__(self, rng: random.Random) -> None:
        """Create one caller for each team."""
        self.records: list[Record] = []
        self._rng = rng
        self._callers = {
            team: Caller(_FLAGS.nodes, team) for team in _FLAGS.teams
        }
        self._number = 0

    async def run(self) -> list[Record]:
        """Send for the time in the flags and wait for every answer."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send(group, _FLAGS.rate, self._generate))
            group.create_task(self._send(group, _FLAGS.filings, self._file))
        return self.records

    async def _send(
        self,
        group: asyncio.TaskGroup,
        rate: float,
        send: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        end = due + _FLAGS.seconds
        while rate and due < end:
            due += self._rng.expovariate(rate)
            await asyncio.sleep(max(0, due - loop.time()))
            group.create_task(send())

    def _build_key(self, kind: str) -> str:
        self._number += 1
        return f'{kind}-{_FLAGS.seed}-{self._number}'

    async def _generate(self) -> None:
        key = self._build_key('g')
        team = self._rng.choice(_FLAGS.teams)
        drawn = self._rng.lognormvariate(_FLAGS.mu, _FLAGS.sigma)
        length = max(1, min(_FLAGS.longest, int(drawn)))
        body = {
            'prompt': f'length={length} key={key}',
            'max_tokens': _FLAGS.longest,
            'prompt_tokens': 100,
            'delivery': _FLAGS.delivery,
        }
        started = time.time()
        sent_at = asyncio.get_running_loop().time()
        answer = await _call(self._callers[team].generate(_FLAGS.model, body))
        first = answer.arrivals[0].at - sent_at if answer.arrivals else None
        self.records.append(
            Record(
                key,
                'generation',
                team,
                started,
                time.time() - started,
                answer.verdict.value,
                answer.reason,
                answer.detail,
                answer.ending,
                len(answer.tokens),
                length,
                check_tokens(answer),
                first,
                find_worst_gap(answer),
                answer.status,
            ),
        )

    async def _file(self) -> None:
        key = self._build_key('f')
        team = self._rng.choice(_FLAGS.teams)
        started = time.time()
        caller = self._callers[team]
        answer = await _call(caller.call_service(_FLAGS.service, 'file', key))
        self.records.append(
            Record(
                key,
                'filing',
                team,
                started,
                time.time() - started,
                answer.verdict.value,
                answer.reason,
                answer.detail,
                status=answer.status,
            ),
        )


async def _call(answering: Awaitable[Answer]) -> Answer:
    try:
        return await answering
    except CallError as error:
        return Answer(RunState.not_run, 'no_node', str(error))


def summarize(records: list[Record]) -> str:
    """Return counts of outcomes and percentiles of times in milliseconds."""
    lines = [f'{len(records)} requests']
    outcomes = Counter(
        (one.kind, one.verdict, one.reason, one.is_whole) for one in records
    )
    for (kind, verdict, reason, is_whole), count in sorted(outcomes.items()):
        whole = 'whole' if is_whole else 'not whole'
        lines.append(f'{count:6} {kind} {verdict} {reason or "-"} {whole}')
    first = [one.first_seconds for one in records if one.first_seconds]
    gaps = [one.worst_gap_seconds for one in records if one.tokens > 1]
    lines.append(f'first token ms {_describe_tail(first)}')
    lines.append(f'worst gap ms   {_describe_tail(gaps)}')
    return '\n'.join(lines)


def _describe_tail(seconds: list[float]) -> str:
    histogram = HdrHistogram(1, _MAX_MS, 3)
    for one in seconds:
        histogram.record_value(max(1, round(one * _MS)))
    return ' '.join(
        f'p{percentile}={histogram.get_value_at_percentile(percentile)}'
        for percentile in _PERCENTILES
    )


def main() -> None:
    """Run the load, print a summary and write the ledger."""
    parse_flags(_FLAGS)
    records = run_until_done(
        lambda: Load(random.Random(_FLAGS.seed)).run(),
    )
    print(summarize(records))
    if _FLAGS.ledger:
        write_records(Path(_FLAGS.ledger), records)


if __name__ == '__main__':
    main()
