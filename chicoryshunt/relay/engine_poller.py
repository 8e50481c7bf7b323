"""Polls engines for whether they leave, while the store can not tell.

Load pattern: the platform's store is down for seconds, engines are reclaimed
all the same, and their notices are only seen when it is back.
"""

import asyncio
from collections.abc import Callable

import msgspec

from chicoryshunt.connection.upstream import (
    Answer,
    CallBounds,
    ConnectionLostError,
    NotSentError,
    OutgoingRequest,
)
from chicoryshunt.events import log_event
from chicoryshunt.failures import contain_failure
from chicoryshunt.fleet.facts import Revision, TargetFact, TargetPhase
from chicoryshunt.membership.rendezvous import rank_vms
from chicoryshunt.relay.context import RelayContext
from chicoryshunt.relay.target_codec import EngineReport, Health
from chicoryshunt.types import TargetId

_POLL_SECONDS = 0.3
# Two nodes poll each engine, as one of them may have no connection to it.
_POLLERS_PER_ENGINE = 2
_MAX_ANSWER_BYTES = 1048576
# An answer that takes longer than a round is useless: the next one follows.
_BOUNDS = CallBounds(
    idle_seconds=2,
    answer_seconds=_POLL_SECONDS,
    max_bytes=_MAX_ANSWER_BYTES,
)
# A health check may also succeed on an engine that leaves, so the report is
# requested as well once in so many rounds.
_ROUNDS_PER_REPORT = 3
# Reports are up to some tenths of a second old. This long after a failed health
# check, the report tells whether the engine leaves.
_REPORT_AGE_SECONDS = 1.0
_SOURCE = 'engine'


class EnginePoller:
    """Polls the health checks and reports of engines that have runs.

    A health check fails as soon as an engine leaves; its report says so half
    a second later, which is a third of the notice period. Health checks may
    be wrong, so the report decides in the end.
    """

    def __init__(
        self,
        context: RelayContext,
        is_store_down: Callable[[float], bool],
    ) -> None:
        """Poll this node's share of the engines while the store is down."""
        self._context = context
        self._is_store_down = is_store_down
        self._suspected: dict[TargetId, float] = {}
        # Engines whose health checks failed although they did not leave.
        self._false_alarms: set[TargetId] = set()
        self._round = 0
        # Whether this node polls an engine, at a version of the roster.
        self._own_engines: dict[TargetId, bool] = {}
        self._ranked_version = -1

    async def run(self) -> None:
        """Poll until the process ends."""
        while True:
            await asyncio.sleep(_POLL_SECONDS)
            with contain_failure('engine_poll_failed'):
                await self._poll()

    async def _poll(self) -> None:
        self._round += 1
        checks = [self._confirm(target) for target in self._list_confirmable()]
        if self._is_store_down(self._context.clock.now()):
            checks.extend(map(self._check, self._list_engines()))
        else:
            self._false_alarms.clear()
        await asyncio.gather(*checks)

    def _list_engines(self) -> list[TargetId]:
        """Return the engines with runs that this node is to poll."""
        engines = {
            known.run.target for known in self._context.workload.list_runs()
        }
        return [engine for engine in engines if self._is_poller(engine)]

    def _is_poller(self, engine: TargetId) -> bool:
        """Return whether this node polls an engine, by the present nodes.

        Load pattern: in an outage hundreds of nodes share dozens of engines
        between them, and ranking all nodes for each takes a tenth of a core.
        """
        membership = self._context.membership
        if self._ranked_version != membership.roster.version:
            self._ranked_version = membership.roster.version
            self._own_engines.clear()
        if engine not in self._own_engines:
            own = membership.own
            serving = {own, *membership.roster.list_serving()}
            ranked = rank_vms(f'report/{engine}', serving)
            self._own_engines[engine] = own in ranked[:_POLLERS_PER_ENGINE]
        return self._own_engines[engine]

    def _list_confirmable(self) -> list[TargetId]:
        """Return the suspected engines whose reports are recent enough."""
        before = self._context.clock.now() - _REPORT_AGE_SECONDS
        return [
            target
            for target, since in self._suspected.items()
            if since <= before
        ]

    async def _check(self, target: TargetId) -> None:
        fact = self._context.catalog.find(target)
        if fact is None or fact.phase is not TargetPhase.ready:
            return
        health = await self._read_health(fact)
        if health is Health.failing:
            self._suspected[target] = self._context.clock.now()
            self._override_phase(fact, TargetPhase.leaving)
        elif health is Health.unknown or self._is_report_due():
            await self._check_report(fact)

    async def _check_report(self, fact: TargetFact) -> None:
        report = await self._read_report(fact)
        if report is not None and report.is_leaving:
            self._override_phase(fact, TargetPhase.leaving)

    def _is_report_due(self) -> bool:
        return self._round % _ROUNDS_PER_REPORT == 0

    async def _confirm(self, target: TargetId) -> None:
        """Mark a suspected engine ready if its report says that it stays."""
        self._suspected.pop(target)
        fact = self._context.catalog.find(target)
        if fact is None or fact.phase is not TargetPhase.leaving:
            return
        report = await self._read_report(fact)
        if report is not None and not report.is_leaving:
            self._false_alarms.add(target)
            self._override_phase(fact, TargetPhase.ready)

    async def _read_health(self, fact: TargetFact) -> Health:
        path = self._context.find_health_path(fact.service)
        if not path or fact.target in self._false_alarms:
            return Health.unknown
        codec = self._context.codec
        answered = await self._request(fact, codec.encode_health_check(path))
        if answered is None:
            return Health.unknown
        answer, _ = answered
        return codec.decode_health(fact.target, answer)

    async def _read_report(self, fact: TargetFact) -> EngineReport | None:
        codec = self._context.codec
        answered = await self._request(fact, codec.encode_report_request())
        return None if answered is None else codec.decode_report(*answered)

    async def _request(
        self,
        fact: TargetFact,
        outgoing: OutgoingRequest,
    ) -> tuple[Answer, bytes] | None:
        try:
            return await self._context.pool.call(
                fact.address, outgoing, _BOUNDS
            )
        except (NotSentError, ConnectionLostError) as error:
            log_event(
                'engine_not_asked',
                target=fact.target,
                path=outgoing.uri.decode(),
                error=str(error),
            )
            return None

    def _override_phase(self, fact: TargetFact, phase: TargetPhase) -> None:
        """Publish a phase that holds until the entry is written again."""
        changed = msgspec.structs.replace(
            fact,
            phase=phase,
            revision=Revision(fact.revision + 1),
        )
        now = self._context.clock.now()
        if self._context.catalog.apply(changed, now, _SOURCE):
            self._context.publish([changed])
