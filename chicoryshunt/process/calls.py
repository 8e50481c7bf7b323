"""The HTTP interface of plain services."""

from collections.abc import Collection
from contextlib import AbstractContextManager
from typing import Any, Protocol

from msgspec.structs import replace

from chicoryshunt.connection.caller_api import (
    ENTRIES_HEADER,
    GRANT_HEADER,
    KEY_HEADER,
    TEAM_HEADER,
    Entries,
    GrantOffer,
)
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.process.drain import Drain
from chicoryshunt.process.forwarding import (
    Forwarder,
    OwnedCall,
    OwnerAnswer,
)
from chicoryshunt.process.grants import MAX_KEY_CHARACTERS
from chicoryshunt.process.metrics import Metrics
from chicoryshunt.process.ownership import (
    OwnedRequest,
    Owner,
    read_request,
    refuse_draining,
)
from chicoryshunt.process.router import Route
from chicoryshunt.process.state import NodeState
from chicoryshunt.request.call import (
    CallRules,
    PlainCall,
    Runner,
    compute_fingerprint,
)
from chicoryshunt.request.outcome import CallOutcome, NoAnswer, TargetAnswer
from chicoryshunt.settings import Settings
from chicoryshunt.types import (
    IdempotencyKey,
    Reason,
    RunState,
    ServiceId,
    TargetId,
    TeamId,
    VmId,
)
from chicoryshunt.verdict import Verdict, refuse
from chicoryshunt.version.config import Config

_MAX_ENTRIES = 3


class CallState(Protocol):
    """What a node knows that a call depends on."""

    @property
    def settings(self) -> Settings:
        """Return the settings."""

    @property
    def metrics(self) -> Metrics:
        """Return the metrics."""

    @property
    def config(self) -> Config | None:
        """Return the configuration in force."""

    def list_entries(self) -> Entries:
        """Return the addresses that callers may use."""


class ServiceTargets:
    """Targets of plain services, by the node's router."""

    def __init__(self, state: NodeState) -> None:
        """Route with the state of the node."""
        self._state = state

    def choose(
        self,
        service: ServiceId,
        tried: Collection[TargetId],
    ) -> Route | Verdict:
        """Return a target that was not tried yet."""
        return self._state.route(service, tried)

    def hold(self, chosen: Any) -> AbstractContextManager[None]:
        """Count a call on its target while it runs."""
        return self._state.router.hold(chosen)


