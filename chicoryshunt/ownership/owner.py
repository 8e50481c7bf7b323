"""Decides whether owned requests run on this node, and runs them."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import msgspec

from chicoryshunt.connection.caller_api import GrantOffer
from chicoryshunt.events import log_problem
from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.pause import PauseDetector
from chicoryshunt.ownership.grants import (
    GRANT_KEEP_SECONDS,
    GrantDamage,
    GrantIssuer,
    OwnerId,
    RequestName,
    SignedGrant,
    parse_grant,
)
from chicoryshunt.ownership.handoff import SealedRecords
from chicoryshunt.ownership.held_tables import HeldTables, PartAnswer, TablePart
from chicoryshunt.ownership.records import (
    Begin,
    Done,
    RecordTable,
    Submission,
    Wait,
)
from chicoryshunt.request.outcome import CallOutcome, NoAnswer, TargetAnswer
from chicoryshunt.types import IdempotencyKey, Reason, Seconds, VmId
from chicoryshunt.verdict import build_uncertain, refuse

Run: TypeAlias = Callable[[], Awaitable[CallOutcome]]


class OwnedRequest(msgspec.Struct, frozen=True):
    """A request under a grant, named by the caller's key."""

    signed: SignedGrant
    key: IdempotencyKey
    fingerprint: bytes

    @property
    def owner_id(self) -> OwnerId:
        """Return the owner that issued the grant."""
        return self.signed.grant.owner_id

    @property
    def submission(self) -> Submission:
        """Return the request as the owner's table takes it."""
        return Submission(
            self.signed.derive_name(self.key),
            self.fingerprint,
            self.signed.grant.minted,
        )


