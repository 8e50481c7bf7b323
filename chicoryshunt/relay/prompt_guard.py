"""Keeps prompts that crash engines from being sent to further engines."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from typing import Any

import xxhash

from chicoryshunt.clock import Clock
from chicoryshunt.connection.upstream import NotSentError, UpstreamPool
from chicoryshunt.dispatch.crash_suspects import Block, PartKey
from chicoryshunt.events import log_event
from chicoryshunt.fleet.catalog import Catalog
from chicoryshunt.fleet.crash_exchange import CrashExchange
from chicoryshunt.fleet.facts import TargetFact, TargetPhase
from chicoryshunt.membership.membership import Membership
from chicoryshunt.membership.rendezvous import rank_vms
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.core import Send
from chicoryshunt.relay.incoming import GenerationParams, IncomingRequest
from chicoryshunt.types import RequestId

# A crashed engine refuses connections; one that is out of reach is silent.
# It is tried as often as this, as its port may close after its connections.
_CHECKS = 2
_CHECK_PAUSE_SECONDS = 0.05
# An engine that crashed after it wrote a whole answer is missed by others
# after this time.
_SURVIVAL_SECONDS = 5.0
# A request at whose start so many engines crashed is not sent again.
_MAX_CRASHES = 3


@dataclass(slots=True)
class PromptGuard:
    """Reports crashes of engines and refuses prompts that caused them."""

    clock: Clock
    catalog: Catalog
    membership: Membership
    crash_exchange: CrashExchange
    pool: UpstreamPool
    metrics: Metrics
    send: Callable[[Iterable[Send]], None]
    _crashes: Counter[RequestId] = field(default_factory=Counter)
    # The one request that tries parts again whose block has expired.
    _trials: dict[frozenset[PartKey], RequestId] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def find_refusal(self, incoming: IncomingRequest) -> str | None:
        """Return why a request may not be sent to an engine, if so."""
        if self._crashes[incoming.request] >= _MAX_CRASHES:
            return f'{_MAX_CRASHES} engines crashed at the start of the run'
        suspects = self.crash_exchange.suspects
        if not suspects.blocks:
            return None
        block = suspects.find_block(list_part_keys(incoming.params))
        if block is None or self._may_try(incoming.request, block):
            return None
        return f'parts of the prompt crashed {block.crash_count} engines'

    def release(self, request: RequestId) -> None:
        """Forget a request that has ended."""
        self._crashes.pop(request, None)
        for parts, trying in tuple(self._trials.items()):
            if trying == request:
                self._trials.pop(parts)

    def report_break(
        self, incoming: IncomingRequest, target: TargetFact
    ) -> None:
        """Suspect the prompt of a run that broke off at its start.

        It is no crash if the engine still accepts connections or has
        announced that it leaves.
        """
        self._spawn(self._report_crash(incoming, target))

    def clear(self, incoming: IncomingRequest) -> None:
        """Clear the prompt of a run that writes without harm."""
        parts = list_part_keys(incoming.params)
        if parts:
            self.send(self.crash_exchange.clear(parts))

    def clear_later(
        self, incoming: IncomingRequest, target: TargetFact
    ) -> None:
        """Clear the prompt of a short answer if its engine survives it."""
        parts = list_part_keys(incoming.params)
        if parts:
            asyncio.get_running_loop().call_later(
                _SURVIVAL_SECONDS,
                self._clear_survived,
                target,
                parts,
                self.clock.now(),
            )

    def _clear_survived(
        self, target: TargetFact, parts: list[PartKey], ended_at: float
    ) -> None:
        fact = self.catalog.find(target.target)
        suspects = self.crash_exchange.suspects
        if (
            fact is not None
            and fact.phase is TargetPhase.ready
            and fact.born == target.born
            and not suspects.has_crashed(target.target, ended_at)
        ):
            self.send(self.crash_exchange.clear(parts))

    async def _report_crash(
        self, incoming: IncomingRequest, target: TargetFact
    ) -> None:
        broke_at = self.clock.now()
        for _ in range(_CHECKS):
            try:
                upstream = await self.pool.open(target.address)
            except NotSentError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    self._record_crash(incoming, target, broke_at)
                return
            upstream.abort()
            await asyncio.sleep(_CHECK_PAUSE_SECONDS)

    def _record_crash(
        self,
        incoming: IncomingRequest,
        target: TargetFact,
        broke_at: float,
    ) -> None:
        fact = self.catalog.find(target.target)
        if fact is None or fact.phase is not TargetPhase.ready:
            return
        self._crashes[incoming.request] += 1
        parts = list_part_keys(incoming.params)
        self.metrics.count(
            'engine_crashes_reported',
            'Crashes of engines that broke off runs at their start',
        )
        log_event(
            'engine_crash_reported',
            request=incoming.request,
            target=target.target,
            parts=','.join(f'{part:x}' for part in parts),
        )
        self.send(self.crash_exchange.report(target.target, parts, broke_at))

    def _may_try(self, request: RequestId, block: Block) -> bool:
        """Return whether a request tries parts whose block has expired.

        One node admits one request at a time, so that parts that still crash
        engines crash one and are blocked again, for longer.
        """
        if self.clock.now() < block.until:
            return False
        trying = self._trials.get(block.parts)
        if trying is not None:
            return trying == request
        own = self.membership.own
        serving = {own, *self.membership.roster.list_serving()}
        if rank_vms(f'trial/{min(block.parts)}', serving)[0] != own:
            return False
        log_event('prompt_parts_tried', request=request)
        self._trials[block.parts] = request
        return True

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def list_part_keys(params: GenerationParams | None) -> list[PartKey]:
    """Return keys of the parts of a prompt that other prompts may share.

    The last part belongs to the request alone. A part may be harmless to
    another model.
    """
    if params is None:
        return []
    return [
        PartKey(xxhash.xxh3_64_intdigest(f'{params.model}\0{part}'.encode()))
        for part in params.prefix[:-1]
        if part
    ]
