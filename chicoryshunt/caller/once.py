"""Sends a request that may not be repeated until its outcome is known."""

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

_PAUSE_SECONDS = 0.2
_MAX_RETRY_SECONDS = 10.0

Post: TypeAlias = Callable[[str, Mapping[str, str]], Awaitable[Answer]]


@dataclass(slots=True)
class Naming:
    """The grant under which a request is known, and what became of it.

    A request keeps its grant until an answer brings another one: then the
    old name can never run. Without that, a doubt stays a doubt.
    """

    grant: GrantOffer | None = None
    has_doubt: bool = False
    tried: list[str] = field(default_factory=list)

    def choose(self, addresses: tuple[str, ...]) -> str:
        """Return the address to try next, the owner's first."""
        ordered = list(addresses)
        if self.grant is not None:
            ordered = [self.grant.address, *addresses]
        left = [one for one in ordered if one not in self.tried]
        if not left:
            self.tried.clear()
        chosen = left[0] if left else ordered[0]
        self.tried.append(chosen)
        return chosen

    def note(self, address: str, answer: Answer) -> None:
        """Learn from an answer of an address, or from its absence."""
        match answer:
            case Answer(verdict=RunState.may_have_run):
                self.has_doubt = True
            case Answer(verdict=RunState.not_run) if answer.grant:
                self.grant = GrantOffer(answer.grant, address, 0)
                self.has_doubt = False
                self.tried.clear()
            case Answer(verdict=RunState.not_run, status=0):
                self._forget_unreachable_owner()

    def is_over(self, answer: Answer) -> bool:
        """Say whether another attempt is useless."""
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
        """Return the answer with a verdict on all the attempts."""
        if self.has_doubt and answer.verdict is RunState.not_run:
            return replace(answer, verdict=RunState.may_have_run)
        return answer

    def _forget_unreachable_owner(self) -> None:
        """Drop a grant under which nothing was ever sent."""
        if not self.has_doubt:
            self.grant = None


async def call_once(book: EntryCache, post: Post, key: str) -> Answer:
    """Send until the outcome is known or there is no node to ask.

    ``post`` sends to an address with headers and returns the answer.
    """
    naming = Naming()
    answer = Answer(RunState.not_run)
    for _ in range(MAX_ATTEMPTS):
        answer = await _attempt(naming, book, post, key)
        if naming.is_over(answer):
            break
        await asyncio.sleep(_find_pause(answer))
    return naming.conclude(answer)


async def _attempt(
    naming: Naming,
    book: EntryCache,
    post: Post,
    key: str,
) -> Answer:
    try:
        address = await _choose_address(naming, book)
    except CallError as error:
        return Answer(
            RunState.not_run,
            Reason.target_unreachable.value,
            str(error),
            retry_after=0,
        )
    headers = {KEY_HEADER: key}
    if naming.grant is not None:
        headers[GRANT_HEADER] = naming.grant.token
    answer = await post(address, headers)
    naming.note(address, answer)
    return answer


async def _choose_address(naming: Naming, book: EntryCache) -> str:
    if naming.grant is None:
        if naming.tried:
            book.expire()
        naming.grant = await book.get_grant()
    return naming.choose(await book.list_addresses())


def _find_pause(answer: Answer) -> float:
    if answer.status == 0 or answer.retry_after is None:
        return _PAUSE_SECONDS
    return min(answer.retry_after, _MAX_RETRY_SECONDS)
