"""Builders of routes, facts, engines and nodes for tests."""

from random import Random

import msgspec

from chicoryshunt.clock import ManualClock
from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.dispatch.engines import Engine
from chicoryshunt.dispatch.forecast import RunView
from chicoryshunt.fleet.broadcast import Broadcast
from chicoryshunt.fleet.catalog import Catalog
from chicoryshunt.fleet.catalog_sync import CatalogSync
from chicoryshunt.fleet.discovery import Discovery
from chicoryshunt.fleet.exchanges import build_exchanges
from chicoryshunt.fleet.facts import Revision, TargetFact, TargetPhase
from chicoryshunt.fleet.messages import PlacedRun
from chicoryshunt.fleet.rules_offers import RulesOffers
from chicoryshunt.fleet.workload import Workload
from chicoryshunt.membership.membership import Membership
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.links import Links
from chicoryshunt.rules.model import (
    ApiKey,
    CallerLimits,
    RequestType,
    Route,
    RouteId,
    Rules,
    ServiceShare,
    TeamRules,
)
from chicoryshunt.types import (
    ConfigVersion,
    DataCentreId,
    Incarnation,
    RequestId,
    ServiceId,
    TargetId,
    TeamId,
    VmId,
)
from lab.models.network import Host, Network

HOME = DataCentreId('home')
AWAY = DataCentreId('away')


def build_route(prefix: str = '/calls/', **changes: object) -> Route:
    """Return a route to the service ``plain``."""
    route = Route(
        name=RouteId(prefix),
        host='club.example',
        prefix=prefix,
        request_type=RequestType.call,
        shares=(ServiceShare(ServiceId('plain'), 1),),
        timeout=1,
        target_latency=0.1,
        max_gap=None,
        max_attempts=2,
        priority=1,
        is_repeatable=True,
        is_resumable=False,
        is_public=False,
    )
    return msgspec.structs.replace(route, **changes)


def build_rules(*routes: Route, version: int = 1) -> Rules:
    """Return rules with one team, whose API key is ``secret``."""
    return Rules(
        version=ConfigVersion(version),
        routes=routes,
        services=(),
        caller_limits=CallerLimits(),
        teams=(TeamRules(TeamId('club'), (ApiKey('secret'),)),),
        requires_keys=True,
    )


def build_fact(
    target: str = 't1',
    revision: int = 1,
    phase: TargetPhase = TargetPhase.ready,
    **changes: object,
) -> TargetFact:
    """Return a fact about a target of the service ``plain``."""
    fact = TargetFact(
        TargetId(target),
        Revision(revision),
        phase,
        ServiceId('plain'),
        '127.0.0.1:9',
        HOME,
        slots=6,
    )
    return msgspec.structs.replace(fact, **changes)


def build_run(
    prompt: int = 3000,
    expected: int = 900,
    most: int = 2200,
    age: float = 0,
) -> RunView:
    """Return a long run, by default one that has just started."""
    return RunView(prompt, expected, most, age)


def build_engine(
    name: str,
    *runs: RunView,
    data_centre: DataCentreId = HOME,
    memory: int = 34000,
) -> Engine:
    """Return an engine with 24 slots."""
    return Engine(TargetId(name), data_centre, 24, memory, runs)


def build_placed(request: str, target: str = 'e1') -> PlacedRun:
    """Return a run that is placed on an engine."""
    return PlacedRun(
        RequestId(request),
        TargetId(target),
        3000,
        900,
        2200,
        0,
    )


def build_member(name: str, data_centre: str = 'home') -> PublishedVm:
    """Return a VM with its addresses."""
    return PublishedVm(
        VmId(name),
        DataCentreId(data_centre),
        caller=f'{name}:1',
        peer=f'{name}:2',
        gossip='127.0.0.1:3',
    )


class FleetNode:
    """The cores of a node that starts from its seeds."""

    def __init__(
        self,
        vm: PublishedVm,
        seeds: list[PublishedVm],
        clock: ManualClock,
        rng: Random,
        incarnation: int = 1,
    ) -> None:
        now = clock.now()
        self.vm = vm.vm
        self.membership = Membership(vm, Incarnation(incarnation), rng, now)
        self.catalog = Catalog()
        broadcast = Broadcast(self.membership, rng)
        self.catalog_sync = CatalogSync(
            self.catalog, self.membership, broadcast, now
        )
        self.catalog_sync.needs_full_read = False
        self.workload = Workload(self.membership, broadcast, now)
        self.exchanges = build_exchanges(
            self.membership, broadcast, self.workload, now, rng, Metrics()
        )
        self.demand = self.exchanges.demand
        broadcast.deliver_to(
            (self.catalog_sync, self.workload, *self.exchanges.cores)
        )
        self.rules_offers = RulesOffers(self.catalog, self.membership, rng)
        self.discovery = Discovery(vm, seeds, self.membership, Links(), rng)
        self.host = Host(
            (
                self.membership,
                self.discovery,
                self.catalog_sync,
                self.workload,
                *self.exchanges.cores,
                broadcast,
                self.rules_offers,
            ),
            clock,
        )


class FleetTrial:
    """Several nodes on a simulated network."""

    def __init__(
        self, count: int, seed: int = 1, data_centres: int = 3
    ) -> None:
        self.clock = ManualClock(100)
        self.rng = Random(seed)
        self.network = Network(self.clock, self.rng)
        self.vms = [
            build_member(f'vm-{index}', f'dc-{index % data_centres}')
            for index in range(count)
        ]
        self.nodes = [self.add(vm) for vm in self.vms]

    def add(self, vm: PublishedVm, incarnation: int = 1) -> FleetNode:
        """Start a node; the first three VMs are its seeds."""
        node = FleetNode(
            vm,
            self.vms[:3],
            self.clock,
            self.rng,
            incarnation,
        )
        self.network.hosts[vm.vm] = node.host
        return node

    def stop(self, node: FleetNode) -> None:
        """Stop a node without an announcement."""
        self.network.hosts.pop(node.vm)
