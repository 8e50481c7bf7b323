"""The at-most-once table: which requests ran, and how each ended."""

import heapq
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

import msgspec

from chicoryshunt.exceptions import ChicoryshuntError
from chicoryshunt.ownership.grants import GRANT_LIFE_SECONDS, RequestName
from chicoryshunt.request.outcome import (
    CallOutcome,
    NoAnswer,
    TargetAnswer,
    mark_final,
    summarize_answer,
)
from chicoryshunt.types import Reason, Seconds
from chicoryshunt.verdict import Verdict, build_uncertain, refuse

RECORD_SECONDS = 300.0
MAX_RECORDS = 20_000
MAX_REPLAY_BYTES = 65_536
MAX_TABLE_BYTES = 25_165_824
RECORD_OVERHEAD_BYTES = 512

_RETRY_SECONDS = Seconds(1)


class TableError(ChicoryshuntError):
    """The table was used against its rules."""


class Submission(msgspec.Struct, frozen=True):
    """One arrival of a request; ``minted`` is when its grant was made.

    ``fingerprint`` covers everything that a repeat must have in common.
    """

    name: RequestName
    fingerprint: bytes
    minted: float


@dataclass(frozen=True, slots=True)
class Begin:
    """The request runs now; the table must be told how it ended."""


@dataclass(frozen=True, slots=True)
class Wait:
    """The request is running already."""


@dataclass(frozen=True, slots=True)
class Done:
    """The request is not to run; this is its answer."""

    outcome: CallOutcome


Admission: TypeAlias = Begin | Wait | Done


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One ended request; ``expires`` is in seconds of the owner's clock."""

    name: RequestName
    fingerprint: bytes
    outcome: CallOutcome
    expires: float


class TableLimits(NamedTuple):
    """How many records and bytes a table may hold."""

    records: int = MAX_RECORDS
    table_bytes: int = MAX_TABLE_BYTES


class RecordTable:
    """Decides for the grants of one process which requests run.

    Times are seconds of the owner's clock.
    """

    def __init__(self, bounds: TableLimits) -> None:
        """Start empty and open."""
        self.is_sealed = False
        self._bounds = bounds
        self._running: dict[RequestName, Submission] = {}
        self._ended: dict[RequestName, Record] = {}
        self._expiries: list[tuple[float, RequestName]] = []
        self._ended_bytes = 0
        self._void_before = float('-inf')

    def __len__(self) -> int:
        """Return how many requests are running or remembered."""
        return len(self._running) + len(self._ended)

    @property
    def running(self) -> int:
        """Return how many requests run now."""
        return len(self._running)

    @property
    def size(self) -> int:
        """Return the bytes held and reserved."""
        reserved = len(self._running) * MAX_REPLAY_BYTES
        return self._ended_bytes + reserved

    def admit(self, ask: Submission, now: float) -> Admission:
        """Decide what becomes of an arrival."""
        self.forget(now)
        record = self._ended.get(ask.name)
        if record is not None:
            return Done(replay(record, ask))
        running = self._running.get(ask.name)
        if running is not None:
            return Wait() if running == ask else Done(refuse_reuse())
        refusal = self._find_refusal(ask, now)
        if refusal is not None:
            return Done(refusal)
        self._running[ask.name] = ask
        return Begin()

    def end(
        self,
        name: RequestName,
        outcome: CallOutcome,
        now: float,
    ) -> CallOutcome:
        """Record how a running request ended; return what to answer."""
        ask = self._running.pop(name, None)
        if ask is None:
            raise TableError('a request ended that was not running')
        final = mark_final(outcome)
        expires = max(ask.minted + GRANT_LIFE_SECONDS, now) + RECORD_SECONDS
        record = Record(name, ask.fingerprint, _bound(final), expires)
        self._ended[name] = record
        self._ended_bytes += measure(record)
        heapq.heappush(self._expiries, (expires, name))
        return final

    def has_ended(self, name: RequestName) -> bool:
        """Say whether a request is recorded as ended."""
        return name in self._ended

    def cancel(self, name: RequestName) -> None:
        """Forget that a request was to begin."""
        self._running.pop(name, None)

    def forget(self, now: float) -> None:
        """Drop the records that no arrival can need any more."""
        while self._expiries and self._expiries[0][0] <= now:
            _, name = heapq.heappop(self._expiries)
            self._ended_bytes -= measure(self._ended.pop(name))

    def reject_grants_before(self, now: float) -> None:
        """Let no request begin under a grant minted before now."""
        self._void_before = now

    def seal(self) -> None:
        """Let nothing begin any more, for good."""
        self.is_sealed = True

    def list_records(self) -> tuple[Record, ...]:
        """Return every record of a sealed table in which nothing runs."""
        if self._running or not self.is_sealed:
            raise TableError('an open table cannot be handed off')
        return tuple(self._ended.values())

    def _find_refusal(self, ask: Submission, now: float) -> NoAnswer | None:
        refusal = judge_unknown(ask, now)
        if refusal is not None:
            return refusal
        if self.is_sealed:
            return close(Reason.draining, 'the owner takes no new requests')
        if ask.minted <= self._void_before:
            return close(Reason.grant_expired, 'the owner was paused')
        if self._is_full():
            return NoAnswer(
                refuse(Reason.table_full, 'no record is free', _RETRY_SECONDS),
            )
        return None

    def _is_full(self) -> bool:
        return (
            len(self) >= self._bounds.records
            or self.size + MAX_REPLAY_BYTES > self._bounds.table_bytes
        )


def judge_unknown(ask: Submission, now: float) -> NoAnswer | None:
    """Return why a request without a record cannot run under its grant.

    A record outlives its grant by ``RECORD_SECONDS``: within that time a
    missing record proves that the request did not run.
    """
    grant_end = ask.minted + GRANT_LIFE_SECONDS
    if now >= grant_end + RECORD_SECONDS:
        return NoAnswer(
            build_uncertain(
                Reason.grant_expired, 'the record may be forgotten'
            ),
        )
    if now >= grant_end:
        return close(Reason.grant_expired, 'the grant is past its life')
    return None


def replay(record: Record, ask: Submission) -> CallOutcome:
    """Return the recorded outcome if the arrival is a true repeat."""
    if record.fingerprint != ask.fingerprint:
        return refuse_reuse()
    return record.outcome


def refuse_reuse() -> NoAnswer:
    """Refuse another request under a key that is taken."""
    return NoAnswer(
        refuse(Reason.key_reused, 'another request has this key'),
    )


def close(reason: Reason, detail: str) -> NoAnswer:
    """Refuse a request whose name can never run any more."""
    return NoAnswer(refuse(reason, detail, Seconds(0)), is_final=True)


def measure(record: Record) -> int:
    """Return the bytes a record is counted as."""
    match record.outcome:
        case TargetAnswer(content_type=content_type, body=body):
            return RECORD_OVERHEAD_BYTES + len(content_type) + len(body)
        case NoAnswer(Verdict(detail=detail)):
            return RECORD_OVERHEAD_BYTES + len(detail)


def _bound(outcome: CallOutcome) -> CallOutcome:
    match outcome:
        case TargetAnswer(body=body) if len(body) > MAX_REPLAY_BYTES:
            return summarize_answer(outcome)
        case _:
            return outcome
