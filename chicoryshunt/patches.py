"""Asks nodes about patches, as a public API over HTTP."""

import asyncio
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TypeVar

import msgspec

from chicoryshunt.configuration.config_api import CheckResult, PatchStatus
from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
)
from chicoryshunt.connection.platform_api import PublishedVm, PublishedVms
from chicoryshunt.exceptions import CallError
from chicoryshunt.types import VmId
from chicoryshunt.version.fold import Accepted, PatchResult
from chicoryshunt.version.published import LOG_KEY, LogHeader, format_log

_ANSWER_SECONDS = 5.0
_MAX_CALLS = 32

_Answer = TypeVar('_Answer')


@dataclass(slots=True)
class PatchReport:
    """What became of a patch over the whole fleet."""

    patch: int
    ruling: PatchResult | None = None
    folded: list[VmId] = field(default_factory=list)
    pending: list[VmId] = field(default_factory=list)
    differing: list[VmId] = field(default_factory=list)
    silent: dict[VmId, str] = field(default_factory=dict)

    @property
    def is_in_force(self) -> bool:
        """Say whether the patch was accepted and is in force on all."""
        return isinstance(self.ruling, Accepted) and not (
            self.pending or self.differing or self.silent
        )


class PatchClient:
    """Asks what the fold makes, or made, of patches."""

    def __init__(self, addresses: Sequence[str]) -> None:
        """Ask nodes at these addresses, host:port each."""
        self._addresses = tuple(addresses)
        self._client = HttpClient()
        self._calls = asyncio.Semaphore(_MAX_CALLS)

    async def check(self, line: bytes) -> CheckResult:
        """Return what the first node that answers would make of a patch."""
        return await self._ask_any('POST', 'v1/config/check', CheckResult, line)

    async def export(self) -> dict[str, bytes]:
        """Return what to publish, by key, to go on from what is in force."""
        text = await self._read_any('GET', 'v1/config/base')
        first, *shards = text.splitlines()
        header = msgspec.json.decode(first, type=LogHeader)
        values = dict(zip(header.keys, shards, strict=True))
        return {**values, LOG_KEY: format_log(header, ())}

    async def report(self, patch: int) -> PatchReport:
        """Return what became of a patch on every VM of the fleet."""
        listed = await self._ask_any('GET', 'v1/config/vms', PublishedVms)
        report = PatchReport(patch)
        statuses = await asyncio.gather(
            *(self._ask_vm(vm, report) for vm in listed.vms),
        )
        _collect(report, [one for one in statuses if one is not None])
        return report

    async def _ask_vm(
        self,
        vm: PublishedVm,
        report: PatchReport,
    ) -> PatchStatus | None:
        path = f'v1/config/patches/{report.patch}'
        async with self._calls:
            try:
                return await self._ask(vm.caller, path, PatchStatus)
            except CallError as error:
                report.silent[vm.vm] = str(error)
        return None

    async def _ask(
        self,
        address: str,
        path: str,
        kind: type[_Answer],
    ) -> _Answer:
        return _decode(await self._read(address, 'GET', path), kind)

    async def _ask_any(
        self,
        method: str,
        path: str,
        kind: type[_Answer],
        body: bytes = b'',
    ) -> _Answer:
        return _decode(await self._read_any(method, path, body), kind)

    async def _read_any(
        self,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> bytes:
        errors = []
        for address in self._addresses:
            try:
                return await self._read(address, method, path, body)
            except CallError as error:
                errors.append(str(error))
        raise CallError('; '.join(errors) or 'no node to ask')

    async def _read(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> bytes:
        try:
            status, answer = await self._client.read(
                method,
                f'http://{address}/{path}',
                body,
                answer_seconds=_ANSWER_SECONDS,
            )
        except (NotConnectedError, BrokenError) as error:
            raise CallError(f'{address}: {error}') from error
        if status != HTTPStatus.OK:
            text = answer.decode('utf-8', 'replace')
            raise CallError(f'{address}: status {status}: {text}')
        return answer


def _decode(answer: bytes, kind: type[_Answer]) -> _Answer:
    try:
        return msgspec.json.decode(answer, type=kind)
    except msgspec.DecodeError as error:
        raise CallError(f'undecodable answer: {error}') from error


def _collect(report: PatchReport, statuses: Sequence[PatchStatus]) -> None:
    digests = Counter(one.digest for one in statuses if one.digest)
    usual = digests.most_common(1)[0][0] if digests else None
    for status in statuses:
        if status.is_folded and status.digest in {None, usual}:
            report.folded.append(status.vm)
            report.ruling = report.ruling or status.ruling
        elif status.is_folded:
            report.differing.append(status.vm)
        else:
            report.pending.append(status.vm)
