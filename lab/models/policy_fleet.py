"""Several nodes that send to the same targets, under leases or shares.

Each node forecasts from its own requests. The keeper of a target receives the
forecast of each node in turn, sums the forecasts and leases what still fits. A
node uses its lease without further messages until its next turn.
"""

import math
from dataclasses import dataclass, field
from enum import Enum

from chicoryshunt.connection.target_api import LoadReport
from chicoryshunt.policy.admission import Limit, compute_headroom
from chicoryshunt.policy.occupancy import (
    Curve,
    build_empty_curve,
    parse_curve,
    sum_curves,
)
from chicoryshunt.policy.slots import Headroom
from chicoryshunt.policy.tracker import Exclusive, Granted, Leased
from chicoryshunt.types import Profile
from lab.models.policy_deciders import NodeDecider, name_target
from lab.models.policy_model import Sent
from lab.models.policy_workload import Arrival
from lab.standins.batching import EngineSpec

ROUND_SECONDS = 0.5
_NOTHING = Headroom(0, 0)


class Sharing(Enum):
    """How nodes divide the limit of a target."""

    leases = 'leases'
    shares = 'shares'
    parts = 'parts'


@dataclass(slots=True)
class NodeLease:
    """Last forecast and lease of one node, and what remains of the lease."""

    curve: Curve = field(default_factory=build_empty_curve)
    granted: Headroom = _NOTHING
    remaining: Headroom = _NOTHING
    short_slots: int = 0
    short_remaining: int = 0
    waiting: int = 0

    @property
    def outstanding(self) -> int:
        """Return the requests that the whole lease allows."""
        return self.granted.slots + self.short_slots

    def drop(self) -> None:
        """End the lease."""
        self.granted = _NOTHING
        self.remaining = _NOTHING
        self.short_slots = 0
        self.short_remaining = 0

    def spend(self, reserved_tokens: int) -> None:
        """Subtract one request from the lease."""
        if not self.remaining.slots:
            self.short_remaining = 0
        self.remaining = Headroom(
            max(self.remaining.slots - 1, 0),
            max(self.remaining.memory_tokens - reserved_tokens, 0),
        )


class Keeper:
    """Leases the limit of one target to the nodes."""

    def __init__(self, nodes: int) -> None:
        """Start without reports."""
        self.leases = [NodeLease() for _ in range(nodes)]

    def renew(
        self,
        node: int,
        limit: Limit,
        typical: Curve,
        margin: float,
    ) -> None:
        """Renew a node's lease with its fraction of the available headroom.

        The fraction grows with the requests that wait at the node.
        """
        lease = self.leases[node]
        lease.drop()
        outstanding = sum(one.outstanding for one in self.leases)
        pooled = sum_curves(one.curve for one in self.leases)
        pooled += typical.scale(outstanding)
        available = compute_headroom(limit, pooled, typical, margin)
        weights = [one.waiting + 1 for one in self.leases]
        fraction = weights[node] / sum(weights)
        slots = min(
            available.slots,
            math.ceil((available.slots + outstanding) * fraction),
        )
        if slots:
            memory = available.memory_tokens * slots // available.slots
            lease.granted = Headroom(slots, memory)
            lease.remaining = lease.granted
        else:
            short = compute_headroom(limit, pooled, typical, margin / 2)
            lease.short_slots = min(short.slots, 1)
            lease.short_remaining = lease.short_slots


