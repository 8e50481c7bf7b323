"""The HTTP interface of plain services."""

from collections.abc import Collection, Iterator
from contextlib import contextmanager
from typing import Any

from chicoryshunt.connection.caller_api import (
    GRANT_HEADER,
    KEY_HEADER,
    REQUEST_HEADER,
    TEAM_HEADER,
)
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.limits.router import Route
from chicoryshunt.ownership.drain import Drain
from chicoryshunt.ownership.forwarding import (
    OwnedCall,
)
from chicoryshunt.ownership.owned_calls import (
    CallContext,
    OwnedCalls,
    derive_request_id,
    find_call_rules,
    record_outcome,
)
from chicoryshunt.ownership.owner import (
    refuse_draining,
)
from chicoryshunt.ownership.responder import Responder
from chicoryshunt.policy.slots import Shortage, Slot
from chicoryshunt.request.call import (
    CallRules,
    PlainCall,
    Runner,
)
from chicoryshunt.request.outcome import CallOutcome
from chicoryshunt.serving.state import NodeState
from chicoryshunt.types import (
    IdempotencyKey,
    Reason,
    RequestId,
    Seconds,
    ServiceId,
    TargetId,
    TeamId,
)
from chicoryshunt.verdict import Verdict, refuse

_RETRY_SECONDS = Seconds(1)


class ServiceTargets:
    """Targets of plain services, chosen by the router of the node."""

    def __init__(self, state: NodeState) -> None:
        """Choose targets from the state of the node."""
        self._state = state

    def choose(
        self,
        service: ServiceId,
        tried: Collection[TargetId],
    ) -> Route | Verdict:
        """Return a target that is not in ``tried``, or a refusal."""
        return self._state.route(service, tried)

    @contextmanager
    def hold(self, chosen: Any) -> Iterator[Verdict | None]:
        """Acquire a slot; yield the refusal if the call may not be sent."""
        with self._state.router.occupy(chosen) as slot:
            yield self._find_refusal(chosen, slot)

    def _find_refusal(
        self,
        chosen: Route,
        slot: Slot | Shortage,
    ) -> Verdict | None:
        if not self._state.guard.may_write(chosen.target):
            return refuse(
                Reason.no_target,
                f'{chosen.target} takes no new work',
                _RETRY_SECONDS,
            )
        if isinstance(slot, Shortage):
            return refuse(
                Reason.overloaded,
                f'{chosen.target}: {slot.value}',
                _RETRY_SECONDS,
            )
        return None


class CallApi:
    """Serves the calls of plain services."""

    def __init__(
        self,
        state: CallContext,
        responder: Responder,
        owned: OwnedCalls,
        runner: Runner,
        drain: Drain,
    ) -> None:
        """Use ``owned`` for calls that may not be repeated."""
        self._state = state
        self._responder = responder
        self._owned = owned
        self._runner = runner
        self._drain = drain
        self._request_count = 0

    async def handle(
        self,
        exchange: Exchange,
        service: ServiceId,
        path: str,
    ) -> None:
        """Serve one call and write its outcome to the journal."""
        rules = find_call_rules(self._state, service, exchange.method)
        if isinstance(rules, Verdict):
            exchange.respond_verdict(rules)
            return
        call = self._parse(exchange, service, path)
        if isinstance(call, Verdict):
            exchange.respond_verdict(call)
            return
        key = IdempotencyKey(exchange.get_header(KEY_HEADER))
        owned = OwnedCall(exchange.get_header(GRANT_HEADER), key, call)
        if rules.is_repeatable:
            outcome = await self._run_repeatable(call, key, rules)
        else:
            outcome = await self._owned.run(owned, rules)
        request = derive_request_id(owned) or self._create_request_id()
        exchange.set_header(REQUEST_HEADER, request)
        record_outcome(
            self._state.journal,
            request,
            'call_ended',
            outcome,
            service=service,
        )
        self._responder.respond(exchange, outcome)

    def _create_request_id(self) -> RequestId:
        self._request_count += 1
        return RequestId(f'{self._state.settings.vm}-c{self._request_count}')

    async def _run_repeatable(
        self,
        call: PlainCall,
        key: IdempotencyKey,
        rules: CallRules,
    ) -> CallOutcome:
        if not self._drain.is_serving:
            return refuse_draining()
        return await self._runner.run(call, key, rules)

    def _parse(
        self,
        exchange: Exchange,
        service: ServiceId,
        path: str,
    ) -> PlainCall | Verdict:
        config = self._state.config
        team = TeamId(exchange.get_header(TEAM_HEADER))
        if config is None or team not in config.teams:
            return refuse(Reason.unknown_team, f'no team {team!r}')
        return PlainCall(
            team,
            service,
            exchange.method,
            f'{path}?{exchange.query}' if exchange.query else path,
            exchange.get_header('content-type'),
            exchange.body,
        )
