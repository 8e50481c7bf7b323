"""State that the parts of a node share while the process lives."""

from collections.abc import Collection

import msgspec

from chicoryshunt.clock import SystemClock
from chicoryshunt.configuration.config_api import ConfigStatus, describe_config
from chicoryshunt.configuration.configuration import Configuration
from chicoryshunt.configuration.write_guard import WriteGuard
from chicoryshunt.connection.caller_api import Entries, Entry
from chicoryshunt.journal import Journal
from chicoryshunt.limits.headroom import HeadroomLimits
from chicoryshunt.limits.quotas import TargetQuotas
from chicoryshunt.limits.router import Route, Router
from chicoryshunt.limits.warmup_limiters import WarmupLimiters
from chicoryshunt.membership.entries import KEEP_SECONDS, order_entries
from chicoryshunt.metrics import Metrics
from chicoryshunt.orders.orders import Orders
from chicoryshunt.policy.slots import SlotAllocator
from chicoryshunt.serving.fleet import Fleet
from chicoryshunt.serving.request_recorder import RequestRecorder
from chicoryshunt.serving.scheduler import Scheduler
from chicoryshunt.settings import Settings
from chicoryshunt.types import (
    ConfigVersion,
    DataCentreId,
    ModelId,
    Reason,
    Seconds,
    ServiceId,
    TargetId,
    VmId,
    VmState,
)
from chicoryshunt.verdict import Verdict, refuse
from chicoryshunt.version.config import Config


class MemberStatus(msgspec.Struct, frozen=True):
    """State of one VM, as this node knows it."""

    vm: VmId
    data_centre: DataCentreId
    state: VmState
    load: int


class LeaseStatus(msgspec.Struct, frozen=True):
    """Lease of this node on one target."""

    target: TargetId
    keeper: VmId | None
    slots: int
    running: int


class NodeStatus(msgspec.Struct, frozen=True):
    """Answer of a node to a status request."""

    vm: VmId
    version: ConfigVersion
    config: ConfigStatus
    members: tuple[MemberStatus, ...]
    leases: tuple[LeaseStatus, ...]


class NodeState:
    """Configuration, membership, scheduler and router of this node."""

    def __init__(
        self,
        settings: Settings,
        allocator: SlotAllocator | None = None,
    ) -> None:
        """Start without a configuration.

        Without an ``allocator`` the slots come from the leases of the fleet.
        """
        self.settings = settings
        self.metrics = Metrics()
        self.fleet = Fleet(settings, self.metrics)
        slot_allocator = allocator or self.fleet.leases.held
        self.router = Router(
            settings.data_centre,
            slot_allocator,
            self.fleet.pause_detector,
        )
        self.guard = WriteGuard(self.fleet.pause_detector, self.metrics)
        self.clock = SystemClock()
        self.journal = Journal(self.clock, self.metrics)
        self.scheduler = Scheduler(
            TargetQuotas(settings.vm, settings.data_centre, slot_allocator),
            slot_allocator,
            self.clock,
            self.journal,
        )
        self.configuration = Configuration(self.metrics)
        self.request_recorder = RequestRecorder(
            settings.data_centre,
            self.configuration,
            self.clock,
        )
        self.warmup_limiters = WarmupLimiters(self.journal)
        self.fleet.add_warmup_limiters(self.warmup_limiters)
        self.headroom_limits = HeadroomLimits(
            self.fleet.leases.ledgers.find,
            self.scheduler.find_typical_request,
            self.clock,
        )
        self.fleet.target_limits.add_adjustment(
            self.headroom_limits.lower_limit
        )
        self.configuration.subscribe(self.warmup_limiters.apply_config)
        self.configuration.subscribe(self.fleet.apply_config)
        self.configuration.subscribe(self.guard.apply_config)
        self.configuration.subscribe(self.scheduler.apply_config)
        self.orders = Orders(
            settings.vm,
            self.fleet.membership.roster,
            self.metrics,
        )
        self.configuration.subscribe(self._apply_orders)

    @property
    def config(self) -> Config | None:
        """Return the configuration in force."""
        return self.configuration.current

    def route(
        self,
        wanted: ModelId | ServiceId,
        excluded: Collection[TargetId] = (),
    ) -> Route | Verdict:
        """Return a target for the model or service, or a refusal."""
        if self.config is None:
            return refuse(
                Reason.config_missing,
                'no configuration is known',
                Seconds(1),
            )
        if not self.configuration.is_confirmed:
            return refuse(
                Reason.paused,
                'the configuration is being confirmed after a pause',
                Seconds(1),
            )
        return self.router.choose(self.config, wanted, excluded)

    def list_entries(self) -> Entries:
        """Return the caller addresses, those of this data centre first."""
        ordered = order_entries(
            self.fleet.membership.roster,
            self.settings.data_centre,
            self.fleet.rng,
        )
        return Entries(
            tuple(
                Entry(member.published.vm, member.published.caller)
                for member in ordered
            ),
            KEEP_SECONDS,
        )

    def find_caller_address(self, wanted: VmId) -> str:
        """Return the address of a VM for callers, empty when unreachable."""
        if self.fleet.links.is_cut(wanted):
            return ''
        member = self.fleet.membership.roster.find(wanted)
        return '' if member is None else member.published.caller

    def describe(self) -> NodeStatus:
        """Return the status of this node."""
        return NodeStatus(
            self.settings.vm,
            self.configuration.version,
            describe_config(self.configuration),
            tuple(
                MemberStatus(
                    member.published.vm,
                    member.published.data_centre,
                    member.state,
                    member.load,
                )
                for member in self.fleet.membership.roster
            ),
            self._list_leases(),
        )

    def _apply_orders(self, config: Config) -> None:
        self.orders.apply_config(config, self.fleet.pause_detector.check())

    def _list_leases(self) -> tuple[LeaseStatus, ...]:
        now = self.fleet.pause_detector.check()
        return tuple(
            LeaseStatus(
                target,
                lease.keeper,
                lease.count_slots(now),
                lease.running,
            )
            for target, lease in self.fleet.leases.held
        )
