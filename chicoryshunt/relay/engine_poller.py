"""Asks engines themselves whether they leave, while nobody can read it.

Load pattern: the platform's store is away for seconds, engines are reclaimed
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
from chicoryshunt.fleet.facts import Revision, TargetFact, TargetPhase
from chicoryshunt.membership.rendezvous import rank_vms
from chicoryshunt.relay.context import RelayContext
from chicoryshunt.relay.target_codec import EngineReport, Health
from chicoryshunt.types import TargetId

_INTERVAL_SECONDS = 0.3
# Two nodes ask each engine, for one of them may be cut off from it.
_ASKERS = 2
_MOST_BYTES = 1048576
# An answer that takes longer than a round is no use: there is a next one.
_BOUNDS = CallBounds(
    idle_seconds=2,
    answer_seconds=_INTERVAL_SECONDS,
    max_bytes=_MOST_BYTES,
)
# A health check may also be wrong in the other direction, so one check in so
# many asks for the report as well.
_ROUNDS_PER_REPORT = 3
# Reports are up to some tenths of a second old; after this time one tells
# whether an engine leaves whose health check failed.
_REPORT_AGE_SECONDS = 1.0
_SOURCE = 'engine'


class EnginePoller:
    """Asks engines that have something to lose how they are.

    A health check fails as soon as an engine leaves; its report says so half
    a second later, which is a third of the notice. Health checks may be
    wrong, so the report decides in the end.
    """

    def __init__(
        self,
        context: RelayContext,
        sees_outage: Callable[[float], bool],
    ) -> None:
        """Ask this node's part of the engines while there is an outage."""
        self._context = context
        self._sees_outage = sees_outage
        self._suspected: dict[TargetId, float] = {}
        # Engines whose health checks failed though they stayed.
        self._mistaken: set[TargetId] = set()
        self._round = 0

    async def run(self) -> None:
        """Watch for as long as the process lives."""
        while True:
            await asyncio.sleep(_INTERVAL_SECONDS)
            self._round += 1
            checks = [self._confirm(target) for target in self._list_due()]
            if self._sees_outage(self._context.clock.now()):
                checks.extend(map(self._check, self._list_engines()))
            else:
                self._mistaken.clear()
            await asyncio.gather(*checks)

    def _list_engines(self) -> list[TargetId]:
        """Return the engines with runs that this node is to ask."""
        own = self._context.membership.own
        serving = {own, *self._context.membership.roster.list_serving()}
        engines = {one.run.target for one in self._context.workload.list_runs()}
        return [
            engine
            for engine in engines
            if own in rank_vms(f'report/{engine}', serving)[:_ASKERS]
        ]

    def _list_due(self) -> list[TargetId]:
        """Return the suspected engines whose reports are fresh enough."""
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
            self._note(fact, TargetPhase.leaving)
        elif health is Health.unknown or self._is_report_due():
            await self._check_report(fact)

    async def _check_report(self, fact: TargetFact) -> None:
        report = await self._read_report(fact)
        if report is not None and report.is_leaving:
            self._note(fact, TargetPhase.leaving)

    def _is_report_due(self) -> bool:
        return self._round % _ROUNDS_PER_REPORT == 0

    async def _confirm(self, target: TargetId) -> None:
        """Take an engine back whose report does not say that it leaves."""
        self._suspected.pop(target)
        fact = self._context.catalog.find(target)
        if fact is None or fact.phase is not TargetPhase.leaving:
            return
        report = await self._read_report(fact)
        if report is not None and not report.is_leaving:
            self._mistaken.add(target)
            self._note(fact, TargetPhase.ready)

    async def _read_health(self, fact: TargetFact) -> Health:
        path = self._context.find_health_path(fact.service)
        if not path or fact.target in self._mistaken:
            return Health.unknown
        port = self._context.codec
        asked = await self._ask(fact, port.encode_health_check(path))
        if asked is None:
            return Health.unknown
        answer, _ = asked
        return port.decode_health(fact.target, answer)

    async def _read_report(self, fact: TargetFact) -> EngineReport | None:
        port = self._context.codec
        asked = await self._ask(fact, port.encode_report_request())
        return None if asked is None else port.decode_report(*asked)

    async def _ask(
        self,
        fact: TargetFact,
        sending: OutgoingRequest,
    ) -> tuple[Answer, bytes] | None:
        try:
            return await self._context.pool.call(fact.address, sending, _BOUNDS)
        except (NotSentError, ConnectionLostError) as error:
            log_event(
                'engine_not_asked',
                target=fact.target,
                path=sending.uri.decode(),
                error=str(error),
            )
            return None

    def _note(self, fact: TargetFact, phase: TargetPhase) -> None:
        """Believe an engine, until its entry is written again."""
        changed = msgspec.structs.replace(
            fact,
            phase=phase,
            revision=Revision(fact.revision + 1),
        )
        now = self._context.clock.now()
        if self._context.catalog.apply(changed, now, _SOURCE):
            self._context.publish([changed])
