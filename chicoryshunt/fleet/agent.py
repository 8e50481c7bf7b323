"""Assembles the cores that exchange datagrams with other nodes."""

from collections.abc import Iterable, Sequence
from random import Random
from typing import Any, cast

from chicoryshunt.address import Address
from chicoryshunt.clock import Clock
from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.fleet.broadcast import Broadcast
from chicoryshunt.fleet.catalog import Catalog
from chicoryshunt.fleet.catalog_sync import CatalogSync
from chicoryshunt.fleet.discovery import Discovery
from chicoryshunt.fleet.exchanges import build_exchanges
from chicoryshunt.fleet.facts import Fact
from chicoryshunt.fleet.rules_offers import RulesOffers
from chicoryshunt.fleet.workload import Workload
from chicoryshunt.membership.membership import Membership
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.core import Core, Send
from chicoryshunt.nodes.driver import drive_cores
from chicoryshunt.nodes.links import Links
from chicoryshunt.nodes.mesh import Mesh
from chicoryshunt.nodes.pause import PauseDetector
from chicoryshunt.nodes.seal import Purpose, Seal
from chicoryshunt.types import Incarnation


class FleetAgent:
    """Membership, catalog and workload of a node, synced by datagrams."""

    def __init__(
        self,
        own: PublishedVm,
        seeds: Sequence[PublishedVm],
        incarnation: Incarnation,
        clock: Clock,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Start from the seeds; a higher incarnation replaces a lower one."""
        now = clock.now()
        self.membership = Membership(own, incarnation, rng, now)
        self.catalog = Catalog()
        broadcast = Broadcast(self.membership, rng)
        self.catalog_sync = CatalogSync(
            self.catalog, self.membership, broadcast, now
        )
        self.workload = Workload(self.membership, broadcast, now)
        self.exchanges = build_exchanges(
            self.membership, broadcast, self.workload, now, rng, metrics
        )
        broadcast.deliver_to(
            (self.catalog_sync, self.workload, *self.exchanges.cores)
        )
        self.rules_offers = RulesOffers(self.catalog, self.membership, rng)
        links = Links()
        # The deployment provides no key, so seals detect only damage.
        seal = Seal(b'', own.vm, incarnation, Purpose.datagram)
        self.membership.on_incarnation_raised(seal.raise_incarnation)
        self.discovery = Discovery(own, seeds, self.membership, links, rng)
        self._pause_detector = PauseDetector(clock)
        self._cores: tuple[Core, ...] = (
            self.membership,
            self.discovery,
            self.catalog_sync,
            self.workload,
            *self.exchanges.cores,
            broadcast,
            self.rules_offers,
        )
        self._mesh = Mesh(
            seal, links, self._pause_detector, metrics, self._cores
        )

    def listen(self, reactor: Any, address: Address) -> None:
        """Listen for datagrams on an address."""
        cast(Any, reactor).listenUDP(
            address.port,
            self._mesh,
            interface=address.host,
        )

    async def run(self) -> None:
        """Drive the cores until cancelled."""
        await drive_cores(self._cores, self._mesh, self._pause_detector)

    def send(self, messages: Iterable[Send]) -> None:
        """Send the messages that a core returned."""
        self._mesh.send_all(messages)

    def publish(self, facts: Sequence[Fact]) -> None:
        """Send facts to all other nodes."""
        self.send(self.catalog_sync.publish(facts))

    def leave(self, now: float) -> None:
        """Announce to the other nodes that this one leaves."""
        self.send(self.membership.leave(now))
