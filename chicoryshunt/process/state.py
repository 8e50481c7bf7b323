"""What the parts of a node share while the process lives."""

from collections.abc import Container

import msgspec

from chicoryshunt.connection.caller_api import Entries, Entry
from chicoryshunt.connection.platform_api import PublishedVm
from chicoryshunt.process.metrics import Metrics
from chicoryshunt.process.router import Route, Router
from chicoryshunt.settings import Settings
from chicoryshunt.types import (
    ConfigVersion,
    ModelId,
    Reason,
    Seconds,
    ServiceId,
    TargetId,
    VmId,
)
from chicoryshunt.verdict import Verdict, refuse
from chicoryshunt.version.config import Config

_KEEP_SECONDS = 5


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
        self.config: Config | None = None
        self.is_leaving = False
        self.vms: tuple[PublishedVm, ...] = ()

    def route(
        self,
        wanted: ModelId | ServiceId,
        excluded: Container[TargetId] = (),
    ) -> Route | Verdict:
        """Return a target for the model or service."""
        if self.config is None:
            return refuse(
                Reason.config_missing,
                'no configuration is known',
                Seconds(1),
            )
        return self.router.choose(self.config, wanted, excluded)

    def list_entries(self) -> Entries:
        """Return addresses, the caller's data centre first."""
        own = self.settings
        ordered = sorted(
            (
                vm
                for vm in self.vms
                if not vm.leaving and not (self.is_leaving and vm.vm == own.vm)
            ),
            key=lambda vm: vm.data_centre != own.data_centre,
        )
        return Entries(
            tuple(Entry(vm.vm, vm.caller) for vm in ordered),
            _KEEP_SECONDS,
        )

    def leave(self) -> None:
        """Drop out of the address answers."""
        self.is_leaving = True

    def list_members(self) -> tuple[PublishedVm, ...]:
        """Return the VMs that are taken to be live."""
        return self.vms

    def describe(self) -> NodeStatus:
        """Return what this node knows."""
        version = ConfigVersion(0)
        if self.config is not None:
            version = self.config.version
        return NodeStatus(
            self.settings.vm,
            version,
            tuple(vm.vm for vm in self.vms),
        )
