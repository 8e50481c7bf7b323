"""Builders of a small fleet of owners with fakes at its interfaces."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from chicoryshunt.clock import ManualClock
from chicoryshunt.connection.caller_api import Entries
from chicoryshunt.journal import Journal
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.pause import PAUSE_SECONDS, PauseDetector
from chicoryshunt.nodes.peers import Method, PeerError
from chicoryshunt.ownership.drain import TAKE_TABLE, Drain
from chicoryshunt.ownership.forwarding import SUBMIT, Forwarder, OwnedCall
from chicoryshunt.ownership.grants import GrantIssuer, OwnerId
from chicoryshunt.ownership.held_tables import HeldTables, TablePart
from chicoryshunt.ownership.owned_calls import OwnedCalls
from chicoryshunt.ownership.owner import Owner
from chicoryshunt.ownership.records import RecordTable, TableLimits
from chicoryshunt.request.call import CallRules, PlainCall
from chicoryshunt.request.outcome import CallOutcome
from chicoryshunt.settings import parse_settings
from chicoryshunt.types import (
    ConfigVersion,
    DataCentreId,
    IdempotencyKey,
    Incarnation,
    ServiceId,
    TeamId,
    VmId,
)
from chicoryshunt.version.config import Config, Service, Team
from tests.builders import build_settings_text

SETTINGS = parse_settings(build_settings_text(), 'settings')
RULES = CallRules(10, is_repeatable=False, answer_bytes=1 << 20)
CONFIG = Config(
    ConfigVersion(1),
    teams={TeamId('olongapo'): Team()},
    services={ServiceId('arbiter-api'): Service()},
)


class Cut(Enum):
    """Where a call between nodes breaks."""

    none = 'none'
    before = 'before'
    after = 'after'


def build_call(body: bytes = b'{}') -> PlainCall:
    """Return a call that may not be repeated."""
    return PlainCall(
        TeamId('olongapo'),
        ServiceId('arbiter-api'),
        'POST',
        'file',
        'application/json',
        body,
    )


def build_owned(token: str, key: str, body: bytes = b'{}') -> OwnedCall:
    """Return a call under a grant."""
    return OwnedCall(token, IdempotencyKey(key), build_call(body))


@dataclass
class PendingRun:
    """One call that a target is running."""

    key: str
    body: bytes
    ended: 'asyncio.Future[CallOutcome]'


@dataclass
class Target:
    """Counts runs by key; a test ends each run as it likes."""

    runs: Counter[str] = field(default_factory=Counter)
    pending: list[PendingRun] = field(default_factory=list)

    async def run(
        self,
        call: PlainCall,
        key: IdempotencyKey,
        rules: CallRules,
    ) -> CallOutcome:
        self.runs[key] += 1
        ended: asyncio.Future[CallOutcome] = asyncio.Future()
        self.pending.append(PendingRun(key, call.body, ended))
        return await ended


class FakeState:
    """What a node of the fleet knows."""

    def __init__(self) -> None:
        self.settings = SETTINGS
        self.metrics = Metrics()
        self.config: Config | None = CONFIG
        self.journal = Journal(ManualClock(), self.metrics)

    def list_entries(self) -> Entries:
        return Entries((), 3)


class NodeClock:
    """Clock of one node, ahead of the shared one by a fixed amount."""

    def __init__(self, shared: ManualClock, ahead: float) -> None:
        self._shared = shared
        self._ahead = ahead

    def now(self) -> float:
        return self._shared.now() + self._ahead


@dataclass
class FakeNode:
    """One process of the fleet."""

    state: FakeState
    clock: NodeClock
    pause_detector: PauseDetector
    owner: Owner
    calls: OwnedCalls
    target: Target
    is_frozen: bool = False

    @property
    def token(self) -> str:
        offer = self.owner.offer_grant('127.0.0.1:1')
        assert offer is not None
        return offer.token


class FakeFleet:
    """Nodes by VM, joined by calls that break when told to."""

    def __init__(self, vms: tuple[str, ...], bounds: TableLimits) -> None:
        self.clock = ManualClock(1000)
        self.bounds = bounds
        self.nodes: dict[VmId, FakeNode] = {}
        self.leaving: set[VmId] = set()
        self.cut = Cut.none
        self._incarnations = 0
        for vm in vms:
            self.start(VmId(vm))

    @property
    def published(self) -> list[VmId]:
        """Return every VM."""
        return list(self.nodes)

    def start(self, vm: VmId) -> FakeNode:
        """Start a fresh process on a VM."""
        self._incarnations += 1
        state = FakeState()
        clock = NodeClock(self.clock, 37.5 * self._incarnations)
        pause_detector = PauseDetector(clock)
        origin = OwnerId(
            vm,
            DataCentreId('luzon-a'),
            Incarnation(self._incarnations),
        )
        owner = Owner(
            GrantIssuer(origin, f'key of {self._incarnations}'.encode()),
            RecordTable(self.bounds),
            HeldTables(),
            pause_detector,
            state.metrics,
        )
        target = Target()
        calls = OwnedCalls(
            state,
            owner,
            Forwarder(owner, FakePeers(self, vm), self),
            target,
            Drain(),
        )
        node = FakeNode(state, clock, pause_detector, owner, calls, target)
        self.nodes[vm] = node
        self.leaving.discard(vm)
        return node

    def list_live(
        self,
        data_centre: DataCentreId | None = None,
    ) -> list[VmId]:
        """Return the VMs that every node takes to be live."""
        return [vm for vm in self.nodes if vm not in self.leaving]

    def advance(self, seconds: float) -> None:
        """Let time pass for all; only frozen nodes miss it."""
        while seconds > 0:
            self.clock.advance(min(seconds, PAUSE_SECONDS * 0.9))
            seconds -= PAUSE_SECONDS * 0.9
            for node in self.nodes.values():
                if not node.is_frozen:
                    node.pause_detector.check()

    def kill(self, vm: VmId) -> None:
        """End a process; what its targets run goes on unseen."""
        node = self.nodes.pop(vm)
        self.leaving.discard(vm)
        for run in node.target.pending:
            run.ended.cancel()


class FakePeers:
    """Calls between the nodes of a fake fleet."""

    def __init__(self, fleet: FakeFleet, sender: VmId) -> None:
        self._fleet = fleet
        self._sender = sender

    async def call(
        self,
        vm: VmId,
        method: Method[Any, Any],
        request: Any,
        seconds: float,
    ) -> Any:
        cut = self._fleet.cut
        node = self._fleet.nodes.get(vm)
        if node is None or node.is_frozen or cut is Cut.before:
            raise PeerError(f'{vm}: lost before', sent=True)
        copy = msgspec.msgpack.decode(
            msgspec.msgpack.encode(request),
            type=method.request,
        )
        try:
            answer = await self._receive(node, method, copy)
        except asyncio.CancelledError:
            raise PeerError(f'{vm}: died', sent=True) from None
        if cut is Cut.after:
            raise PeerError(f'{vm}: lost after', sent=True)
        return msgspec.msgpack.decode(
            msgspec.msgpack.encode(answer),
            type=method.response,
        )

    async def _receive(self, node: FakeNode, method: Any, request: Any) -> Any:
        match method.name:
            case SUBMIT.name:
                return await node.calls.submit(self._sender, request)
            case TAKE_TABLE.name:
                assert isinstance(request, TablePart)
                return await node.owner.receive_part(self._sender, request)
            case _:
                raise AssertionError(method.name)