class Fleet:
    """Several nodes as one decider; requests go to them round-robin."""

    def __init__(
        self,
        sharing: Sharing,
        nodes: int,
        spec: EngineSpec,
        engines: int,
    ) -> None:
        """Start with warm targets."""
        self._sharing = sharing
        self._nodes = [
            NodeDecider(Profile.stall, spec, engines) for _ in range(nodes)
        ]
        self._keepers = [Keeper(nodes) for _ in range(engines)]
        self._renewed = -ROUND_SECONDS
        self._next = 0
        self._turn = 0
        for target in range(engines):
            for node in range(nodes):
                self._open(node, target)

    @property
    def queued(self) -> int:
        """Return the number of requests that wait at any node."""
        return sum(node.queued for node in self._nodes)

    def offer(self, arrival: Arrival, now: float) -> bool:
        """Offer a request to the node of its number."""
        return self._find_node(arrival.number).offer(arrival, now)

    def expire(self, now: float) -> list[int]:
        """Return the requests whose wait timed out."""
        return [one for node in self._nodes for one in node.expire(now)]

    def find_next(self, now: float) -> Sent | None:
        """Return the next dispatch of any node."""
        self._renew(now)
        for _ in self._nodes:
            self._turn = (self._turn + 1) % len(self._nodes)
            sent = self._nodes[self._turn].find_next(now)
            if sent is not None:
                self._spend(self._turn, sent.target)
                return sent
        return None

    def record_tokens(self, number: int, produced: int) -> None:
        """Forward the number of produced tokens."""
        self._find_node(number).record_tokens(number, produced)

    def record_stop(self, number: int, produced: int, *, ended: bool) -> None:
        """Forward the end of a request."""
        self._find_node(number).record_stop(number, produced, ended=ended)
        if self._sharing is Sharing.parts:
            for target, _ in enumerate(self._keepers):
                self._open(number % len(self._nodes), target)

    def record_report(
        self, target: int, report: LoadReport, now: float
    ) -> None:
        """Forward a report to every node, as leases distribute it."""
        before = self.find_limit(target)
        for node in self._nodes:
            node.record_report(target, report, now)
        if self.find_limit(target) < before:
            self._drop(target)
        for number, _ in enumerate(self._nodes):
            self._open(number, target)

    def record_loss(self, target: int, now: float) -> None:
        """Close a lost target on every node."""
        for number, node in enumerate(self._nodes):
            self._find_lease(number, target).curve = build_empty_curve()
            node.record_loss(target, now)
        self._drop(target)

    def set_serving(self, target: int, *, serving: bool) -> None:
        """Add a target to service or remove it."""
        for number, node in enumerate(self._nodes):
            node.set_serving(target, serving=serving)
            self._open(number, target)

    def find_limit(self, target: int) -> int:
        """Return the current slot limit of a target."""
        return self._nodes[0].find_limit(target)

    def _find_lease(self, number: int, target: int) -> NodeLease:
        return self._keepers[target].leases[number]

    def _drop(self, target: int) -> None:
        for lease in self._keepers[target].leases:
            lease.drop()

    def _find_node(self, number: int) -> NodeDecider:
        return self._nodes[number % len(self._nodes)]

    def _renew(self, now: float) -> None:
        step = ROUND_SECONDS / len(self._nodes)
        while self._sharing is Sharing.leases and self._renewed + step <= now:
            self._renewed = max(self._renewed + step, now - ROUND_SECONDS)
            self._next = (self._next + 1) % len(self._nodes)
            self._renew_node(self._next, now)

    def _renew_node(self, number: int, now: float) -> None:
        node = self._nodes[number]
        for target, keeper in enumerate(self._keepers):
            tracker = node.dispatcher.trackers[name_target(target)]
            lease = keeper.leases[number]
            lease.curve = parse_curve(tracker.predict(now).to_report())
            lease.waiting = node.queued
            keeper.renew(
                number,
                node.warmup_limiters[target].limit,
                node.dispatcher.typical,
                node.dispatcher.margin.deviations,
            )
            self._open(number, target)

    def _spend(self, number: int, target: int) -> None:
        if self._sharing is not Sharing.leases:
            self._open(number, target)
            return
        reserved_tokens = self._nodes[number].get_last_reservation(target)
        self._find_lease(number, target).spend(reserved_tokens)
        self._open(number, target)

    def _open(self, number: int, target: int) -> None:
        node = self._nodes[number]
        if not node.is_open(target):
            return
        limit = node.warmup_limiters[target].limit
        match self._sharing:
            case Sharing.shares:
                share = Limit(
                    limit.slots // len(self._nodes),
                    limit.memory_tokens // len(self._nodes),
                )
                node.dispatcher.set_quota(name_target(target), Exclusive(share))
            case Sharing.parts:
                headroom = node.compute_share(target, len(self._nodes))
                node.dispatcher.set_quota(
                    name_target(target),
                    Leased(headroom, limit),
                )
            case Sharing.leases:
                lease = self._find_lease(number, target)
                node.dispatcher.set_quota(
                    name_target(target),
                    Granted(lease.remaining, limit, lease.short_remaining),
                )
