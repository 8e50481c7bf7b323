"""What the parts of a node share while the process lives."""

import time
from random import Random

import msgspec

from chicoryshunt.clock import SystemClock
from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.process.configuration import Configuration
from chicoryshunt.process.links import Links
from chicoryshunt.process.metrics import Metrics
from chicoryshunt.process.pause import Pulse
from chicoryshunt.process.router import Route, Router
from chicoryshunt.settings import Settings
from chicoryshunt.types import (
    ConfigVersion,
    Incarnation,
    ModelId,
    Reason,
    Seconds,
    ServiceId,
    VmId,
)
from chicoryshunt.verdict import Verdict, refuse
from chicoryshunt.version.config import Config

_KEEP_SECONDS = 5
_MILLISECOND_NS = 1_000_000


class Entry(msgspec.Struct, frozen=True):
    """One address a caller may use."""

    vm: VmId
    address: str


class Entries(msgspec.Struct, frozen=True):
    """Addresses in order of preference and how long to keep them."""

    entries: tuple[Entry, ...]
    keep_seconds: float


class NodeStatus(msgspec.Struct, frozen=True):
    """What a node says of itself."""

    vm: VmId
    version: ConfigVersion
    members: tuple[VmId, ...]


class NodeState:
    """Configuration in force, members and targets of this node."""

    def __init__(self, settings: Settings) -> None:
        """Start without a configuration."""
        self.settings = settings
        self.metrics = Metrics()
        self.router = Router(settings.data_centre)
        self.configuration = Configuration(self.metrics)
        self.vms: tuple[PublishedVm, ...] = ()
        self.incarnation = Incarnation(time.time_ns() // _MILLISECOND_NS)
        self.rng = Random(self.incarnation)
        self.links = Links()
        self.pulse = Pulse(SystemClock())

    @property
    def config(self) -> Config | None:
        """Return the configuration in force."""
        return self.configuration.current

    def route(self, wanted: ModelId | ServiceId) -> Route | Verdict:
        """Return a target for the model or service."""
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
        return self.router.choose(self.config, wanted)

    def list_entries(self) -> Entries:
        """Return addresses, the caller's data centre first."""
        own = self.settings.data_centre
        ordered = sorted(
            (vm for vm in self.vms if not vm.leaving),
            key=lambda vm: vm.data_centre != own,
        )
        return Entries(
            tuple(Entry(vm.vm, vm.caller) for vm in ordered),
            _KEEP_SECONDS,
        )

    def describe(self) -> NodeStatus:
        """Return what this node knows."""
        return NodeStatus(
            self.settings.vm,
            self.configuration.version,
            tuple(vm.vm for vm in self.vms),
        )
