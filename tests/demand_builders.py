"""Builder of nodes whose requests wait for the same engines."""

import asyncio
from collections.abc import Iterable
from dataclasses import replace
from functools import partial
from typing import Any, cast

import msgspec

from chicoryshunt.dispatch.retry_budget import FleetRetryBudget, RetryBound
from chicoryshunt.dispatch.service_order import (
    Claim,
    PlacementRate,
    ServiceHash,
    TeamHash,
    WaitingGroup,
)
from chicoryshunt.metrics import Metrics
from chicoryshunt.relay.context import RelayContext
from chicoryshunt.relay.incoming import GenerationParams, IncomingRequest
from chicoryshunt.relay.placing import Placer
from chicoryshunt.relay.stream import Stream, build_run_view
from chicoryshunt.rules.model import (
    ApiKey,
    EngineRules,
    ServiceRules,
    TeamRules,
)
from chicoryshunt.rules.routing import AdmittedRequest
from chicoryshunt.types import ModelId, RequestId, ServiceId, TeamId
from chicoryshunt.verdict import Verdict
from tests.fleet_builders import (
    HOME,
    FleetNode,
    FleetTrial,
    build_fact,
    build_route,
    build_rules,
)

SERVICE = ServiceId('plain')
ENGINE_RULES = EngineRules(1, 4400, 1, 1e9, can_move=False, tokens_per_event=1)
TEAMS = tuple(
    TeamRules(TeamId(name), (ApiKey(name),)) for name in ('red', 'blue')
)
_SERVICE_HASH = ServiceHash(1)
_DISCOVERY_SECONDS = 8
# Two hops take less than the time in which announcements arrive.
_STEP_SECONDS = 0.005


def build_group(
    count: int = 1,
    age: float = 0.5,
    now: float = 100,
    **changes: Any,
) -> WaitingGroup:
    """Return requests that wait, in time for 2 s and first after 5 s."""
    arrived = now - age
    claim = Claim(
        service=_SERVICE_HASH,
        priority=1,
        team=TeamHash(1),
        arrived=arrived,
        late_at=arrived + 2,
        first_at=arrived + 5,
    )
    claim = replace(claim, **changes)
    return WaitingGroup(claim, count, 3000 * count, 900 * count)


class WaitingFleet:
    """Nodes with placers, and engines that hold one run each."""

    def __init__(self, nodes: int, engines: int, team_count: int = 2) -> None:
        self.trial = FleetTrial(nodes)
        self.trial.network.run(_DISCOVERY_SECONDS)
        rules = msgspec.structs.replace(
            build_rules(),
            teams=TEAMS[:team_count],
            services=(ServiceRules(SERVICE, 1, 0, 0, ENGINE_RULES),),
        )
        for node in self.trial.nodes:
            node.catalog.apply_rules(rules, 'test')
            for number in range(engines):
                fact = build_fact(f'e{number}', slots=1)
                node.catalog.apply(fact, self.now, 'test')
        self.contexts = [self._build_context(one) for one in self.trial.nodes]
        self.placers = [Placer(one) for one in self.contexts]
        self.arrived: dict[str, float] = {}
        self.placed: dict[str, float] = {}
        self.refused: dict[str, Verdict] = {}
        self._count = nodes
        self.waited: dict[str, float] = {}
        self.retries: dict[str, float] = {}
        self._serving: list[asyncio.Future[None]] = []

    @property
    def now(self) -> float:
        """Return the time of the nodes in seconds."""
        return self.trial.clock.now()

    async def advance(self, seconds: float) -> None:
        """Let requests and messages go on."""
        for _ in range(round(seconds / _STEP_SECONDS)):
            self.trial.network.run(_STEP_SECONDS, _STEP_SECONDS)
            await asyncio.sleep(_STEP_SECONDS)

    def ask(
        self, node: int, request: str, seconds: float = 0.5, **changes: Any
    ) -> None:
        """Let a request arrive whose run takes some seconds."""
        stream = self.build_stream(request, **changes)
        self.arrived[request] = self.now
        serving = asyncio.ensure_future(self._serve(node, stream, seconds))
        self._serving.append(serving)

    def call(self, node: int, request: str, **changes: Any) -> None:
        """Let a request arrive whose caller returns to a random node."""
        self.arrived[request] = self.now
        calling = asyncio.ensure_future(self._call(node, request, changes))
        self._serving.append(calling)

    def stop(self) -> None:
        """Stop all callers."""
        for one in self._serving:
            one.cancel()

    def count_overtaken(self, names: Iterable[str], apart: float) -> int:
        """Return how many requests went after one that arrived later.

        It arrived later by more than ``apart`` seconds.
        """
        done = [one for one in names if one in self.placed]
        return sum(
            any(
                self.arrived[other] > self.arrived[one] + apart
                and self.placed[other] < self.placed[one]
                for other in done
            )
            for one in done
        )

    def build_stream(
        self,
        request: str,
        team: int = 0,
        priority: int = 1,
        target: float = 2,
        patience: float = 10,
        prompt: int = 3000,
    ) -> Stream:
        """Return the stream of a request that arrives now."""
        params = GenerationParams(
            ModelId('m'), prompt, 900, 300, prefix=(request.split('@')[0],)
        )
        return Stream(
            IncomingRequest(
                request=RequestId(request),
                method=b'POST',
                uri=b'/',
                path='/',
                host='club.example',
                headers=(),
                params=params,
                received_at=self.now,
            ),
            AdmittedRequest(
                build_route(
                    priority=priority,
                    target_latency=target,
                    timeout=60,
                    first_event_timeout=patience,
                ),
                TEAMS[team],
            ),
            SERVICE,
            ENGINE_RULES,
            self.now + 60,
            cast(Any, None),
            build_run_view(params),
        )

    def report(self, node: int, group: WaitingGroup) -> None:
        """Let a node report a group, whatever waits there."""
        demand = self.contexts[node].exchanges.demand
        demand.report_with(lambda now: [group])

    def set_rate(self, node: int, rate: PlacementRate) -> None:
        """Replace the rate that a node has seen."""
        queue = self.placers[node]._wait_queue
        queue._rates[SERVICE] = rate

    def _build_context(self, node: FleetNode) -> RelayContext:
        return RelayContext(
            data_centre=HOME,
            clock=self.trial.clock,
            catalog=node.catalog,
            membership=node.membership,
            workload=node.workload,
            pool=cast(Any, None),
            codec=cast(Any, None),
            retry_budget=FleetRetryBudget(RetryBound(1, 1, 1)),
            exchanges=node.exchanges,
            metrics=Metrics(),
            send=partial(self.trial.network.send, node.vm),
            publish=cast(Any, None),
        )

    async def _serve(self, node: int, stream: Stream, seconds: float) -> None:
        context = self.contexts[node]
        found = await self.placers[node].find_engine(stream, ())
        if isinstance(found, Verdict):
            self.refused[stream.request] = found
            self.retries[stream.request] = found.retry_after or 0
            self.waited[stream.request] = self.now - stream.incoming.received_at
            return
        self.placed[stream.request] = self.now
        await asyncio.sleep(seconds)
        context.send(context.workload.end(stream.request))

    async def _call(
        self, node: int, request: str, changes: dict[str, Any]
    ) -> None:
        for attempt in range(6):
            name = f'{request}@{attempt}'
            stream = self.build_stream(name, **changes)
            await self._serve(node, stream, 2)
            placed = self.placed.get(name)
            if placed is not None:
                self.placed[request] = placed
                return
            await asyncio.sleep(self.retries[name])
            node = self.trial.rng.randrange(self._count)
