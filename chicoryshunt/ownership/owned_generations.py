"""Generations that may not be repeated, under owner grants."""

import hashlib
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import msgspec

from chicoryshunt.connection.caller_api import GRANT_HEADER, KEY_HEADER
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.metrics import Metrics
from chicoryshunt.ownership.owned_calls import check_key, refuse_missing_grant
from chicoryshunt.ownership.owner import Owner, read_request
from chicoryshunt.ownership.responder import Responder
from chicoryshunt.request.generation import Outcome
from chicoryshunt.request.order import GenerationRequest
from chicoryshunt.request.outcome import CallOutcome, NoAnswer
from chicoryshunt.types import IdempotencyKey, Reason, RunState, Seconds
from chicoryshunt.verdict import Verdict, refuse

_FINGERPRINT_BYTES = 16

Relay: TypeAlias = Callable[[], Awaitable[Outcome]]


class OwnedGenerations:
    """Runs each owned generation once, at its owner.

    The tokens are not recorded: a repeat is told that the generation ran,
    and its caller resumes the stream by the token that came with it.
    """

    def __init__(
        self,
        owner: Owner,
        answers: Responder,
        metrics: Metrics,
    ) -> None:
        """Decide with the owner; answer refusals like those of calls."""
        self._owner = owner
        self._answers = answers
        self._metrics = metrics

    async def run(
        self,
        exchange: Exchange,
        wanted: GenerationRequest,
        relay: Relay,
    ) -> None:
        """Relay to the first arrival; tell a repeat what became of it."""
        key = IdempotencyKey(exchange.get_header(KEY_HEADER))

        async def relay_once() -> CallOutcome:
            return _conclude(await relay())

        ended = await self._decide(exchange, wanted, key, relay_once)
        if not exchange.is_started:
            self._answers.respond(exchange, ended)
        elif exchange.is_open:
            exchange.abort()

    async def _decide(
        self,
        exchange: Exchange,
        wanted: GenerationRequest,
        key: IdempotencyKey,
        relay: Callable[[], Awaitable[CallOutcome]],
    ) -> CallOutcome:
        token = exchange.get_header(GRANT_HEADER)
        refusal = check_key(key)
        if refusal is not None:
            return refusal
        if not token:
            return refuse_missing_grant()
        request = read_request(
            token,
            key,
            _compute_fingerprint(wanted),
            self._metrics,
        )
        if isinstance(request, NoAnswer):
            return request
        if not self._owner.can_decide(request.owner_id):
            return NoAnswer(
                refuse(
                    Reason.grant_of_other_node,
                    f'send it to the owner, {request.owner_id.vm}',
                    Seconds(0),
                ),
            )
        return await self._owner.decide(request, relay)


def _conclude(outcome: Outcome) -> CallOutcome:
    verdict = outcome.verdict
    if verdict is None or verdict.run is RunState.ran:
        return NoAnswer(
            Verdict(
                RunState.ran,
                Reason.already_ran,
                f'{outcome.tokens} tokens, {outcome.ending or "incomplete"}',
            ),
        )
    return NoAnswer(verdict)


def _compute_fingerprint(wanted: GenerationRequest) -> bytes:
    return hashlib.blake2b(
        msgspec.msgpack.encode((wanted.team, wanted.model, wanted.body)),
        digest_size=_FINGERPRINT_BYTES,
    ).digest()
