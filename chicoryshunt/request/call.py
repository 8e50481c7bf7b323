"""One call of a plain service: from its target to a recorded outcome."""

import asyncio
import hashlib
from collections.abc import Collection
from contextlib import AbstractContextManager
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Any, Protocol

import msgspec

from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
    SlowAnswerError,
    read_body,
)
from chicoryshunt.connection.target_api import decode_not_accepted
from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.request.outcome import CallOutcome, NoAnswer, TargetAnswer
from chicoryshunt.types import (
    IdempotencyKey,
    Reason,
    RunState,
    ServiceId,
    TargetId,
    TeamId,
)
from chicoryshunt.verdict import Verdict, build_uncertain, refuse

MAX_ATTEMPTS = 3

_FINGERPRINT_BYTES = 16


class PlainCall(msgspec.Struct, frozen=True, array_like=True):
    """What a caller sends to a plain service; ``path`` has its query."""

    team: TeamId
    service: ServiceId
    method: str
    path: str
    content_type: str
    body: bytes


class Destination(Protocol):
    """Target that was chosen for a call."""

    @property
    def target(self) -> TargetId:
        """Return the target's id."""

    @property
    def address(self) -> str:
        """Return host:port."""


class Targets(Protocol):
    """Chooses targets and counts what runs on them."""

    def choose(
        self,
        service: ServiceId,
        tried: Collection[TargetId],
    ) -> Destination | Verdict:
        """Return a target that was not tried yet."""

    def hold(self, chosen: Any) -> AbstractContextManager[Verdict | None]:
        """Count a call while it runs; yield why it may not be written."""


class Sender(Protocol):
    """Sends one request to one target."""

    async def send(
        self,
        address: str,
        call: PlainCall,
        key: IdempotencyKey,
        rules: 'CallRules',
    ) -> CallOutcome:
        """Return the target's answer or the verdict on this attempt."""


class Runner(Protocol):
    """Runs a call on a target."""

    async def run(
        self,
        call: PlainCall,
        key: IdempotencyKey,
        rules: 'CallRules',
    ) -> CallOutcome:
        """Return the target's answer, or why there is none."""


class Retries(Protocol):
    """Bounds how much extra work retries may cause."""

    def record_first(self, team: TeamId) -> None:
        """Count a first try."""

    def may_retry(self, team: TeamId) -> bool:
        """Spend one retry; say whether there was one."""


@dataclass(frozen=True, slots=True)
class CallRules:
    """How long a call may take, and whether it may be repeated."""

    seconds: float
    is_repeatable: bool
    answer_bytes: int


def compute_fingerprint(call: PlainCall) -> bytes:
    """Return a digest of all that a repeat must have in common."""
    return hashlib.blake2b(
        msgspec.msgpack.encode(call),
        digest_size=_FINGERPRINT_BYTES,
    ).digest()


class CallRunner:
    """Runs calls on targets; never twice a call that may not repeat."""

    def __init__(
        self,
        targets: Targets,
        sender: Sender,
        retries: Retries,
        invariants: InvariantChecker,
    ) -> None:
        """Choose among targets and ask the budget before each retry."""
        self._targets = targets
        self._sender = sender
        self._retries = retries
        self._invariants = invariants

    async def run(
        self,
        call: PlainCall,
        key: IdempotencyKey,
        rules: CallRules,
    ) -> CallOutcome:
        """Return the target's answer, or why there is none."""
        attempts = _Attempts(rules)
        while attempts.may_go_on(call.team, self._retries):
            chosen = self._targets.choose(call.service, attempts.tried)
            if isinstance(chosen, Verdict):
                return self._conclude(attempts, chosen)
            outcome = await self._attempt(
                chosen,
                call,
                key,
                attempts.bound_next(),
            )
            if isinstance(outcome, TargetAnswer):
                return outcome
            attempts.note(chosen.target, outcome.verdict)
        return self._conclude(attempts, None)

    async def _attempt(
        self,
        chosen: Destination,
        call: PlainCall,
        key: IdempotencyKey,
        rules: CallRules,
    ) -> CallOutcome:
        with self._targets.hold(chosen) as refusal:
            if refusal is not None:
                return NoAnswer(refusal)
            return await self._sender.send(chosen.address, call, key, rules)

    def _conclude(
        self,
        attempts: '_Attempts',
        refusal: Verdict | None,
    ) -> NoAnswer:
        verdict = attempts.conclude(refusal)
        is_true = verdict.run is not RunState.not_run or not attempts.has_doubt
        if self._invariants.check(Invariant.true_refusal, is_true):
            return NoAnswer(verdict)
        return NoAnswer(build_uncertain(Reason.internal_error, verdict.detail))


