"""Appends measured results to one file of JSON lines."""

import json
import subprocess
from datetime import UTC, datetime
from pathlib import Path

_ROOT = Path(__file__).resolve().parents[2]
_RESULTS = _ROOT / 'benchmarks' / 'results.jsonl'


def append_result(benchmark: str, figures: dict[str, object]) -> None:
    """Append one line with the commit and the time of the run."""
    line = {
        'benchmark': benchmark,
        'commit': find_commit(),
        'at': datetime.now(UTC).isoformat(timespec='seconds'),
        **figures,
    }
    _RESULTS.parent.mkdir(exist_ok=True)
    with _RESULTS.open('a', encoding='utf-8') as results:
        results.write(f'{json.dumps(line)}\n')


def find_commit() -> str:
    """Return the commit of the tree, marked when it has changes."""
    described = subprocess.run(
        ['git', 'describe', '--always', '--dirty', '--abbrev=12'],
        cwd=_ROOT,
        capture_output=True,
        check=True,
        text=True,
    )
    return described.stdout.strip()
