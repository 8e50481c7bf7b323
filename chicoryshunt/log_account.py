"""Merge saved logs of many nodes into the history of one request."""

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path

import msgspec

from chicoryshunt.exceptions import UsageError

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
_TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
# Events of nodes and targets shortly before a request may explain it.
_LOOKBACK_SECONDS = 30
_TARGET_FIELDS = ('target', 'source', 'destination', 'overdue')
_TARGET_EVENTS = frozenset(('target_phase', 'target_paused'))
# Every node logs these about the same targets. Only what the request's own
# nodes knew explains their decisions.
_KNOWN_TARGET_EVENTS = frozenset(
    ('engine_pace_normal', 'engine_slow', 'target_down'),
)
_NODE_EVENTS = frozenset(
    (
        'log_lines_dropped',
        'node_leaving',
        'node_started',
        'node_stopped',
        'reading_duty',
        'rules_in_force',
        'store_lost',
        'store_regained',
    ),
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """Event in the log of a node; ``node`` is the file name's stem."""

    time: datetime
    node: str
    event: str
    fields: dict[str, str]


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Return the events of saved logs; raise ``UsageError`` for a bad path.

    Lines that are not events, such as tracebacks, are skipped.
    """
    found = []
    for path in paths:
        try:
            text = path.read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            raise UsageError(f'{path}: {error.strerror}') from error
        for line in text.splitlines():
            event = parse_line(line, path.stem)
            if event is not None:
                found.append(event)
    return found


def parse_line(line: str, node: str) -> LogLine | None:
    """Return the event in a line, ``None`` if the line is not an event."""
    fields = {name: _decode(text) for name, text in _FIELD.findall(line)}
    try:
        time = datetime.strptime(fields.pop('time', ''), _TIME_FORMAT)
    except ValueError:
        return None
    fields.pop('level', None)
    return LogLine(time, node, fields.pop('event', ''), fields)


def explain_request(
    lines: Sequence[LogLine],
    request: str,
) -> list[LogLine]:
    """Return the events of a request and related events, sorted by time.

    Related are events of the nodes and targets that the request used. A
    change of a target's state that several nodes logged is returned once,
    as the first of them logged it.
    """
    own = [line for line in lines if line.fields.get('request') == request]
    if not own:
        return []
    begin = min(line.time for line in own)
    begin -= timedelta(seconds=_LOOKBACK_SECONDS)
    end = max(line.time for line in own)
    targets = {
        line.fields[name]
        for line in own
        for name in _TARGET_FIELDS
        if name in line.fields
    }
    nodes = {line.node for line in own}
    related = [
        line
        for line in lines
        if begin <= line.time <= end and _is_related(line, targets, nodes)
    ]
    merged = sorted((*own, *related), key=lambda line: line.time)
    return _remove_duplicates(merged)


def format_lines(lines: Iterable[LogLine]) -> str:
    """Return one line per event, with its time and node."""
    rendered = []
    for line in lines:
        fields = ' '.join(
            f'{name}={text}'
            for name, text in line.fields.items()
            if name != 'request'
        )
        timestamp = line.time.strftime('%H:%M:%S.%f')
        rendered.append(f'{timestamp} {line.node:16} {line.event} {fields}')
    return '\n'.join(rendered)


def _decode(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return msgspec.json.decode(text, type=str)
    except msgspec.DecodeError:
        return text


def _is_related(line: LogLine, targets: set[str], nodes: set[str]) -> bool:
    if line.event in _TARGET_EVENTS:
        return line.fields.get('target') in targets
    if line.node not in nodes:
        return False
    if line.event in _KNOWN_TARGET_EVENTS:
        return line.fields.get('target') in targets
    return line.event in _NODE_EVENTS


def _remove_duplicates(lines: Iterable[LogLine]) -> list[LogLine]:
    seen: set[tuple[str | None, ...]] = set()
    kept = []
    for line in lines:
        if line.event == 'target_phase':
            key = (line.fields.get('target'), line.fields.get('revision'))
            if key in seen:
                continue
            seen.add(key)
        kept.append(line)
    return kept
