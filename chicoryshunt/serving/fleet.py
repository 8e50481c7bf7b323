"""The parts of a node that talk to other nodes."""

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

from chicoryshunt.clock import SystemClock
from chicoryshunt.connection.client import HttpClient
from chicoryshunt.connection.loop import get_reactor
from chicoryshunt.connection.platform_api import PublishedVm, PublishedVms
from chicoryshunt.invariants import InvariantChecker
from chicoryshunt.limits.claims import LeaseTimes
from chicoryshunt.limits.leases import Leases
from chicoryshunt.limits.loads import LoadReader
from chicoryshunt.limits.target_limits import TargetLimits
from chicoryshunt.limits.warmup_limiters import WarmupLimiters
from chicoryshunt.membership.membership import Membership
from chicoryshunt.membership.vm_list import VmListPoller
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.core import Core
from chicoryshunt.nodes.driver import drive_cores
from chicoryshunt.nodes.links import Links
from chicoryshunt.nodes.mesh import Mesh
from chicoryshunt.nodes.pause import PauseDetector
from chicoryshunt.nodes.peers import PeerClient
from chicoryshunt.nodes.seal import Purpose, Seal
from chicoryshunt.settings import LeaseSettings, Settings
from chicoryshunt.types import Incarnation
from chicoryshunt.version.config import Config

_MILLISECOND_NS = 1_000_000


class Fleet:
    """Membership, leases, links and message exchange of this node."""

    def __init__(self, settings: Settings, metrics: Metrics) -> None:
        """Start with this node as the only member.

        The incarnation is the time of the start, in milliseconds.
        """
        self.incarnation = Incarnation(time.time_ns() // _MILLISECOND_NS)
        self.rng = Random(f'{settings.vm} {self.incarnation}')
        self.links = Links()
        self.pause_detector = PauseDetector(SystemClock())
        self.membership = Membership(
            build_own_entry(settings),
            self.incarnation,
            self.rng,
            self.pause_detector.check(),
        )
        self.vm_list = VmListPoller(
            settings.platform.vms,
            self.membership,
            self.links,
        )
        self.target_limits = TargetLimits()
        self.leases = Leases(
            self.membership,
            build_lease_times(settings.leases),
            self.target_limits.find,
            self.pause_detector.check(),
            InvariantChecker(metrics),
        )
        self.loads = LoadReader(self.leases.ledgers, self.pause_detector)
        self.vm_list.subscribe(self.leases.update_vms)
        self.cores: list[Core] = [self.membership, self.leases]
        self._settings = settings
        self._metrics = metrics
        self.call_seal = self.build_seal(Purpose.call)
        self.peer_client = PeerClient(self.call_seal, self.links)

    @contextmanager
    def serve(self) -> Iterator[Mesh]:
        """Listen for datagrams of other nodes.

        ``cores`` must be complete before the call.
        """
        settings = self._settings
        seal = self.build_seal(Purpose.datagram)
        mesh = Mesh(
            seal, self.links, self.pause_detector, self._metrics, self.cores
        )
        port = get_reactor().listenUDP(
            settings.listen.gossip,
            mesh,
            interface=settings.listen.host,
        )
        try:
            yield mesh
        finally:
            port.stopListening()

    def list_vms(self) -> PublishedVms:
        """Return the VMs of the fleet with their addresses."""
        roster = self.membership.roster
        return PublishedVms(tuple(member.published for member in roster))

    def build_seal(self, purpose: Purpose) -> Seal:
        """Return a seal that is updated when the incarnation is raised."""
        settings = self._settings
        seal = Seal(settings.key, settings.vm, self.incarnation, purpose)
        self.membership.on_incarnation_raised(seal.raise_incarnation)
        return seal

    async def run(self, mesh: Mesh, client: HttpClient) -> None:
        """Poll the VM list and the loads, and drive the cores."""
        await asyncio.gather(
            self.vm_list.run(client, self.pause_detector, self.rng),
            self.loads.run(client),
            drive_cores(self.cores, mesh, self.pause_detector),
        )

    def add_warmup_limiters(self, limiters: WarmupLimiters) -> None:
        """Let the warm-up of kept targets lower their limits."""
        self.target_limits.add_adjustment(limiters.lower_limit)
        self.loads.subscribe(limiters.handle_report)
        self.loads.subscribe_losses(limiters.handle_loss)

    def apply_config(self, config: Config) -> None:
        """Update the targets, their limits and their data centres."""
        self.target_limits.apply_config(config)
        self.loads.apply_config(config)
        self.leases.update_targets(
            {
                name: target.data_centre
                for name, target in config.targets.items()
            },
            {
                name: data_centre.region
                for name, data_centre in config.data_centres.items()
            },
        )

    def leave(self, mesh: Mesh) -> None:
        """Announce to all other nodes that this node leaves."""
        mesh.send_all(self.membership.leave(self.pause_detector.check()))


def build_lease_times(settings: LeaseSettings) -> LeaseTimes:
    """Return the lease times from the settings."""
    return LeaseTimes(
        settings.term_seconds,
        settings.vm_list_lag_seconds,
        settings.load_lag_seconds,
    )


def build_own_entry(settings: Settings) -> PublishedVm:
    """Return this node's entry in the form of the platform's VM list."""
    listen = settings.listen
    return PublishedVm(
        settings.vm,
        settings.data_centre,
        caller=f'{listen.host}:{listen.caller}',
        peer=f'{listen.host}:{listen.peer}',
        gossip=f'{listen.host}:{listen.gossip}',
    )
