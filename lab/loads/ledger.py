"""Ledger of the answers to callers, one record per request."""

import itertools
from pathlib import Path

import msgspec

from chicoryshunt.caller.answer import Answer
from chicoryshunt.types import RunState


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request as its caller observed it; times are in seconds.

    ``exact`` means that each token came once, in order, from one generation.
    """

    key: str
    kind: str
    team: str
    started: float
    seconds: float
    verdict: str
    reason: str = ''
    detail: str = ''
    ending: str = ''
    tokens: int = 0
    expected: int = 0
    exact: bool = True
    first_seconds: float | None = None
    worst_gap_seconds: float = 0
    status: int = 0

    @property
    def is_whole(self) -> bool:
        """Return whether the caller received the whole answer."""
        if self.kind == 'filing':
            return self.verdict == RunState.ran.value and not self.reason
        return self.ending == 'stop' and self.tokens == self.expected


def check_tokens(answer: Answer) -> bool:
    """Return whether each token of one generation came once, in order."""
    return answer.tokens == [f't{one}' for one in range(len(answer.tokens))]


def find_worst_gap(answer: Answer) -> float:
    """Return the longest time between successive arrivals, in seconds."""
    times = [arrived.at for arrived in answer.arrivals]
    gaps = (late - early for early, late in itertools.pairwise(times))
    return max(gaps, default=0)


def write_records(path: Path, records: list[Record]) -> None:
    """Write records to a file of JSON lines."""
    lines = (msgspec.json.encode(record) for record in records)
    path.write_bytes(b'\n'.join(lines))


def read_records(path: Path) -> list[Record]:
    """Return the records of a file of JSON lines."""
    return [
        msgspec.json.decode(line, type=Record)
        for line in path.read_bytes().splitlines()
    ]
