"""Client of the HTTP API for patches of the configuration."""

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

_ANSWER_TIMEOUT_SECONDS = 5.0
_MAX_CONCURRENT_CALLS = 32

_Answer = TypeVar('_Answer')


@dataclass(slots=True)
class PatchReport:
    """Result of a patch on the VMs of the fleet.

    Each VM is in one group: it has folded the patch, it has not yet
    (``pending``), it has folded it to another digest than most VMs
    (``differing``), or it could not be asked (``errors``).
    """

    patch: int
    result: PatchResult | None = None
    folded: list[VmId] = field(default_factory=list)
    pending: list[VmId] = field(default_factory=list)
    differing: list[VmId] = field(default_factory=list)
    errors: dict[VmId, str] = field(default_factory=dict)

    @property
    def is_in_force(self) -> bool:
        """Return whether the patch is accepted and in force on all VMs."""
        return isinstance(self.result, Accepted) and not (
            self.pending or self.differing or self.errors
        )


class PatchClient:
    """Client that asks nodes for the results of patches."""

    def __init__(self, addresses: Sequence[str]) -> None:
        """Ask the nodes at these addresses, ``host:port`` each."""
        self._addresses = tuple(addresses)
        self._client = HttpClient()
        self._calls = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)

    async def check(self, line: bytes) -> CheckResult:
        """Return the check of a patch by the first node that answers."""
        return await self._fetch_any(
            'POST', 'v1/config/check', CheckResult, line
        )

    async def export(self) -> dict[str, bytes]:
        """Return the texts to publish, by key, to continue from this state.

        The base is the configuration in force on the first node that
        answers; the log after it is empty.
        """
        text = await self._read_any('GET', 'v1/config/base')
        first, *shards = text.splitlines()
        header = msgspec.json.decode(first, type=LogHeader)
        values = dict(zip(header.keys, shards, strict=True))
        return {**values, LOG_KEY: format_log(header, ())}

    async def report(self, patch: int) -> PatchReport:
        """Return the result of a patch on every VM of the fleet."""
        listed = await self._fetch_any('GET', 'v1/config/vms', PublishedVms)
        report = PatchReport(patch)
        statuses = await asyncio.gather(
            *(self._fetch_status(vm, report) for vm in listed.vms),
        )
        _add_statuses(report, [one for one in statuses if one is not None])
        return report

    async def _fetch_status(
        self,
        vm: PublishedVm,
        report: PatchReport,
    ) -> PatchStatus | None:
        path = f'v1/config/patches/{report.patch}'
        async with self._calls:
            try:
                return await self._fetch(vm.caller, path, PatchStatus)
            except CallError as error:
                report.errors[vm.vm] = str(error)
        return None

    async def _fetch(
        self,
        address: str,
        path: str,
        answer_type: type[_Answer],
    ) -> _Answer:
        return _decode(await self._read(address, 'GET', path), answer_type)

    async def _fetch_any(
        self,
        method: str,
        path: str,
        answer_type: type[_Answer],
        body: bytes = b'',
    ) -> _Answer:
        return _decode(await self._read_any(method, path, body), answer_type)

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
                answer_seconds=_ANSWER_TIMEOUT_SECONDS,
            )
        except (NotConnectedError, BrokenError) as error:
            raise CallError(f'{address}: {error}') from error
        if status != HTTPStatus.OK:
            text = answer.decode('utf-8', 'replace')
            raise CallError(f'{address}: status {status}: {text}')
        return answer


def _decode(answer: bytes, answer_type: type[_Answer]) -> _Answer:
    try:
        return msgspec.json.decode(answer, type=answer_type)
    except msgspec.DecodeError as error:
        raise CallError(f'undecodable answer: {error}') from error


def _add_statuses(report: PatchReport, statuses: Sequence[PatchStatus]) -> None:
    digests = Counter(one.digest for one in statuses if one.digest)
    most_common_digest = digests.most_common(1)[0][0] if digests else None
    for status in statuses:
        if status.is_folded and status.digest in {None, most_common_digest}:
            report.folded.append(status.vm)
            report.result = report.result or status.ruling
        elif status.is_folded:
            report.differing.append(status.vm)
        else:
            report.pending.append(status.vm)
