"""Asks engines themselves whether they leave, while nobody can read it.

Load pattern: the platform's store is away for seconds, engines are reclaimed
all the same, and their notices are only seen when it is back.
"""

import asyncio
from collections.abc import Callable

import msgspec

from chicoryshunt.connection.upstream import (
    AskBounds,
    LostError,
    NotSentError,
)
from chicoryshunt.events import log_event
from chicoryshunt.fleet.facts import Revision, TargetFact, TargetPhase
from chicoryshunt.membership.rendezvous import rank_vms
from chicoryshunt.relay.ports import EngineReport
from chicoryshunt.relay.surroundings import Surroundings
from chicoryshunt.types import TargetId

_INTERVAL_SECONDS = 0.3
# Two nodes ask each engine, for one of them may be cut off from it.
_ASKERS = 2
_MOST_BYTES = 1048576
_BOUNDS = AskBounds(
    idle_seconds=2,
    answer_seconds=0.5,
    most_bytes=_MOST_BYTES,
)
_SOURCE = 'report'


class ReportWatch:
    """Reads the reports of engines that have something to lose."""

    def __init__(
        self,
        around: Surroundings,
        sees_outage: Callable[[float], bool],
    ) -> None:
        """Ask this node's part of the engines while there is an outage."""
        self._around = around
        self._sees_outage = sees_outage

    async def run(self) -> None:
        """Watch for as long as the process lives."""
        while True:
            await asyncio.sleep(_INTERVAL_SECONDS)
            if self._sees_outage(self._around.clock.now()):
                await asyncio.gather(*map(self._check, self._list_engines()))

    def _list_engines(self) -> list[TargetId]:
        """Return the engines with runs that this node is to ask."""
        own = self._around.membership.own
        serving = {own, *self._around.membership.roster.list_serving()}
        engines = {one.run.target for one in self._around.workload.list_runs()}
        return [
            engine
            for engine in engines
            if own in rank_vms(f'report/{engine}', serving)[:_ASKERS]
        ]

    async def _check(self, target: TargetId) -> None:
        fact = self._around.catalog.find(target)
        if fact is None or fact.phase is not TargetPhase.ready:
            return
        report = await self._read(fact)
        if report is not None and report.is_leaving:
            self._note_leaving(fact)

    async def _read(self, fact: TargetFact) -> EngineReport | None:
        port = self._around.port
        try:
            answer, body = await self._around.pool.ask(
                fact.address,
                port.encode_report(),
                _BOUNDS,
            )
        except (NotSentError, LostError) as error:
            log_event('report_not_read', target=fact.target, error=str(error))
            return None
        return port.decode_report(answer, body)

    def _note_leaving(self, fact: TargetFact) -> None:
        # The entry that says so is written later than the one believed in.
        leaving = msgspec.structs.replace(
            fact,
            phase=TargetPhase.leaving,
            revision=Revision(fact.revision + 1),
        )
        now = self._around.clock.now()
        if self._around.catalog.take(leaving, now, _SOURCE):
            self._around.publish([leaving])
