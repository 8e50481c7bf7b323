"""Applies the operations of a patch; unchanged tables are shared."""

from collections.abc import Iterable
from typing import Any, cast

import msgspec

from chicoryshunt.address import is_address
from chicoryshunt.types import ConfigVersion, TargetId
from chicoryshunt.version.config import Config, Target
from chicoryshunt.version.patch import (
    ChangeEntry,
    Flaw,
    Operation,
    Patch,
    Rejection,
    RemoveDataCentre,
    RemoveModel,
    RemoveService,
    RemoveTarget,
    RemoveTeam,
    SetDataCentre,
    SetDataCentrePresence,
    SetDesired,
    SetModel,
    SetService,
    SetTarget,
    SetTargetPresence,
    SetTeam,
    SetWeights,
    Table,
)

_REFERENCED = frozenset((Table.data_centres, Table.models, Table.services))


def apply_patch(config: Config, patch: Patch) -> Config | Flaw:
    """Return the next version, or the reason to reject the patch."""
    draft = Draft(config)
    for index, operation in enumerate(patch.operations):
        flaw = draft.apply(operation)
        if flaw is not None:
            return Flaw(
                flaw.rejection,
                f'{flaw.detail} - at `$.operations[{index}]`',
            )
    changed = draft.build()
    return find_flaw(changed, draft.unchecked_targets) or changed


class Draft:
    """Next version of a configuration while it is being built."""

    def __init__(self, config: Config) -> None:
        """Start from ``config``; each table is copied at its first write."""
        self._config = config
        self._version = ConfigVersion(config.version + 1)
        self._tables: dict[Table, dict[str, Any]] = {}
        self._weights = config.weights
        self._desired_since = config.desired_since
        self._set_targets: dict[TargetId, None] = {}
        self._has_removed_reference = False

    @property
    def unchecked_targets(self) -> Iterable[TargetId]:
        """Return the targets whose references have to be checked."""
        targets = self._get_entries(Table.targets)
        if self._has_removed_reference:
            return cast(Iterable[TargetId], targets)
        return [target for target in self._set_targets if target in targets]

    def apply(self, operation: Operation) -> Flaw | None:
        """Apply one operation."""
        match operation:
            case SetTarget():
                self._track_desired(operation)
                self._set_targets[operation.name] = None
                self._edit(operation.table)[operation.name] = operation.value
            case SetDataCentre() | SetTeam() | SetModel() | SetService():
                self._edit(operation.table)[operation.name] = operation.value
            case SetWeights():
                self._weights = operation.value
            case SetDataCentrePresence() | SetTargetPresence() | SetDesired():
                return self._change(operation)
            case (
                RemoveDataCentre()
                | RemoveTeam()
                | RemoveModel()
                | RemoveService()
                | RemoveTarget()
            ):
                return self._remove(operation.table, operation.name)
        return None

    def build(self) -> Config:
        """Return the next version."""
        return msgspec.structs.replace(
            self._config,
            version=self._version,
            weights=self._weights,
            desired_since=self._desired_since,
            **{table.value: entries for table, entries in self._tables.items()},
        )

    def _change(self, operation: ChangeEntry) -> Flaw | None:
        entry = self._get_entries(operation.table).get(operation.name)
        if entry is None:
            return _reject_unknown(operation.table, operation.name)
        match operation:
            case SetDesired(name=name, desired=desired):
                changed = msgspec.structs.replace(entry, desired=desired)
                self._track_desired(SetTarget(name, changed))
            case _:
                changed = msgspec.structs.replace(
                    entry,
                    presence=operation.presence,
                )
        self._edit(operation.table)[operation.name] = changed
        return None

    def _remove(self, table: Table, name: str) -> Flaw | None:
        if name not in self._get_entries(table):
            return _reject_unknown(table, name)
        self._edit(table).pop(name)
        self._has_removed_reference |= table in _REFERENCED
        if table is Table.targets:
            self._desired_since = {
                target: version
                for target, version in self._desired_since.items()
                if target != name
            }
        return None

    def _track_desired(self, operation: SetTarget) -> None:
        before = self._get_entries(Table.targets).get(operation.name)
        if before is None or before.desired != operation.value.desired:
            self._desired_since = {
                **self._desired_since,
                operation.name: self._version,
            }

    def _get_entries(self, table: Table) -> dict[str, Any]:
        entries = self._tables.get(table)
        if entries is None:
            entries = cast(dict[str, Any], getattr(self._config, table.value))
        return entries

    def _edit(self, table: Table) -> dict[str, Any]:
        if table not in self._tables:
            self._tables[table] = dict(self._get_entries(table))
        return self._tables[table]


def find_flaw(
    config: Config,
    targets: Iterable[TargetId] | None = None,
) -> Flaw | None:
    """Return the first flaw of the given targets, or of all targets."""
    for target_id in config.targets if targets is None else targets:
        flaw = _check_target(config, target_id, config.targets[target_id])
        if flaw is not None:
            return flaw
    return None


def _check_target(
    config: Config,
    target_id: TargetId,
    target: Target,
) -> Flaw | None:
    if (target.model is None) == (target.service is None):
        return Flaw(
            Rejection.invalid,
            f'target {target_id!r} needs a model or a service, not both',
        )
    if not is_address(target.address):
        return Flaw(
            Rejection.invalid,
            f'target {target_id!r}: {target.address!r} is not IP:port',
        )
    for table, entries, name in (
        (Table.data_centres, config.data_centres, target.data_centre),
        (Table.models, config.models, target.model),
        (Table.services, config.services, target.service),
    ):
        if name is not None and name not in entries:
            return Flaw(
                Rejection.unknown_name,
                f'target {target_id!r} needs {name!r} in {table.value}',
            )
    return None


def _reject_unknown(table: Table, name: str) -> Flaw:
    return Flaw(Rejection.unknown_name, f'no {name!r} in {table.value}')