class TargetSender:
    """Sends calls over HTTP.

    A call that may not be repeated gets a connection of its own: a kept one
    that the target has closed would leave a doubt without cause.
    """

    def __init__(self) -> None:
        """Create the clients."""
        self._kept = HttpClient()
        self._fresh = HttpClient(keeps_connections=False)

    async def send(
        self,
        address: str,
        call: PlainCall,
        key: IdempotencyKey,
        rules: CallRules,
    ) -> CallOutcome:
        """Return the target's answer or the verdict on this attempt."""
        client = self._kept if rules.is_repeatable else self._fresh
        try:
            return await _exchange(client, address, call, key, rules)
        except NotConnectedError as unreachable:
            verdict = refuse(Reason.target_unreachable, str(unreachable))
        except SlowAnswerError as slow:
            verdict = build_uncertain(Reason.target_timeout, str(slow))
        except BrokenError as broken:
            verdict = build_uncertain(Reason.target_unreachable, str(broken))
        return NoAnswer(verdict)


async def _exchange(
    client: HttpClient,
    address: str,
    call: PlainCall,
    key: IdempotencyKey,
    rules: CallRules,
) -> CallOutcome:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + rules.seconds
    response = await client.request(
        call.method,
        f'http://{address}/{call.path}',
        call.body,
        _build_headers(call, key),
        answer_seconds=rules.seconds,
    )
    body = await read_body(
        response,
        max(0, deadline - loop.time()),
        rules.answer_bytes,
    )
    if response.code == HTTPStatus.SERVICE_UNAVAILABLE:
        refusal = decode_not_accepted(body)
        if refusal is not None:
            return NoAnswer(refuse(Reason.target_refused, refusal.reason))
    types = response.headers.getRawHeaders('content-type', [''])
    return TargetAnswer(response.code, types[0], body)


def _build_headers(call: PlainCall, key: IdempotencyKey) -> dict[str, str]:
    headers = {
        'content-type': call.content_type,
        'idempotency-key': key,
        'x-team': call.team,
    }
    return {name: text for name, text in headers.items() if text}


class _Attempts:
    """What was tried for one call, and the time that is left."""

    def __init__(self, rules: CallRules) -> None:
        self.tried: dict[TargetId, Verdict] = {}
        self._rules = rules
        self._loop = asyncio.get_running_loop()
        self._deadline = self._loop.time() + rules.seconds

    @property
    def has_doubt(self) -> bool:
        """Say whether any attempt may have run."""
        return any(
            verdict.run is not RunState.not_run
            for verdict in self.tried.values()
        )

    def may_go_on(self, team: TeamId, retries: Retries) -> bool:
        """Say whether another target may be tried."""
        if not self.tried:
            retries.record_first(team)
            return True
        if len(self.tried) >= MAX_ATTEMPTS or self._remaining() <= 0:
            return False
        if self.has_doubt and not self._rules.is_repeatable:
            return False
        return retries.may_retry(team)

    def bound_next(self) -> CallRules:
        """Return the rules of the next attempt with its share of the time."""
        seconds = self._remaining()
        if self._rules.is_repeatable and len(self.tried) < MAX_ATTEMPTS - 1:
            seconds /= 2
        return replace(self._rules, seconds=seconds)

    def note(self, target: TargetId, verdict: Verdict) -> None:
        """Remember how an attempt failed."""
        self.tried[target] = verdict

    def conclude(self, refusal: Verdict | None) -> Verdict:
        """Return the verdict on the call: any doubt outweighs a refusal."""
        verdicts = list(self.tried.values())
        doubts = [one for one in verdicts if one.run is not RunState.not_run]
        if refusal is not None and not verdicts:
            return refusal
        return doubts[0] if doubts else verdicts[-1]

    def _remaining(self) -> float:
        return self._deadline - self._loop.time()
