"""Tests of generations that may not be repeated."""

import asyncio
from typing import Any, cast

from chicoryshunt.connection.caller_api import GRANT_HEADER, KEY_HEADER
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.ownership.owned_generations import OwnedGenerations
from chicoryshunt.ownership.records import TableLimits
from chicoryshunt.ownership.responder import Responder
from chicoryshunt.request.generation import Outcome
from chicoryshunt.request.order import GenerationBody, GenerationRequest
from chicoryshunt.types import (
    ModelId,
    Reason,
    RequestId,
    RunState,
    TeamId,
    VmId,
)
from chicoryshunt.verdict import Verdict, refuse
from tests.owner_fleet import FakeFleet, FakeNode
from tests.virtual_loop import on_virtual_loop

_WHOLE = Outcome(6, 'stop', None, delivered=True)
_REFUSED = Outcome(
    0,
    '',
    refuse(Reason.overloaded, 'full'),
    delivered=False,
)


class FakeExchange:
    """Request with headers, and the verdict it was answered with."""

    def __init__(self, token: str, key: str = 'k') -> None:
        self.verdict: Verdict | None = None
        self.is_started = False
        self.is_open = True
        self.sent: dict[str, str] = {}
        self._headers = {GRANT_HEADER: token, KEY_HEADER: key}

    def get_header(self, name: str) -> str:
        return self._headers[name]

    def set_header(self, name: str, text: str) -> None:
        self.sent[name] = text

    def respond_verdict(self, verdict: Verdict) -> None:
        self.verdict = verdict


class Owned:
    """A node, and relays that end as told."""

    def __init__(self) -> None:
        self.fleet = FakeFleet(('a', 'b'), TableLimits())
        self.node = self.fleet.nodes[VmId('a')]
        self.other = self.fleet.nodes[VmId('b')]
        self.relayed = 0

    async def generate(
        self,
        node: FakeNode,
        exchange: FakeExchange,
        outcome: Outcome = _WHOLE,
        prompt: str = 'p',
    ) -> FakeExchange:
        async def relay() -> Outcome:
            self.relayed += 1
            await asyncio.sleep(5)
            exchange.is_started = outcome.delivered
            exchange.is_open = not outcome.delivered
            return outcome

        owned = OwnedGenerations(
            node.owner,
            Responder(node.state, node.owner),
            node.state.metrics,
        )
        await owned.run(
            cast(Exchange, cast(Any, exchange)),
            GenerationRequest(
                RequestId(f'r-{self.relayed}'),
                TeamId('olongapo'),
                ModelId('kibitzer-llm'),
                GenerationBody(prompt, repeatable=False),
            ),
            relay,
        )
        return exchange


def get_reason(exchange: FakeExchange) -> Reason:
    assert exchange.verdict is not None
    return exchange.verdict.reason


@on_virtual_loop
async def test_repeat_is_told_that_it_ran() -> None:
    owned = Owned()
    token = owned.node.token
    first, second = await asyncio.gather(
        owned.generate(owned.node, FakeExchange(token)),
        owned.generate(owned.node, FakeExchange(token)),
    )
    assert first.verdict is None
    assert second.verdict is not None
    assert second.verdict.run is RunState.ran
    assert get_reason(second) is Reason.already_ran
    assert owned.relayed == 1


@on_virtual_loop
async def test_refusal_closes_the_name() -> None:
    owned = Owned()
    token = owned.node.token
    first = await owned.generate(owned.node, FakeExchange(token), _REFUSED)
    again = await owned.generate(owned.node, FakeExchange(token))
    for refused in (first, again):
        assert get_reason(refused) is Reason.overloaded
        assert refused.sent[GRANT_HEADER]
    assert owned.relayed == 1


@on_virtual_loop
async def test_other_prompt_under_the_key_is_refused() -> None:
    owned = Owned()
    token = owned.node.token
    await owned.generate(owned.node, FakeExchange(token))
    other = await owned.generate(
        owned.node,
        FakeExchange(token),
        prompt='other',
    )
    assert get_reason(other) is Reason.key_reused


@on_virtual_loop
async def test_only_the_owner_relays() -> None:
    owned = Owned()
    token = owned.node.token
    refused = {
        Reason.grant_of_other_node: FakeExchange(token),
        Reason.grant_missing: FakeExchange(''),
        Reason.grant_forged: FakeExchange('AAAA'),
        Reason.bad_request: FakeExchange(token, key=''),
    }
    for reason, exchange in refused.items():
        answered = await owned.generate(owned.other, exchange)
        assert get_reason(answered) is reason
    assert not owned.relayed
