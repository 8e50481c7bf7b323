"""Calls that may not be repeated, taken to whoever decides on them."""

from typing import Protocol

from chicoryshunt.connection.caller_api import (
    GRANT_HEADER,
    KEY_HEADER,
    Entries,
)
from chicoryshunt.journal import Journal
from chicoryshunt.metrics import Metrics
from chicoryshunt.ownership.drain import Drain
from chicoryshunt.ownership.forwarding import (
    Forwarder,
    OwnedCall,
    OwnerAnswer,
)
from chicoryshunt.ownership.grants import (
    MAX_KEY_CHARACTERS,
    GrantDamage,
    parse_grant,
)
from chicoryshunt.ownership.owner import (
    OwnedRequest,
    Owner,
    read_request,
    refuse_draining,
)
from chicoryshunt.request.call import CallRules, Runner, compute_fingerprint
from chicoryshunt.request.outcome import CallOutcome, NoAnswer, TargetAnswer
from chicoryshunt.settings import Settings
from chicoryshunt.types import (
    IdempotencyKey,
    Reason,
    RequestId,
    ServiceId,
    VmId,
)
from chicoryshunt.verdict import Verdict, refuse
from chicoryshunt.version.config import Config


class CallContext(Protocol):
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

    @property
    def journal(self) -> Journal:
        """Return what remembers decisions."""

    def list_entries(self) -> Entries:
        """Return the addresses that callers may use."""


class OwnedCalls:
    """Runs owned calls here, or asks the node that decides on them."""

    def __init__(
        self,
        state: CallContext,
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

    async def run(
        self,
        owned: OwnedCall,
        rules: CallRules,
    ) -> CallOutcome:
        """Take a call that may not be repeated to whoever owns it."""
        refusal = check_key(owned.key)
        if refusal is not None:
            return refusal
        if not owned.token:
            return self._refuse_without_grant()
        request = self._read(owned)
        if isinstance(request, NoAnswer):
            return request
        if self._owner.can_decide(request.owner_id):
            return await self._decide(request, owned, rules)
        if not self._drain.is_serving:
            return refuse_draining()
        return await self._forwarder.forward(request, owned, rules.seconds)

    async def submit(self, sender: VmId, owned: OwnedCall) -> OwnerAnswer:
        """Decide on a call that another node forwards."""
        rules = find_call_rules(
            self._state,
            owned.call.service,
            owned.call.method,
        )
        if isinstance(rules, Verdict):
            return OwnerAnswer(NoAnswer(rules))
        request = self._read(owned)
        if isinstance(request, NoAnswer):
            return OwnerAnswer(request)
        if not self._owner.can_decide(request.owner_id):
            return OwnerAnswer(None)
        outcome = await self._decide(request, owned, rules)
        record_outcome(
            self._state.journal,
            derive_request_id(owned),
            'call_decided',
            outcome,
            sender=sender,
        )
        return OwnerAnswer(outcome)

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

    def _refuse_without_grant(self) -> NoAnswer:
        if not self._drain.is_serving:
            return refuse_draining()
        return refuse_missing_grant()

    def _read(self, owned: OwnedCall) -> OwnedRequest | NoAnswer:
        return read_request(
            owned.token,
            owned.key,
            compute_fingerprint(owned.call),
            self._state.metrics,
        )


def find_call_rules(
    state: CallContext,
    service: ServiceId,
    method: str,
) -> CallRules | Verdict:
    """Return how a call of a service may run."""
    config = state.config
    if config is None:
        return refuse(Reason.config_missing, 'no configuration is known')
    known = config.services.get(service)
    if known is None:
        return refuse(Reason.unknown_service, f'no service {service!r}')
    return CallRules(
        known.timeout_seconds,
        method in known.repeatable_methods,
        state.settings.limits.body_bytes,
    )


def derive_request_id(owned: OwnedCall) -> RequestId:
    """Return the id of a request, the same on every node; may be empty."""
    signed = parse_grant(owned.token)
    if isinstance(signed, GrantDamage):
        return RequestId('')
    return RequestId(signed.derive_name(owned.key).hex())


def record_outcome(
    journal: Journal,
    request: RequestId,
    event: str,
    outcome: CallOutcome,
    **fields: object,
) -> None:
    """Log, count and remember how a call ended."""
    match outcome:
        case TargetAnswer(status=status):
            reason = 'answered'
            fields['status'] = status
        case NoAnswer(Verdict() as verdict):
            reason = verdict.reason.value
            fields['verdict'] = verdict.run.value
            fields['detail'] = verdict.detail
    journal.record(request, event, reason, **fields)


def refuse_missing_grant() -> NoAnswer:
    """Refuse a request that brings no grant; a fresh one goes with it."""
    return NoAnswer(
        refuse(Reason.grant_missing, f'ask again with {GRANT_HEADER}'),
        is_final=True,
    )


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
