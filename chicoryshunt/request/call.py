"""Runs one call of a plain service, with retries on other targets."""

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
    """Request to a plain service; ``path`` includes the query string."""

    team: TeamId
    service: ServiceId
    method: str
    path: str
    content_type: str
    body: bytes


class Destination(Protocol):
    """Target chosen for a call."""

    @property
    def target(self) -> TargetId:
        """Return the target's id."""

    @property
    def address(self) -> str:
        """Return host:port."""


class Targets(Protocol):
    """Chooses targets and counts the calls that run on them."""

    def choose(
        self,
        service: ServiceId,
        tried: Collection[TargetId],
    ) -> Destination | Verdict:
        """Return a target not in ``tried``, or why there is none."""

    def hold(self, chosen: Any) -> AbstractContextManager[Verdict | None]:
        """Count a call while it runs; yield why it may not be sent, if so."""


class Sender(Protocol):
    """Sends one request to one target."""

    async def send(
        self,
        address: str,
        call: PlainCall,
        key: IdempotencyKey,
        rules: 'CallRules',
    ) -> CallOutcome:
        """Return the target's answer, or the verdict on this attempt."""


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
    """Limits the extra load that retries may cause."""

    def record_first(self, team: TeamId) -> None:
        """Record the first attempt of a call."""

    def may_retry(self, team: TeamId) -> bool:
        """Consume one retry and return true if the budget allows it."""


@dataclass(frozen=True, slots=True)
class CallRules:
    """Time limit, repeatability and largest answer size of a call."""

    seconds: float
    is_repeatable: bool
    answer_bytes: int


def compute_fingerprint(call: PlainCall) -> bytes:
    """Return a digest of everything that a repeated call must match."""
    return hashlib.blake2b(
        msgspec.msgpack.encode(call),
        digest_size=_FINGERPRINT_BYTES,
    ).digest()


class CallRunner:
    """Runs calls on targets.

    A call that isn't repeatable is sent again only if no attempt may have
    run.
    """

    def __init__(
        self,
        targets: Targets,
        sender: Sender,
        retries: Retries,
        invariants: InvariantChecker,
    ) -> None:
        """Create a runner that asks ``retries`` before each retry."""
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
        while attempts.may_continue(call.team, self._retries):
            chosen = self._targets.choose(call.service, attempts.tried)
            if isinstance(chosen, Verdict):
                return self._conclude(attempts, chosen)
            outcome = await self._attempt(
                chosen,
                call,
                key,
                attempts.compute_next_rules(),
            )
            if isinstance(outcome, TargetAnswer):
                return outcome
            attempts.record_failure(chosen.target, outcome.verdict)
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
        verdict = attempts.choose_verdict(refusal)
        is_true = (
            verdict.run is not RunState.not_run or not attempts.may_have_run
        )
        if self._invariants.check(Invariant.true_refusal, is_true):
            return NoAnswer(verdict)
        return NoAnswer(build_uncertain(Reason.internal_error, verdict.detail))


class TargetSender:
    """Sends calls over HTTP.

    A call that isn't repeatable gets a new connection: if the target had
    closed a kept one, it would be unclear whether the call ran.
    """

    def __init__(self) -> None:
        """Create a client that keeps connections and one that doesn't."""
        self._kept = HttpClient()
        self._fresh = HttpClient(keeps_connections=False)

    async def send(
        self,
        address: str,
        call: PlainCall,
        key: IdempotencyKey,
        rules: CallRules,
    ) -> CallOutcome:
        """Return the target's answer, or the verdict on this attempt."""
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
    """Tracks the failed attempts of one call and its remaining time."""

    def __init__(self, rules: CallRules) -> None:
        self.tried: dict[TargetId, Verdict] = {}
        self._rules = rules
        self._loop = asyncio.get_running_loop()
        self._deadline = self._loop.time() + rules.seconds

    @property
    def may_have_run(self) -> bool:
        """Return true if any attempt may have run on its target."""
        return any(
            verdict.run is not RunState.not_run
            for verdict in self.tried.values()
        )

    def may_continue(self, team: TeamId, retries: Retries) -> bool:
        """Return true if another target may be tried."""
        if not self.tried:
            retries.record_first(team)
            return True
        if len(self.tried) >= MAX_ATTEMPTS or self._remaining() <= 0:
            return False
        if self.may_have_run and not self._rules.is_repeatable:
            return False
        return retries.may_retry(team)

    def compute_next_rules(self) -> CallRules:
        """Return the rules of the next attempt.

        A repeatable call keeps half of the remaining time for a later
        attempt, as long as one is allowed.
        """
        seconds = self._remaining()
        if self._rules.is_repeatable and len(self.tried) < MAX_ATTEMPTS - 1:
            seconds /= 2
        return replace(self._rules, seconds=seconds)

    def record_failure(self, target: TargetId, verdict: Verdict) -> None:
        """Record the verdict of a failed attempt."""
        self.tried[target] = verdict

    def choose_verdict(self, refusal: Verdict | None) -> Verdict:
        """Return the verdict on the call.

        An attempt that may have run takes precedence over a refusal.
        """
        verdicts = list(self.tried.values())
        uncertain = [one for one in verdicts if one.run is not RunState.not_run]
        if refusal is not None and not verdicts:
            return refusal
        return uncertain[0] if uncertain else verdicts[-1]

    def _remaining(self) -> float:
        return self._deadline - self._loop.time()
