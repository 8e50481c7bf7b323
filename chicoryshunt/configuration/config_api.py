"""HTTP API that shows operators a node's configuration."""

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from chicoryshunt.configuration.configuration import Configuration
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.platform_api import PublishedVms
from chicoryshunt.types import (
    ConfigVersion,
    Digest,
    LogPosition,
    Reason,
    Seconds,
    VmId,
)
from chicoryshunt.verdict import Verdict, refuse
from chicoryshunt.version.chain import Head
from chicoryshunt.version.fold import PatchResult, Rejected, check_patch
from chicoryshunt.version.patch import Flaw, Rejection
from chicoryshunt.version.published import format_log, split_base

MAX_LISTED_REJECTIONS = 16
_JSON_LINES_TYPE = 'application/jsonl'


class ForkStatus(msgspec.Struct, frozen=True):
    """Head of a diverging log and the source that showed it."""

    source: str
    position: LogPosition
    digest: Digest


class ConfigStatus(msgspec.Struct, frozen=True):
    """Configuration in force on a node.

    ``rejected`` holds the latest rejected patches, up to
    ``MAX_LISTED_REJECTIONS``.
    """

    version: ConfigVersion
    position: LogPosition
    digest: Digest
    is_confirmed: bool
    rejected: tuple[Rejected, ...]
    forks: tuple[ForkStatus, ...]


class PatchStatus(msgspec.Struct, frozen=True):
    """State of one patch on a node.

    ``digest`` covers the log up to and including the patch. ``ruling`` is
    missing if the patch has not arrived or its result is no longer kept.
    """

    vm: VmId
    patch: LogPosition
    is_folded: bool
    digest: Digest | None = None
    ruling: PatchResult | None = None


class CheckResult(msgspec.Struct, frozen=True):
    """Result of checking a patch against the version in force."""

    version: ConfigVersion
    is_accepted: bool
    rejection: Rejection | None = None
    detail: str = ''


def describe_config(configuration: Configuration) -> ConfigStatus:
    """Return the configuration in force, rejected patches and forks."""
    head = configuration.head
    return ConfigStatus(
        head.version,
        head.position,
        head.digest,
        configuration.is_confirmed,
        configuration.rejected[-MAX_LISTED_REJECTIONS:],
        tuple(
            _describe_fork(source, other)
            for source, other in configuration.forks.list_all().items()
        ),
    )


class ConfigApi:
    """HTTP handler for the configuration of one node."""

    def __init__(
        self,
        vm: VmId,
        configuration: Configuration,
        list_vms: Callable[[], PublishedVms],
    ) -> None:
        """Serve the configuration of one node."""
        self._vm = vm
        self._list_vms = list_vms
        self._configuration = configuration

    def handle(self, exchange: Exchange, path: list[str]) -> None:
        """Handle one request under ``/v1/config``."""
        match (exchange.method, *path):
            case ('GET',):
                exchange.respond_json(describe_config(self._configuration))
            case ('GET', 'vms'):
                exchange.respond_json(self._list_vms())
            case ('GET', 'base'):
                self._export(exchange)
            case ('GET', 'patches', number) if number.isdecimal():
                exchange.respond_json(self._describe_patch(int(number)))
            case ('POST', 'check'):
                self._check(exchange)
            case _:
                exchange.respond_verdict(
                    refuse(Reason.unknown_path, f'no path {exchange.path!r}'),
                )

    def _describe_patch(self, number: int) -> PatchStatus:
        patch = LogPosition(number)
        replica = self._configuration.replica
        results = (
            one for one in replica.patch_results if one.position == patch
        )
        return PatchStatus(
            self._vm,
            patch,
            replica.head.position >= patch,
            replica.find_digest(patch),
            next(results, None),
        )

    def _export(self, exchange: Exchange) -> None:
        snapshot = self._configuration.replica.take_snapshot()
        if snapshot is None:
            exchange.respond_verdict(_refuse_missing())
            return
        header, shards = split_base(snapshot.config, snapshot.earlier)
        exchange.respond(format_log(header, shards), _JSON_LINES_TYPE)

    def _check(self, exchange: Exchange) -> None:
        config = self._configuration.current
        if config is None:
            exchange.respond_verdict(_refuse_missing())
            return
        checked = check_patch(config, exchange.body)
        match checked:
            case Flaw(rejection=rejection, detail=detail):
                answer = CheckResult(config.version, False, rejection, detail)
            case _:
                answer = CheckResult(config.version, is_accepted=True)
        exchange.respond_json(answer, HTTPStatus.OK)


def _refuse_missing() -> Verdict:
    return refuse(
        Reason.config_missing,
        'no configuration is known',
        Seconds(1),
    )


def _describe_fork(source: str, other: Head) -> ForkStatus:
    return ForkStatus(source, other.position, other.digest)
