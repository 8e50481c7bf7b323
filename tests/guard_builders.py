"""Builder of a prompt guard with a single node, in virtual time."""

import asyncio
from collections.abc import Iterable
from random import Random
from typing import Any, cast

from chicoryshunt.connection.upstream import NotSentError
from chicoryshunt.fleet.broadcast import Broadcast
from chicoryshunt.fleet.catalog import Catalog
from chicoryshunt.fleet.crash_exchange import CrashExchange
from chicoryshunt.fleet.facts import TargetFact, TargetPhase
from chicoryshunt.membership.membership import Membership
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.core import Send
from chicoryshunt.relay.incoming import GenerationParams, IncomingRequest
from chicoryshunt.relay.prompt_guard import PromptGuard
from chicoryshunt.types import Incarnation, ModelId, RequestId
from tests.fleet_builders import build_fact, build_member

# Longer than the checks whether an engine still accepts connections.
_CHECK_SECONDS = 0.2


def _drop(sends: Iterable[Send]) -> None:
    tuple(sends)


class LoopClock:
    """Clock that shows the time of the loop."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return asyncio.get_running_loop().time()


class _Upstream:
    """Connection that is closed at once."""

    def abort(self) -> None:
        """Close it."""


class GuardTrial:
    """A guard whose engines accept no connections, as if they had crashed."""

    def __init__(self) -> None:
        """Start without crashes."""
        self.is_reachable = False
        self.failure: OSError = ConnectionRefusedError()
        self.phase = TargetPhase.ready
        rng = Random(1)
        now: float = 0
        self._clock = LoopClock()
        self._catalog = Catalog()
        membership = Membership(build_member('vm-0'), Incarnation(1), rng, now)
        self.guard = PromptGuard(
            clock=self._clock,
            catalog=self._catalog,
            membership=membership,
            crash_exchange=CrashExchange(
                membership, Broadcast(membership, rng), now, rng
            ),
            pool=cast(Any, self),
            metrics=Metrics(),
            send=_drop,
        )

    async def open(self, address: str) -> _Upstream:
        """Return a connection, as the pool of the guard."""
        if self.is_reachable:
            return _Upstream()
        raise NotSentError(address) from self.failure

    def apply(self, fact: TargetFact) -> None:
        """Add a fact to the catalog."""
        self._catalog.apply(fact, self._clock.now(), 'test')

    def build(
        self, request: str, *parts: str, model: str = 'm'
    ) -> IncomingRequest:
        """Return a request with these parts of its prompt."""
        return IncomingRequest(
            request=RequestId(request),
            method=b'POST',
            uri=b'/drafts/1',
            path='/drafts/1',
            host='club.example',
            headers=(),
            params=GenerationParams(
                ModelId(model), 1000, 160, prefix=tuple(parts)
            ),
        )

    async def break_off(self, request: str, target: str, *parts: str) -> None:
        """Break a run off at its start, and wait for the checks."""
        fact = build_fact(target, phase=self.phase)
        self.apply(fact)
        self.guard.report_break(self.build(request, *parts), fact)
        await asyncio.sleep(_CHECK_SECONDS)

    def is_refused(self, request: str, *parts: str, model: str = 'm') -> bool:
        """Return whether a request may not be sent to an engine."""
        incoming = self.build(request, *parts, model=model)
        return self.guard.find_refusal(incoming) is not None
