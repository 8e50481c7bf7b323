"""Sends requests that must run at most once until the outcome is known."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import TypeAlias

from chicoryshunt.caller.answer import Answer
from chicoryshunt.caller.entries import EntryCache
from chicoryshunt.connection.caller_api import (
    GRANT_HEADER,
    KEY_HEADER,
    GrantOffer,
)
from chicoryshunt.exceptions import CallError
from chicoryshunt.types import Reason, RunState

MAX_ATTEMPTS = 8

_DELAY_SECONDS = 0.2
_MAX_RETRY_SECONDS = 10.0

Post: TypeAlias = Callable[[str, Mapping[str, str]], Awaitable[Answer]]


@dataclass(slots=True)
class AttemptState:
    """Tracks the grant of a request and the outcome of its attempts.

    A request keeps its grant until an answer brings a new one, which implies
    that it can never run under the old one. Until then, an attempt that may
    have run leaves the outcome uncertain.
    """

    grant: GrantOffer | None = None
    is_uncertain: bool = False
    tried: list[str] = field(default_factory=list)

    def choose_address(self, addresses: tuple[str, ...]) -> str:
        """Return the address of the next attempt, the owner's first."""
        ordered = list(addresses)
        if self.grant is not None:
            ordered = [self.grant.address, *addresses]
        untried = [address for address in ordered if address not in self.tried]
        if not untried:
            self.tried.clear()
        chosen = untried[0] if untried else ordered[0]
        self.tried.append(chosen)
        return chosen

    def record(self, address: str, answer: Answer) -> None:
        """Update the state with the answer, or the failure, of an address."""
        match answer:
            case Answer(verdict=RunState.may_have_run):
                self.is_uncertain = True
            case Answer(verdict=RunState.not_run) if answer.grant:
                self.grant = GrantOffer(answer.grant, address, 0)
                self.is_uncertain = False
                self.tried.clear()
            case Answer(verdict=RunState.not_run, status=0):
                self._drop_unused_grant()

    def is_final(self, answer: Answer) -> bool:
        """Return whether another attempt is useless."""
        match answer.verdict:
            case RunState.ran:
                return True
            case RunState.may_have_run:
                return (
                    answer.status != 0
                    and answer.reason != Reason.owner_unreachable.value
                )
            case RunState.not_run:
                return not answer.grant and answer.retry_after is None

    def conclude(self, answer: Answer) -> Answer:
        """Return the answer with a verdict that covers every attempt."""
        if self.is_uncertain and answer.verdict is RunState.not_run:
            return replace(answer, verdict=RunState.may_have_run)
        return answer

    def _drop_unused_grant(self) -> None:
        """Drop the grant unless an attempt under it may have run."""
        if not self.is_uncertain:
            self.grant = None


async def call_once(cache: EntryCache, post: Post, key: str) -> Answer:
    """Retry until the outcome is known or the attempts are used up.

    ``post`` sends the request with headers to an address and returns the
    answer; ``key`` is the idempotency key.
    """
    state = AttemptState()
    answer = Answer(RunState.not_run)
    for _ in range(MAX_ATTEMPTS):
        answer = await _attempt(state, cache, post, key)
        if state.is_final(answer):
            break
        await asyncio.sleep(_get_delay(answer))
    return state.conclude(answer)


async def _attempt(
    state: AttemptState,
    cache: EntryCache,
    post: Post,
    key: str,
) -> Answer:
    try:
        address = await _choose_address(state, cache)
    except CallError as error:
        return Answer(
            RunState.not_run,
            Reason.target_unreachable.value,
            str(error),
            retry_after=0,
        )
    headers = {KEY_HEADER: key}
    if state.grant is not None:
        headers[GRANT_HEADER] = state.grant.token
    answer = await post(address, headers)
    state.record(address, answer)
    return answer


async def _choose_address(state: AttemptState, cache: EntryCache) -> str:
    if state.grant is None:
        if state.tried:
            cache.expire()
        state.grant = await cache.get_grant()
    return state.choose_address(await cache.list_addresses())


def _get_delay(answer: Answer) -> float:
    if answer.status == 0 or answer.retry_after is None:
        return _DELAY_SECONDS
    return min(answer.retry_after, _MAX_RETRY_SECONDS)
