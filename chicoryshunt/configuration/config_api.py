"""What a node tells operators of the configuration, over HTTP."""

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
_LINES_TYPE = 'application/jsonl'


class ForkStatus(msgspec.Struct, frozen=True):
    """Another log than the one in force, and who showed it."""

    source: str
    position: LogPosition
    digest: Digest


class ConfigStatus(msgspec.Struct, frozen=True):
    """What a node has in force; ``rejected`` holds the latest patches."""

    version: ConfigVersion
    position: LogPosition
    digest: Digest
    is_confirmed: bool
    rejected: tuple[Rejected, ...]
    forks: tuple[ForkStatus, ...]


class PatchStatus(msgspec.Struct, frozen=True):
    """What became of one patch on a node.

    ``digest`` is that of the log up to the patch. ``ruling`` is missing when
    the patch has not arrived or was folded too long ago.
    """

    vm: VmId
    patch: LogPosition
    is_folded: bool
    digest: Digest | None = None
    ruling: PatchResult | None = None


class CheckResult(msgspec.Struct, frozen=True):
    """What the fold would make of a patch if it came next."""

    version: ConfigVersion
    is_accepted: bool
    rejection: Rejection | None = None
    detail: str = ''


def describe_config(configuration: Configuration) -> ConfigStatus:
    """Return what is in force and what was refused."""
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
    """Answers operators about the configuration."""

    def __init__(
        self,
        vm: VmId,
        configuration: Configuration,
        list_vms: Callable[[], PublishedVms],
    ) -> None:
        """Serve what one node has in force."""
        self._vm = vm
        self._list_vms = list_vms
        self._configuration = configuration

    def handle(self, exchange: Exchange, path: list[str]) -> None:
        """Serve one request under ``/v1/config``."""
        match (exchange.method, *path):
            case ('GET',):
                exchange.respond_json(describe_config(self._configuration))
            case ('GET', 'vms'):
                exchange.respond_json(self._list_vms())
            case ('GET', 'base'):
                self._export(exchange)
            case ('GET', 'patches', number) if number.isdecimal():
                exchange.respond_json(self._find_patch(int(number)))
            case ('POST', 'check'):
                self._check(exchange)
            case _:
                exchange.respond_verdict(
                    refuse(Reason.unknown_path, f'no path {exchange.path!r}'),
                )

    def _find_patch(self, number: int) -> PatchStatus:
        patch = LogPosition(number)
        replica = self._configuration.replica
        rulings = (
            one for one in replica.patch_results if one.position == patch
        )
        return PatchStatus(
            self._vm,
            patch,
            replica.head.position >= patch,
            replica.find_digest(patch),
            next(rulings, None),
        )

    def _export(self, exchange: Exchange) -> None:
        snapshot = self._configuration.replica.take_snapshot()
        if snapshot is None:
            exchange.respond_verdict(_refuse_missing())
            return
        header, shards = split_base(snapshot.config, snapshot.earlier)
        exchange.respond(format_log(header, shards), _LINES_TYPE)

    def _check(self, exchange: Exchange) -> None:
        config = self._configuration.current
        if config is None:
            exchange.respond_verdict(_refuse_missing())
            return
        judged = check_patch(config, exchange.body)
        match judged:
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