class Owner:
    """Decides with the records of this process and tables held for others."""

    def __init__(
        self,
        issuer: GrantIssuer,
        table: RecordTable,
        held_tables: HeldTables,
        pause_detector: PauseDetector,
        metrics: Metrics,
    ) -> None:
        """Start without running requests."""
        self.held_tables = held_tables
        self._issuer = issuer
        self._table = table
        self._pause_detector = pause_detector
        self._metrics = metrics
        self._invariants = InvariantChecker(metrics)
        self._runs: dict[RequestName, asyncio.Task[CallOutcome]] = {}
        pause_detector.subscribe(self._handle_pause)

    @property
    def owner_id(self) -> OwnerId:
        """Return the identity in the grants of this process."""
        return self._issuer.owner_id

    @property
    def running(self) -> int:
        """Return how many owned requests run now."""
        return self._table.running

    def offer_grant(self, address: str) -> GrantOffer | None:
        """Issue a grant, or ``None`` once this process is leaving."""
        now = self._pause_detector.check()
        if self._table.is_sealed:
            return None
        return GrantOffer(self._issuer.issue(now), address, GRANT_KEEP_SECONDS)

    def can_decide(self, owner_id: OwnerId) -> bool:
        """Return whether this process can decide under an owner's grants."""
        now = self._pause_detector.check()
        self.held_tables.expire(now)
        held = self.held_tables.find(owner_id)
        return owner_id == self.owner_id or held is not None

    async def decide(self, request: OwnedRequest, run: Run) -> CallOutcome:
        """Run the request if it is new; return its outcome.

        Check ``is_holding`` first: without the owner's records the outcome is
        that the request may have run.
        """
        now = self._pause_detector.check()
        if request.owner_id == self.owner_id:
            outcome = await self._decide_own(request, run, now)
        else:
            outcome = self._answer_from_held(request, now)
        self._count(outcome)
        return outcome

    async def receive_part(self, sender: VmId, part: TablePart) -> PartAnswer:
        """Store a part of a leaving node's sealed table."""
        return self.held_tables.receive(part, self._pause_detector.check())

    async def wait_idle(self) -> None:
        """Wait without a time limit until no owned request runs."""
        while self._runs:
            await asyncio.wait(tuple(self._runs.values()))

    def seal(self) -> None:
        """Begin no more requests under the grants of this process."""
        self._table.seal()

    def list_sealed(self) -> tuple[SealedRecords, ...]:
        """Return the tables to hand off; no request may be running."""
        own = SealedRecords(
            self.owner_id,
            self._issuer.key,
            self._table.list_records(),
        )
        held = (
            SealedRecords(
                table.head.owner_id,
                table.head.key,
                table.list_records(),
                table.offset,
            )
            for table in self.held_tables.list_tables()
        )
        return (own, *held)

    def set_gauges(self) -> None:
        """Set the gauges of the size of the tables."""
        self._metrics.set_gauge(
            'owned_records',
            'Records of owned requests',
            len(self._table),
        )
        self._metrics.set_gauge(
            'owned_bytes',
            'Bytes of records, own and held for others',
            self._table.size + self.held_tables.size,
        )

    async def _decide_own(
        self,
        request: OwnedRequest,
        run: Run,
        now: float,
    ) -> CallOutcome:
        if not request.signed.is_genuine(self._issuer.key):
            return refuse_forged(self._metrics, 'forged')
        submission = request.submission
        match self._table.admit(submission, now):
            case Begin():
                if not self._may_begin(submission):
                    return answer_already_begun()
                running = asyncio.ensure_future(self._run(submission, run))
                self._runs[submission.name] = running
                return await asyncio.shield(running)
            case Wait():
                return await asyncio.shield(self._runs[submission.name])
            case Done(outcome):
                return outcome

    def _may_begin(self, submission: Submission) -> bool:
        is_running = submission.name in self._runs
        may_begin = self._invariants.check(
            Invariant.at_most_once,
            not is_running and not self._table.has_ended(submission.name),
            request=submission.name.hex(),
        )
        if not may_begin and not is_running:
            self._table.cancel(submission.name)
        return may_begin

    def _answer_from_held(
        self, request: OwnedRequest, now: float
    ) -> CallOutcome:
        table = self.held_tables.find(request.owner_id)
        if table is None:
            return answer_owner_unreachable('its records are not here')
        if not request.signed.is_genuine(table.head.key):
            return refuse_forged(self._metrics, 'forged')
        return table.answer(request.submission, now)

    async def _run(self, submission: Submission, run: Run) -> CallOutcome:
        try:
            outcome = await run()
        except Exception as error:
            log_problem('owned_request_failed', error=repr(error))
            outcome = NoAnswer(
                build_uncertain(Reason.internal_error, repr(error))
            )
        finally:
            self._runs.pop(submission.name, None)
        return self._table.end(
            submission.name, outcome, self._pause_detector.check()
        )

    def _handle_pause(self, now: float, paused_seconds: float) -> None:
        self._table.reject_grants_before(now)

    def _count(self, outcome: CallOutcome) -> None:
        match outcome:
            case TargetAnswer():
                verdict = 'ran'
                reason = 'answered'
            case NoAnswer(verdict=call_verdict):
                verdict = call_verdict.run.value
                reason = call_verdict.reason.value
        self._metrics.count(
            'owned_requests',
            'Arrivals of owned requests, by verdict and reason',
            verdict=verdict,
            reason=reason,
        )


def read_request(
    token: str,
    key: IdempotencyKey,
    fingerprint: bytes,
    metrics: Metrics,
) -> OwnedRequest | NoAnswer:
    """Decode the grant of a request; refuse a token that is unreadable."""
    signed = parse_grant(token)
    if isinstance(signed, GrantDamage):
        return refuse_forged(metrics, signed.value)
    return OwnedRequest(signed, key, fingerprint)


def refuse_forged(metrics: Metrics, damage: str) -> NoAnswer:
    """Refuse and count a grant that is forged or cannot be read."""
    metrics.count(
        'grants_refused',
        'Grants that were not accepted, by damage',
        damage=damage,
    )
    log_problem('grant_refused', damage=damage)
    return NoAnswer(refuse(Reason.grant_forged, f'the grant is {damage}'))


def answer_owner_unreachable(detail: str) -> NoAnswer:
    """Answer that the owner could not be asked, so a run is possible."""
    return NoAnswer(
        build_uncertain(
            Reason.owner_unreachable, f'the owner cannot say: {detail}'
        ),
    )


def answer_already_begun() -> NoAnswer:
    """Answer that a request was about to begin a second time."""
    return NoAnswer(
        build_uncertain(Reason.internal_error, 'the request has begun before'),
    )


def refuse_draining() -> NoAnswer:
    """Refuse new work on a node that is leaving."""
    return NoAnswer(
        refuse(Reason.draining, 'this node is leaving', Seconds(0)),
    )
