"""Builder of a call relay whose targets answer as scripted, in virtual time."""

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import Any, cast

import msgspec

from chicoryshunt.clock import ManualClock
from chicoryshunt.connection.upstream import (
    Answer,
    ConnectionLostError,
    NotSentError,
)
from chicoryshunt.dispatch.retry_budget import FleetRetryBudget, RetryBound
from chicoryshunt.metrics import Metrics
from chicoryshunt.relay.calls import CallRelay
from chicoryshunt.relay.context import RelayContext
from chicoryshunt.relay.incoming import IncomingRequest
from chicoryshunt.relay.results import Delivered
from chicoryshunt.relay.target_codec import AnswerKind, SendParams
from chicoryshunt.rules.routing import AdmittedRequest
from chicoryshunt.types import RequestId, ServiceId
from chicoryshunt.verdict import Verdict
from tests.fleet_builders import (
    HOME,
    FleetNode,
    build_fact,
    build_member,
    build_route,
)
from tests.guard_builders import LoopClock

SERVICE = ServiceId('plain')
NOT_RUN = 503
CUT = 0
UNREACHABLE = -1
NEVER = 1000.0
AMPLE_BUDGET = RetryBound(0.2, 50, 10)


@dataclass
class Reply:
    """What a target does with a request; ``connecting`` is in seconds too."""

    seconds: float
    status: int = 200
    connecting: float = 0


@dataclass
class FakeUpstream:
    """Connection to a target that records whether it was aborted."""

    address: str
    reply: Reply
    is_sent: bool = False
    is_aborted: bool = False

    async def send(self, outgoing: object, seconds: float) -> Answer:
        """Answer as scripted."""
        self.is_sent = True
        try:
            async with asyncio.timeout(seconds):
                await asyncio.sleep(self.reply.seconds)
        except TimeoutError as error:
            raise ConnectionLostError('no answer') from error
        if self.reply.status == CUT:
            raise ConnectionLostError('cut')
        return Answer(self.reply.status, (), None, cast(Any, self))

    async def read_all(self, max_bytes: int, seconds: float) -> bytes:
        """Return the address as the body of the answer."""
        return self.address.encode()

    def abort(self) -> None:
        """Record the end of the connection."""
        self.is_aborted = True


class FakeCodec:
    """Codec of answers that are their status."""

    def encode(self, incoming: IncomingRequest, params: SendParams) -> object:
        """Return the parameters as the request."""
        return params

    def classify_answer(
        self, incoming: IncomingRequest, answer: Answer
    ) -> AnswerKind:
        """Return what the status proves."""
        if answer.status == NOT_RUN:
            return AnswerKind.not_run
        return AnswerKind.ran


class CountingBudget(FleetRetryBudget):
    """Retry budget that counts what was spent."""

    spent = 0

    def spend(self, service: ServiceId, nodes: int, now: float) -> bool:
        """Count a retry that is allowed."""
        is_allowed = super().spend(service, nodes, now)
        self.spent += is_allowed
        return is_allowed


def _drop(sends: object) -> None:
    """Send nothing."""


@dataclass
class CallTrial:
    """A relay whose targets get the replies in the order of the attempts."""

    replies: list[Reply]
    targets: int = 3
    bound: RetryBound = AMPLE_BUDGET
    changes: dict[str, object] = field(default_factory=dict)
    connections: list[FakeUpstream] = field(default_factory=list)

    def __post_init__(self) -> None:
        node = FleetNode(build_member('vm-0'), [], ManualClock(), Random(1))
        for number in range(self.targets):
            fact = build_fact(f't{number}', address=f't{number}')
            node.catalog.apply(fact, 0, 'test')
        self.budget = CountingBudget(self.bound)
        self.context = RelayContext(
            data_centre=HOME,
            clock=LoopClock(),
            catalog=node.catalog,
            membership=node.membership,
            workload=node.workload,
            pool=cast(Any, self),
            codec=cast(Any, FakeCodec()),
            retry_budget=self.budget,
            exchanges=node.exchanges,
            metrics=Metrics(),
            send=_drop,
            publish=_drop,
        )
        route = build_route(target_latency=0.2, timeout=0.8)
        self.route = msgspec.structs.replace(route, **self.changes)

    async def acquire(self, address: str, max_idle: float) -> FakeUpstream:
        """Return a connection, as the pool of the relay."""
        reply = self.replies[len(self.connections)]
        upstream = FakeUpstream(address, reply)
        self.connections.append(upstream)
        await asyncio.sleep(reply.connecting)
        if reply.status == UNREACHABLE:
            raise NotSentError(address)
        return upstream

    async def relay(self, request: str = 'r1') -> Delivered | Verdict:
        """Relay a call."""
        loop = asyncio.get_running_loop()
        incoming = IncomingRequest(
            RequestId(request), b'GET', b'/', '/', 'host', ()
        )
        self.budget.record_first(SERVICE, loop.time())
        return await CallRelay(self.context).relay(
            incoming,
            AdmittedRequest(self.route, None),
            SERVICE,
            loop.time() + self.route.timeout,
        )

    def list_sent(self) -> list[str]:
        """Return the targets that got the request, in order."""
        return [one.address for one in self.connections if one.is_sent]
