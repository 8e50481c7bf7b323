"""The context that all requests of a node share."""

from collections import Counter
from collections.abc import (
    Callable,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random

from chicoryshunt.clock import Clock
from chicoryshunt.connection.upstream import (
    NotListeningError,
    NotSentError,
    UpstreamPool,
)
from chicoryshunt.dispatch.cold_start import (
    ColdShare,
    ColdStartLimiter,
    allows_announced,
)
from chicoryshunt.dispatch.engines import Announcement, Engine
from chicoryshunt.dispatch.forecast import (
    DEFAULT_TOKENS_PER_SECOND,
    RunView,
)
from chicoryshunt.dispatch.outliers import ExchangeOutcome, OutlierDetector
from chicoryshunt.dispatch.relief import Relief
from chicoryshunt.dispatch.retry_budget import FleetRetryBudget
from chicoryshunt.events import log_event
from chicoryshunt.fleet.catalog import Catalog
from chicoryshunt.fleet.exchanges import Exchanges
from chicoryshunt.fleet.facts import Fact, TargetFact, TargetPhase
from chicoryshunt.fleet.messages import PlacedRun
from chicoryshunt.fleet.workload import Workload
from chicoryshunt.membership.membership import Membership
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.core import Send
from chicoryshunt.relay.planned_stop import PlannedStop
from chicoryshunt.relay.prompt_guard import PromptGuard
from chicoryshunt.relay.target_codec import TargetCodec
from chicoryshunt.rules.model import EngineRules, ServiceRules
from chicoryshunt.types import DataCentreId, RequestId, ServiceId, TargetId

# Weight of the newest stream in the token rate that forecasts use.
_TOKEN_RATE_WEIGHT = 0.05
_MIN_TOKEN_RATE = 20.0
_MAX_TOKEN_RATE = 500.0
# A node whose last connection is older does not know whether its link works.
_LINK_PROOF_SECONDS = 0.5
_NO_REQUESTS: frozenset[RequestId] = frozenset()


@dataclass(slots=True)
class RelayContext:
    """Known targets, connections and counters of the process."""

    data_centre: DataCentreId
    clock: Clock
    catalog: Catalog
    membership: Membership
    workload: Workload
    pool: UpstreamPool
    codec: TargetCodec
    retry_budget: FleetRetryBudget
    exchanges: Exchanges
    metrics: Metrics
    send: Callable[[Iterable[Send]], None]
    publish: Callable[[Sequence[Fact]], None]
    outliers: OutlierDetector = field(default_factory=OutlierDetector)
    cold: ColdStartLimiter = field(
        default_factory=lambda: ColdStartLimiter(Random())
    )
    prompt_guard: PromptGuard = field(init=False)
    open_calls: Counter[TargetId] = field(default_factory=Counter)
    token_rate: float = DEFAULT_TOKENS_PER_SECOND
    planned_stop: PlannedStop | None = None
    max_nodes: int = 1
    # Monotonic time at which a target last accepted a connection.
    last_connected: float = float('-inf')
    # Moves of this node's runs off slow engines, while they last.
    reliefs: dict[RequestId, Relief] = field(default_factory=dict)
    # Where the runs of leaving engines are to continue.
    planned_destinations: dict[RequestId, TargetId] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        """Build the guard that all generations share."""
        self.prompt_guard = PromptGuard(
            clock=self.clock,
            catalog=self.catalog,
            membership=self.membership,
            crash_exchange=self.exchanges.crashes,
            pool=self.pool,
            metrics=self.metrics,
            send=self.send,
        )

    def count_nodes(self) -> int:
        """Return how many nodes may share a bound: the maximum ever known."""
        known = len(tuple(self.membership.roster))
        self.max_nodes = max(self.max_nodes, known)
        return self.max_nodes

    def list_candidates(
        self,
        service: ServiceId,
        tried: Iterable[TargetId],
    ) -> list[TargetFact]:
        """Return the targets that may receive a request of a service now.

        Paused targets and those that are down are excluded, unless all are.
        """
        now = self.clock.now()
        rules = self._find_rules(service)
        usable = [
            known.fact
            for known in self.catalog.list_usable(service)
            if isinstance(known.fact, TargetFact)
            and known.fact.target not in tried
            and self._accepts_more(known.fact, known.received, rules, now)
        ]
        sound = [
            fact
            for fact in usable
            if not self.outliers.is_paused(fact.target, now)
            and not self.exchanges.outages.is_down(fact.target, now)
        ]
        return sound or usable

    def keeps_cold_rate(self, target: TargetId, own: Announcement) -> bool:
        """Return whether a run that was just announced is not one too many.

        Load pattern: dozens of nodes choose the same cold engine before they
        hear of each other.
        """
        fact = self.catalog.find(target)
        rules = None if fact is None else self._find_rules(fact.service)
        if rules is None or not self.cold.limits(target):
            return True
        now = self.clock.now()
        preceding = self.workload.arrivals.count_preceding(target, own, now)
        return allows_announced(preceding, rules.cold_per_second)

    def record_outcome(
        self, target: TargetId, outcome: ExchangeOutcome
    ) -> None:
        """Count the outcome of an exchange; log if it pauses the target."""
        self.metrics.count(
            'exchanges',
            'Exchanges with targets, by how they ended',
            outcome=outcome.value,
        )
        now = self.clock.now()
        if outcome is ExchangeOutcome.answered:
            self.exchanges.outages.record_answer(target, now)
        if self.outliers.record(target, outcome, now):
            log_event(
                'target_paused',
                target=target,
                outcome=outcome.value,
                failure_rate=self.outliers.get_failure_rate(target),
            )

    def record_connected(self, target: TargetId) -> None:
        """Record that a target accepted a connection."""
        self.last_connected = self.clock.now()

    def record_unreachable(self, target: TargetId, error: NotSentError) -> None:
        """Count a target that accepts no connection, and tell other nodes.

        A target that does not answer at all may be cut off from this node
        only, so that counts if this node has just connected to another, and
        its process was not delayed.
        """
        self.record_outcome(target, ExchangeOutcome.unreachable)
        now = self.clock.now()
        since = now - _LINK_PROOF_SECONDS
        is_linked = self.last_connected > since
        if isinstance(error, NotListeningError) or (
            is_linked and not self.exchanges.pace.was_delayed(since, now)
        ):
            self.send(self.exchanges.outages.report(target, now))

    def forget_target(self, fact: TargetFact) -> None:
        """Drop what was observed of a target that is gone or changed."""
        self.exchanges.outages.forget(fact.target)
        if fact.phase is TargetPhase.gone:
            self.outliers.forget(fact.target)
            self.exchanges.pace.table.forget(fact.target)

    def is_leaving(self, target: TargetId) -> bool:
        """Return whether a target is leaving, gone or unknown."""
        fact = self.catalog.find(target)
        return fact is None or fact.phase is not TargetPhase.ready

    def is_copying(self, target: TargetId) -> bool:
        """Return whether memory of runs may be copied off a target now."""
        return self.is_leaving(target) or any(
            relief.source == target for relief in self.reliefs.values()
        )

    def has_leaving_runs(self, service: ServiceId) -> bool:
        """Return whether a leaving engine of a service has runs."""
        targets = {known.run.target for known in self.workload.list_runs()}
        return any(
            fact.phase is TargetPhase.leaving and fact.service == service
            for fact in filter(None, map(self.catalog.find, targets))
        )

    def count_runs(self, target: TargetId) -> int:
        """Return how many runs all nodes have placed on a target."""
        return sum(
            known.run.target == target for known in self.workload.list_runs()
        )

    def find_engine_rules(self, service: ServiceId) -> EngineRules | None:
        """Return the engine rules of a service, ``None`` for a plain one."""
        rules = self._find_rules(service)
        return None if rules is None else rules.engine

    def find_max_gap(self, service: ServiceId) -> float | None:
        """Return the shortest intended longest gap of a service's routes."""
        index = self.catalog.rules
        return None if index is None else index.find_max_gap(service)

    def find_health_path(self, service: ServiceId) -> str:
        """Return the path of health checks of a service, '' without one."""
        rules = self._find_rules(service)
        return '' if rules is None else rules.health_path

    @contextmanager
    def track_call(self, target: TargetId) -> Iterator[None]:
        """Count a call as open on a target until the block ends."""
        self.open_calls[target] += 1
        self.cold.consume(target)
        try:
            yield
        finally:
            self.open_calls[target] -= 1
            if not self.open_calls[target]:
                self.open_calls.pop(target)

    def record_token_rate(self, tokens: float, seconds: float) -> None:
        """Average in the tokens per second of a finished stream."""
        if seconds <= 0:
            return
        rate = min(max(tokens / seconds, _MIN_TOKEN_RATE), _MAX_TOKEN_RATE)
        self.token_rate += _TOKEN_RATE_WEIGHT * (rate - self.token_rate)

    def find_slowness(self, target: TargetId) -> float:
        """Return how many times the median an engine needs for a token."""
        return self.exchanges.pace.table.slowness(target, self.clock.now())

    def build_engines(
        self,
        facts: Iterable[TargetFact],
        rules: EngineRules,
    ) -> list[Engine]:
        """Return engines with the runs that all nodes placed on them."""
        return self._build_engines(facts, rules, {}, _NO_REQUESTS)

    def build_planned_engines(
        self,
        facts: Iterable[TargetFact],
        rules: EngineRules,
        excluded: frozenset[RequestId] = _NO_REQUESTS,
    ) -> list[Engine]:
        """Return engines with their runs and those planned to move there.

        Load pattern: several engines leave at once, and new requests take the
        room that was planned for the copies of their runs.
        """
        return self._build_engines(
            facts, rules, self.planned_destinations, excluded
        )

    def _build_engines(
        self,
        facts: Iterable[TargetFact],
        rules: EngineRules,
        destinations: Mapping[RequestId, TargetId],
        excluded: frozenset[RequestId],
    ) -> list[Engine]:
        now = self.clock.now()
        pace = self.exchanges.pace.table
        runs: dict[TargetId, list[RunView]] = {}
        for known in self.workload.list_runs():
            if known.run.request in excluded:
                continue
            view = build_placed_run_view(known.run, now - known.placed)
            runs.setdefault(known.run.target, []).append(view)
            planned = destinations.get(known.run.request)
            if planned is not None and self.is_leaving(known.run.target):
                runs.setdefault(planned, []).append(view)
        return [
            Engine(
                fact.target,
                fact.data_centre,
                fact.slots or rules.slots,
                rules.memory_tokens,
                tuple(runs.get(fact.target, ())),
                self.outliers.get_failure_rate(fact.target),
                pace.slowness(fact.target, now),
                pace.predict_longest_gap(fact.target, now),
                pace.is_known(fact.target, now),
            )
            for fact in facts
        ]

    def _find_rules(self, service: ServiceId) -> ServiceRules | None:
        index = self.catalog.rules
        return None if index is None else index.find_service(service)

    def _accepts_more(
        self,
        fact: TargetFact,
        learned: float,
        rules: ServiceRules | None,
        now: float,
    ) -> bool:
        is_cold = now - learned < fact.cold_seconds
        if not is_cold or rules is None or not rules.cold_per_second:
            self.cold.forget(fact.target)
            return fact.phase is TargetPhase.ready
        share = ColdShare(
            rules.cold_per_second / max(self.count_nodes(), 1),
            is_announced=rules.engine is not None,
        )
        return self.cold.has_token(
            fact.target, share, now
        ) and allows_announced(
            self.workload.arrivals.count(fact.target, now),
            rules.cold_per_second,
        )


def build_placed_run_view(
    run: PlacedRun, age: float, max_gap: float | None = None
) -> RunView:
    """Return the forecast input for a placed run; times are in seconds."""
    return RunView(
        run.prompt_tokens,
        run.expected_tokens,
        run.max_tokens,
        age,
        max_gap,
    )
