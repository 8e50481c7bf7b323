"""Answers to callers: outcomes, grants and addresses."""

from msgspec.structs import replace

from chicoryshunt.connection.caller_api import (
    ENTRIES_HEADER,
    GRANT_HEADER,
    Entries,
    GrantOffer,
)
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.ownership.owned_calls import CallContext
from chicoryshunt.ownership.owner import Owner
from chicoryshunt.request.outcome import CallOutcome, NoAnswer, TargetAnswer
from chicoryshunt.types import Reason, RunState

_MAX_ENTRIES = 3


class Responder:
    """Puts grants and other addresses where a caller needs them."""

    def __init__(self, state: CallContext, owner: Owner) -> None:
        """Offer the grants of an owner."""
        self._state = state
        self._owner = owner

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

    def _offer(self) -> GrantOffer | None:
        listen = self._state.settings.listen
        return self._owner.offer_grant(f'{listen.host}:{listen.caller}')

    def _put_grant(self, exchange: Exchange) -> None:
        offer = self._offer()
        if offer is not None:
            exchange.set_header(GRANT_HEADER, offer.token)

    def _list_entries(self, exchange: Exchange) -> None:
        entries = self._state.list_entries().entries
        own = self._state.settings.vm
        others = [one.address for one in entries if one.vm != own]
        exchange.set_header(ENTRIES_HEADER, ','.join(others[:_MAX_ENTRIES]))
