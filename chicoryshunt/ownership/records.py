"""The at-most-once table: which requests ran, and with what outcome."""

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
    """Error: the table was used in a state that does not allow it."""


class Submission(msgspec.Struct, frozen=True):
    """One arrival of a request; ``minted`` is when its grant was issued.

    ``fingerprint`` covers everything that must be equal in a repeat.
    """

    name: RequestName
    fingerprint: bytes
    minted: float


@dataclass(frozen=True, slots=True)
class Begin:
    """Decision to run the request; its end must be recorded."""


@dataclass(frozen=True, slots=True)
class Wait:
    """Decision to wait for the same request, which runs already."""


@dataclass(frozen=True, slots=True)
class Done:
    """Decision not to run the request, and the outcome to return."""

    outcome: CallOutcome


Admission: TypeAlias = Begin | Wait | Done


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One ended request; ``expires`` is in seconds of the owner's clock."""

    name: RequestName
    fingerprint: bytes
    outcome: CallOutcome
    expires: float


class TableLimits(NamedTuple):
    """Limits of a table."""

    records: int = MAX_RECORDS
    table_bytes: int = MAX_TABLE_BYTES


class RecordTable:
    """Decides which requests run under the grants of one process.

    Times are seconds of the owner's clock.
    """

    def __init__(self, limits: TableLimits) -> None:
        """Start empty and unsealed."""
        self.is_sealed = False
        self._limits = limits
        self._running: dict[RequestName, Submission] = {}
        self._ended: dict[RequestName, Record] = {}
        self._expiries: list[tuple[float, RequestName]] = []
        self._ended_bytes = 0
        self._valid_after = float('-inf')

    def __len__(self) -> int:
        """Return how many requests are running or recorded."""
        return len(self._running) + len(self._ended)

    @property
    def running(self) -> int:
        """Return how many requests run now."""
        return len(self._running)

    @property
    def size(self) -> int:
        """Return the bytes of records, with those reserved for running ones."""
        reserved = len(self._running) * MAX_REPLAY_BYTES
        return self._ended_bytes + reserved

    def admit(self, submission: Submission, now: float) -> Admission:
        """Decide whether an arriving request runs."""
        self.expire(now)
        record = self._ended.get(submission.name)
        if record is not None:
            return Done(replay(record, submission))
        running = self._running.get(submission.name)
        if running is not None:
            return (
                Wait() if running == submission else Done(refuse_reused_key())
            )
        refusal = self._check_admission(submission, now)
        if refusal is not None:
            return Done(refusal)
        self._running[submission.name] = submission
        return Begin()

    def end(
        self,
        name: RequestName,
        outcome: CallOutcome,
        now: float,
    ) -> CallOutcome:
        """Record the end of a running request; return what to answer."""
        submission = self._running.pop(name, None)
        if submission is None:
            raise TableError('only a running request can be ended')
        recorded = mark_final(outcome)
        expires = (
            max(submission.minted + GRANT_LIFE_SECONDS, now) + RECORD_SECONDS
        )
        record = Record(
            name, submission.fingerprint, _limit_size(recorded), expires
        )
        self._ended[name] = record
        self._ended_bytes += measure(record)
        heapq.heappush(self._expiries, (expires, name))
        return recorded

    def has_ended(self, name: RequestName) -> bool:
        """Return whether a request is recorded as ended."""
        return name in self._ended

    def cancel(self, name: RequestName) -> None:
        """Remove a request that was admitted but did not begin."""
        self._running.pop(name, None)

    def expire(self, now: float) -> None:
        """Drop expired records, which no arrival can need any more."""
        while self._expiries and self._expiries[0][0] <= now:
            _, name = heapq.heappop(self._expiries)
            self._ended_bytes -= measure(self._ended.pop(name))

    def reject_grants_before(self, now: float) -> None:
        """Begin no more requests under grants issued up to ``now``."""
        self._valid_after = now

    def seal(self) -> None:
        """Begin no more requests, for good."""
        self.is_sealed = True

    def list_records(self) -> tuple[Record, ...]:
        """Return every record of a sealed table in which nothing runs."""
        if self._running or not self.is_sealed:
            raise TableError(
                'only a sealed table without running requests can be listed'
            )
        return tuple(self._ended.values())

    def _check_admission(
        self, submission: Submission, now: float
    ) -> NoAnswer | None:
        refusal = refuse_expired(submission, now)
        if refusal is not None:
            return refusal
        if self.is_sealed:
            return refuse_final(
                Reason.draining, 'the owner takes no new requests'
            )
        if submission.minted <= self._valid_after:
            return refuse_final(Reason.grant_expired, 'the owner was paused')
        if self._is_full():
            return NoAnswer(
                refuse(Reason.table_full, 'no record is free', _RETRY_SECONDS),
            )
        return None

    def _is_full(self) -> bool:
        return (
            len(self) >= self._limits.records
            or self.size + MAX_REPLAY_BYTES > self._limits.table_bytes
        )


def refuse_expired(submission: Submission, now: float) -> NoAnswer | None:
    """Return the refusal of a request without a record, if its grant ended.

    A record outlives its grant by ``RECORD_SECONDS``: within that time a
    missing record proves that the request did not run. Later it may have
    run.
    """
    grant_end = submission.minted + GRANT_LIFE_SECONDS
    if now >= grant_end + RECORD_SECONDS:
        return NoAnswer(
            build_uncertain(
                Reason.grant_expired, 'the record may be forgotten'
            ),
        )
    if now >= grant_end:
        return refuse_final(Reason.grant_expired, 'the grant is past its life')
    return None


def replay(record: Record, submission: Submission) -> CallOutcome:
    """Return the recorded outcome if the fingerprints are equal."""
    if record.fingerprint != submission.fingerprint:
        return refuse_reused_key()
    return record.outcome


def refuse_reused_key() -> NoAnswer:
    """Refuse a different request under a key that is in use."""
    return NoAnswer(
        refuse(Reason.key_reused, 'another request has this key'),
    )


def refuse_final(reason: Reason, detail: str) -> NoAnswer:
    """Refuse a request whose name can never run any more."""
    return NoAnswer(refuse(reason, detail, Seconds(0)), is_final=True)


def measure(record: Record) -> int:
    """Return the accounted bytes of a record."""
    match record.outcome:
        case TargetAnswer(content_type=content_type, body=body):
            return RECORD_OVERHEAD_BYTES + len(content_type) + len(body)
        case NoAnswer(Verdict(detail=detail)):
            return RECORD_OVERHEAD_BYTES + len(detail)


def _limit_size(outcome: CallOutcome) -> CallOutcome:
    match outcome:
        case TargetAnswer(body=body) if len(body) > MAX_REPLAY_BYTES:
            return summarize_answer(outcome)
        case _:
            return outcome
