"""Counts the promises by the ledgers of callers and stand-ins."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from chicoryshunt.invariants import Invariant
from chicoryshunt.types import RunState
from lab.loads.ledger import Record
from lab.standins.runs import Run, RunLedger

OUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Outage:
    """A target that may get no new work from a time to another."""

    target: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Versions:
    """Versions that one process told, in order."""

    process: str
    versions: tuple[int, ...]


@dataclass(slots=True)
class Evidence:
    """Everything a trial saw; times are in seconds since the epoch.

    ``graceful`` says that only planned stops happened. ``broken_inside``
    counts the promises that nodes found broken themselves.
    """

    records: Sequence[Record]
    engines: Mapping[str, RunLedger]
    services: Mapping[str, RunLedger]
    versions: Sequence[Versions]
    limits: Mapping[str, int]
    outages: Sequence[Outage] = ()
    leavings: Sequence[Outage] = ()
    graceful: bool = False
    exits: Mapping[str, int] = field(default_factory=dict)
    broken_inside: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class Count:
    """How often a promise was checked and broken, with one example."""

    promise: Invariant
    checked: int
    broken: int
    example: str = ''


def count_promises(evidence: Evidence) -> list[Count]:
    """Return a count for each promise that the ledgers can judge."""
    counts = (
        _count_tokens(evidence),
        _count_limits(evidence),
        _count_outages(Invariant.data_centre_out, evidence, evidence.outages),
        _count_whole(evidence),
        _count_refusals(evidence),
        _count_runs(evidence),
        _count_outages(Invariant.target_leaving, evidence, evidence.leavings),
        _count_graceful(evidence),
        _count_versions(evidence),
    )
    return [_add_inside(one, evidence.broken_inside) for one in counts]


def _judge(
    promise: Invariant,
    checked: int,
    broken: Iterable[str],
) -> Count:
    found = list(broken)
    return Count(promise, checked, len(found), found[0] if found else '')


def _add_inside(count: Count, inside: Counter[str]) -> Count:
    found = inside[count.promise.value]
    if not found:
        return count
    return Count(
        count.promise,
        count.checked,
        count.broken + found,
        count.example or f'{found} found by the nodes themselves',
    )


def _count_tokens(evidence: Evidence) -> Count:
    streamed = [one for one in evidence.records if one.tokens]
    return _judge(
        Invariant.token_once,
        len(streamed),
        (f'{one.key}: {one}' for one in streamed if not one.exact),
    )


def _count_limits(evidence: Evidence) -> Count:
    ledgers = {**evidence.engines, **evidence.services}
    return _judge(
        Invariant.start_limit,
        len(ledgers),
        (
            f'{name}: {ledger.peak} at once, limit {evidence.limits[name]}'
            for name, ledger in ledgers.items()
            if ledger.peak > evidence.limits[name]
        ),
    )


def _count_outages(
    promise: Invariant,
    evidence: Evidence,
    outages: Sequence[Outage],
) -> Count:
    ledgers = {**evidence.engines, **evidence.services}
    late = [
        f'{outage.target}: {run.key} {run.at - outage.since:.2f} s after'
        for outage in outages
        for run in ledgers[outage.target].runs
        if _is_late(run, outage)
    ]
    return _judge(promise, len(outages), late)


def _is_late(run: Run, outage: Outage) -> bool:
    return outage.since + OUT_SECONDS < run.at < outage.until


def _count_whole(evidence: Evidence) -> Count:
    ended = [one for one in evidence.records if one.ending == 'stop']
    return _judge(
        Invariant.whole_answer,
        len(ended),
        (
            f'{one.key}: {one.tokens} tokens of {one.expected}'
            for one in ended
            if not one.is_whole
        ),
    )


def _count_refusals(evidence: Evidence) -> Count:
    runs = _count_keys(evidence)
    refused = [
        one for one in evidence.records if one.verdict == RunState.not_run.value
    ]
    return _judge(
        Invariant.true_refusal,
        len(refused),
        (f'{one.key}: {one.reason}' for one in refused if runs[one.key]),
    )


def _count_keys(evidence: Evidence) -> Counter[str]:
    ledgers = (*evidence.engines.values(), *evidence.services.values())
    return Counter(run.key for ledger in ledgers for run in ledger.runs)


def _count_runs(evidence: Evidence) -> Count:
    runs = Counter(
        run.key for ledger in evidence.services.values() for run in ledger.runs
    )
    return _judge(
        Invariant.at_most_once,
        len(runs),
        (f'{key}: {count} runs' for key, count in runs.items() if count > 1),
    )


def _count_graceful(evidence: Evidence) -> Count:
    if not evidence.graceful:
        return Count(Invariant.graceful_stop, 0, 0)
    cut = [
        f'{one.key}: {one.verdict} {one.reason} {one.detail}'
        for one in evidence.records
        if not one.is_whole and one.verdict != RunState.not_run.value
    ]
    exits = [
        f'{name} exited with {status}'
        for name, status in evidence.exits.items()
        if status
    ]
    return _judge(Invariant.graceful_stop, len(evidence.records), cut + exits)


def _count_versions(evidence: Evidence) -> Count:
    return _judge(
        Invariant.version_rises,
        sum(len(one.versions) for one in evidence.versions),
        (
            f'{one.process}: {one.versions}'
            for one in evidence.versions
            if list(one.versions) != sorted(one.versions)
        ),
    )


def format_counts(counts: Iterable[Count]) -> str:
    """Return the counts as a table."""
    lines = [f'{"promise":16} {"checked":>8} {"broken":>7}  example']
    lines.extend(
        f'{one.promise.value:16} {one.checked:8} {one.broken:7}  {one.example}'
        for one in counts
    )
    return '\n'.join(line.rstrip() for line in lines)