class CallApi:
    """Answers callers of plain services, and nodes that forward."""

    def __init__(
        self,
        state: CallState,
        owner: Owner,
        forwarder: Forwarder,
        runner: Runner,
        drain: Drain,
    ) -> None:
        """Decide with the owner, run with the runner."""
        self._state = state
        self._owner = owner
        self._forwarder = forwarder
        self._runner = runner
        self._drain = drain

    async def handle(
        self,
        exchange: Exchange,
        service: ServiceId,
        path: str,
    ) -> None:
        """Serve one call."""
        rules = self._make_rules(service, exchange.method)
        if isinstance(rules, Verdict):
            exchange.respond_verdict(rules)
            return
        call = self._parse(exchange, service, path)
        if isinstance(call, Verdict):
            exchange.respond_verdict(call)
            return
        key = IdempotencyKey(exchange.get_header(KEY_HEADER))
        if rules.is_repeatable:
            outcome = await self._run_repeatable(call, key, rules)
        else:
            token = exchange.get_header(GRANT_HEADER)
            owned = OwnedCall(token, key, call)
            outcome = await self.run_owned(owned, rules)
        self.respond(exchange, outcome)

    async def submit(self, sender: VmId, owned: OwnedCall) -> OwnerAnswer:
        """Decide on a call that another node forwards."""
        rules = self._make_rules(owned.call.service, owned.call.method)
        if isinstance(rules, Verdict):
            return OwnerAnswer(NoAnswer(rules))
        request = self._read(owned)
        if isinstance(request, NoAnswer):
            return OwnerAnswer(request)
        if not self._owner.is_holding(request.origin):
            return OwnerAnswer(None)
        return OwnerAnswer(await self._decide(request, owned, rules))

    async def run_owned(
        self,
        owned: OwnedCall,
        rules: CallRules,
    ) -> CallOutcome:
        """Take a call that may not be repeated to whoever owns it."""
        refusal = check_key(owned.key)
        if refusal is not None:
            return refusal
        if not owned.token:
            return self.refuse_without_grant()
        request = self._read(owned)
        if isinstance(request, NoAnswer):
            return request
        if self._owner.is_holding(request.origin):
            return await self._decide(request, owned, rules)
        if not self._drain.is_serving:
            return refuse_draining()
        return await self._forwarder.forward(request, owned, rules.seconds)

    def respond(self, exchange: Exchange, outcome: CallOutcome) -> None:
        """Answer a caller with an outcome."""
        match outcome:
            case TargetAnswer(status, content_type, body):
                exchange.set_verdict(RunState.ran)
                exchange.respond(body, content_type, status)
            case NoAnswer(verdict, closed):
                if closed:
                    self._put_grant(exchange)
                if verdict.reason is Reason.draining:
                    self._list_entries(exchange)
                exchange.respond_verdict(verdict)

    def list_entries(self) -> Entries:
        """Return the addresses to use, with a grant of this node."""
        entries = self._state.list_entries()
        return replace(entries, grant=self._offer())

    def refuse_without_grant(self) -> NoAnswer:
        """Refuse a request that brings no grant, with a fresh one."""
        if not self._drain.is_serving:
            return refuse_draining()
        return NoAnswer(
            refuse(Reason.grant_missing, f'ask again with {GRANT_HEADER}'),
            closed=True,
        )

    async def _run_repeatable(
        self,
        call: PlainCall,
        key: IdempotencyKey,
        rules: CallRules,
    ) -> CallOutcome:
        if not self._drain.is_serving:
            return refuse_draining()
        return await self._runner.run(call, key, rules)

    async def _decide(
        self,
        request: OwnedRequest,
        owned: OwnedCall,
        rules: CallRules,
    ) -> CallOutcome:
        return await self._owner.decide(
            request,
            lambda: self._runner.run(owned.call, owned.key, rules),
        )

    def _read(self, owned: OwnedCall) -> OwnedRequest | NoAnswer:
        return read_request(
            owned.token,
            owned.key,
            compute_fingerprint(owned.call),
            self._state.metrics,
        )

    def _make_rules(
        self,
        service: ServiceId,
        method: str,
    ) -> CallRules | Verdict:
        config = self._state.config
        if config is None:
            return refuse(Reason.config_missing, 'no configuration is known')
        known = config.services.get(service)
        if known is None:
            return refuse(Reason.unknown_service, f'no service {service!r}')
        return CallRules(
            known.timeout_seconds,
            method in known.repeatable_methods,
            self._state.settings.limits.body_bytes,
        )

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

    def _offer(self) -> GrantOffer | None:
        listen = self._state.settings.listen
        return self._owner.offer(f'{listen.host}:{listen.caller}')

    def _put_grant(self, exchange: Exchange) -> None:
        offer = self._offer()
        if offer is not None:
            exchange.set_header(GRANT_HEADER, offer.token)

    def _list_entries(self, exchange: Exchange) -> None:
        entries = self._state.list_entries().entries
        own = self._state.settings.vm
        others = [one.address for one in entries if one.vm != own]
        exchange.set_header(ENTRIES_HEADER, ','.join(others[:_MAX_ENTRIES]))


def check_key(key: IdempotencyKey) -> NoAnswer | None:
    """Refuse a key that is missing or too long."""
    if 0 < len(key) <= MAX_KEY_CHARACTERS:
        return None
    return NoAnswer(
        refuse(
            Reason.bad_request,
            f'{KEY_HEADER} has 1 to {MAX_KEY_CHARACTERS} characters',
        ),
    )
