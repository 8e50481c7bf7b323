"""Decides on this node whether an owned request runs, and waits for it."""

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
        """Return whose grant it is."""
        return self.signed.grant.owner_id

    @property
    def submission(self) -> Submission:
        """Return what the owner's table is asked."""
        return Submission(
            self.signed.derive_name(self.key),
            self.fingerprint,
            self.signed.grant.minted,
        )


class Owner:
    """The grants of this process, and the tables it holds for others."""

    def __init__(
        self,
        mint: GrantIssuer,
        table: RecordTable,
        holdings: HeldTables,
        pause_detector: PauseDetector,
        metrics: Metrics,
    ) -> None:
        """Own nothing yet."""
        self.held_tables = holdings
        self._mint = mint
        self._table = table
        self._pause_detector = pause_detector
        self._metrics = metrics
        self._invariants = InvariantChecker(metrics)
        self._runs: dict[RequestName, asyncio.Task[CallOutcome]] = {}
        pause_detector.subscribe(self._wake)

    @property
    def owner_id(self) -> OwnerId:
        """Return the identity under which this process grants."""
        return self._mint.owner_id

    @property
    def running(self) -> int:
        """Return how many owned requests run now."""
        return self._table.running

    def offer_grant(self, address: str) -> GrantOffer | None:
        """Mint a grant unless this process is leaving."""
        now = self._pause_detector.check()
        if self._table.is_sealed:
            return None
        return GrantOffer(self._mint.issue(now), address, GRANT_KEEP_SECONDS)

    def can_decide(self, origin: OwnerId) -> bool:
        """Say whether this process can answer for an owner's grants."""
        now = self._pause_detector.check()
        self.held_tables.expire(now)
        held = self.held_tables.find(origin)
        return origin == self.owner_id or held is not None

    async def decide(self, request: OwnedRequest, run: Run) -> CallOutcome:
        """Run the request if it is new; return how it ended.

        Ask ``is_holding`` first: for an owner that is not held the outcome
        is a doubt.
        """
        now = self._pause_detector.check()
        if request.owner_id == self.owner_id:
            outcome = await self._decide_own(request, run, now)
        else:
            outcome = self._answer_held(request, now)
        self._count(outcome)
        return outcome

    async def receive_part(self, sender: VmId, part: TablePart) -> PartAnswer:
        """Take a part of a leaving node's sealed table."""
        return self.held_tables.receive(part, self._pause_detector.check())

    async def wait_idle(self) -> None:
        """Wait, without a limit, until no owned request runs."""
        while self._runs:
            await asyncio.wait(tuple(self._runs.values()))

    def seal(self) -> None:
        """Let no owned request begin any more, here or anywhere."""
        self._table.seal()

    def list_sealed(self) -> tuple[SealedRecords, ...]:
        """Return the tables to hand off; nothing may be running."""
        own = SealedRecords(
            self.owner_id,
            self._mint.key,
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
        """Set the gauges that tell how full the tables are."""
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
        if not request.signed.is_genuine(self._mint.key):
            return refuse_forged(self._metrics, 'forged')
        ask = request.submission
        match self._table.admit(ask, now):
            case Begin():
                if not self._may_begin(ask):
                    return doubt_begun()
                running = asyncio.ensure_future(self._run(ask, run))
                self._runs[ask.name] = running
                return await asyncio.shield(running)
            case Wait():
                return await asyncio.shield(self._runs[ask.name])
            case Done(outcome):
                return outcome

    def _may_begin(self, ask: Submission) -> bool:
        is_running = ask.name in self._runs
        may_begin = self._invariants.check(
            Invariant.at_most_once,
            not is_running and not self._table.has_ended(ask.name),
            request=ask.name.hex(),
        )
        if not may_begin and not is_running:
            self._table.cancel(ask.name)
        return may_begin

    def _answer_held(self, request: OwnedRequest, now: float) -> CallOutcome:
        table = self.held_tables.find(request.owner_id)
        if table is None:
            return doubt_owner('its records are not here')
        if not request.signed.is_genuine(table.head.key):
            return refuse_forged(self._metrics, 'forged')
        return table.answer(request.submission, now)

    async def _run(self, ask: Submission, run: Run) -> CallOutcome:
        try:
            outcome = await run()
        except Exception as error:
            log_problem('owned_request_failed', error=repr(error))
            outcome = NoAnswer(
                build_uncertain(Reason.internal_error, repr(error))
            )
        finally:
            self._runs.pop(ask.name, None)
        return self._table.end(ask.name, outcome, self._pause_detector.check())

    def _wake(self, now: float, paused_seconds: float) -> None:
        self._table.reject_grants_before(now)

    def _count(self, outcome: CallOutcome) -> None:
        match outcome:
            case TargetAnswer():
                verdict = 'ran'
                reason = 'answered'
            case NoAnswer(verdict=ended):
                verdict = ended.run.value
                reason = ended.reason.value
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
    """Read the grant of a request; refuse a token that cannot be read."""
    signed = parse_grant(token)
    if isinstance(signed, GrantDamage):
        return refuse_forged(metrics, signed.value)
    return OwnedRequest(signed, key, fingerprint)


def refuse_forged(metrics: Metrics, damage: str) -> NoAnswer:
    """Refuse and count a grant that its owner did not mint."""
    metrics.count(
        'grants_refused',
        'Grants that were not accepted, by damage',
        damage=damage,
    )
    log_problem('grant_refused', damage=damage)
    return NoAnswer(refuse(Reason.grant_forged, f'the grant is {damage}'))


def doubt_owner(detail: str) -> NoAnswer:
    """Say that the owner of a grant could not be asked."""
    return NoAnswer(
        build_uncertain(
            Reason.owner_unreachable, f'the owner cannot say: {detail}'
        ),
    )


def doubt_begun() -> NoAnswer:
    """Say that a request was about to begin a second time."""
    return NoAnswer(
        build_uncertain(Reason.internal_error, 'the request has begun before'),
    )


def refuse_draining() -> NoAnswer:
    """Refuse new work on a node that is leaving."""
    return NoAnswer(
        refuse(Reason.draining, 'this node is leaving', Seconds(0)),
    )
