"""Several nodes that send to the same targets, under leases or shares.

Each node learns from its own requests. The keeper of a target hears from each
node in turn, pools what they report, and leases what still fits. A node
spends its lease without asking until its next turn.
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
    """How nodes divide what a target can bear."""

    leases = 'leases'
    shares = 'shares'
    parts = 'parts'


@dataclass(slots=True)
class NodeLease:
    """What a keeper knows of one node, and what the node has left."""

    curve: Curve = field(default_factory=build_empty_curve)
    slack: Headroom = _NOTHING
    left: Headroom = _NOTHING
    short_slots: int = 0
    short_left: int = 0
    waiting: int = 0

    @property
    def out(self) -> int:
        """Return the requests that the lease may still become."""
        return self.slack.slots + self.short_slots

    def drop(self) -> None:
        """End the lease."""
        self.slack = _NOTHING
        self.left = _NOTHING
        self.short_slots = 0
        self.short_left = 0

    def spend(self, promised: int) -> None:
        """Use a part of the lease for one request."""
        if not self.left.slots:
            self.short_left = 0
        self.left = Headroom(
            max(self.left.slots - 1, 0),
            max(self.left.memory_tokens - promised, 0),
        )


class Keeper:
    """Leases what one target can bear to the nodes."""

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
        """Lease a node its part of what fits beside all that is known."""
        own = self.leases[node]
        own.drop()
        out = sum(one.out for one in self.leases)
        pooled = sum_curves(one.curve for one in self.leases)
        pooled += typical.scale(out)
        room = compute_headroom(limit, pooled, typical, margin)
        weights = [one.waiting + 1 for one in self.leases]
        part = weights[node] / sum(weights)
        slots = min(room.slots, math.ceil((room.slots + out) * part))
        if slots:
            memory = room.memory_tokens * slots // room.slots
            own.slack = Headroom(slots, memory)
            own.left = own.slack
        else:
            short = compute_headroom(limit, pooled, typical, margin / 2)
            own.short_slots = min(short.slots, 1)
            own.short_left = own.short_slots


class Fleet:
    """Several nodes behind one interface; requests go to them in turn."""

    def __init__(
        self,
        sharing: Sharing,
        nodes: int,
        spec: EngineSpec,
        engines: int,
    ) -> None:
        """Start with targets that are known to be warm."""
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
        """Give a request to the next node in turn."""
        return self._find_node(arrival.number).offer(arrival, now)

    def expire(self, now: float) -> list[int]:
        """Return the requests that waited past their use."""
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
        """Pass on the tokens seen."""
        self._find_node(number).record_tokens(number, produced)

    def record_stop(self, number: int, produced: int, *, ended: bool) -> None:
        """Pass on the end of a request."""
        self._find_node(number).record_stop(number, produced, ended=ended)
        if self._sharing is Sharing.parts:
            for target, _ in enumerate(self._keepers):
                self._open(number % len(self._nodes), target)

    def record_report(
        self, target: int, report: LoadReport, now: float
    ) -> None:
        """Let every node see a report, as it travels with the leases."""
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
            self._find_holding(number, target).curve = build_empty_curve()
            node.record_loss(target, now)
        self._drop(target)

    def set_serving(self, target: int, *, serving: bool) -> None:
        """Follow an order of operators."""
        for number, node in enumerate(self._nodes):
            node.set_serving(target, serving=serving)
            self._open(number, target)

    def find_limit(self, target: int) -> int:
        """Return the slots that the target may have now."""
        return self._nodes[0].find_limit(target)

    def _find_holding(self, number: int, target: int) -> NodeLease:
        return self._keepers[target].leases[number]

    def _drop(self, target: int) -> None:
        for holding in self._keepers[target].leases:
            holding.drop()

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
            book = node.dispatcher.trackers[name_target(target)]
            holding = keeper.leases[number]
            holding.curve = parse_curve(book.predict(now).to_report())
            holding.waiting = node.queued
            keeper.renew(
                number,
                node.warmths[target].limit,
                node.dispatcher.typical,
                node.dispatcher.margin.deviations,
            )
            self._open(number, target)

    def _spend(self, number: int, target: int) -> None:
        if self._sharing is not Sharing.leases:
            self._open(number, target)
            return
        promised = self._nodes[number].find_last_promise(target)
        self._find_holding(number, target).spend(promised)
        self._open(number, target)

    def _open(self, number: int, target: int) -> None:
        node = self._nodes[number]
        if not node.is_open(target):
            return
        limit = node.warmths[target].limit
        match self._sharing:
            case Sharing.shares:
                part = Limit(
                    limit.slots // len(self._nodes),
                    limit.memory_tokens // len(self._nodes),
                )
                node.dispatcher.set_quota(name_target(target), Exclusive(part))
            case Sharing.parts:
                slack = node.find_part(target, len(self._nodes))
                node.dispatcher.set_quota(
                    name_target(target),
                    Leased(slack, limit),
                )
            case Sharing.leases:
                holding = self._find_holding(number, target)
                node.dispatcher.set_quota(
                    name_target(target),
                    Granted(holding.left, limit, holding.short_left),
                )
