"""Tests of the client of the configuration service, over loopback."""

from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from chicoryshunt.connection.client import HttpClient
from chicoryshunt.connection.platform import (
    Absence,
    HttpConfigService,
    PublishedValue,
)
from chicoryshunt.connection.web import BoundedSite
from chicoryshunt.exceptions import PlatformError
from chicoryshunt.version.published import MAX_VALUE_BYTES
from lab.standins.config_service import ConfigService
from lab.standins.faults import Fault, FaultKind, Faults
from tests.reactor import listen, run_on_reactor
from tests.test_caller import SERVER_BOUNDS
from tests.test_client import Scripted

_ANSWER = b'HTTP/1.1 200 OK\r\n%s\r\n\r\n%s'


def _run(
    build: Callable[[], Any],
    act: Callable[[HttpClient, str], Awaitable[None]],
) -> None:
    async def check() -> None:
        async with listen(build()) as address:
            client = HttpClient(keeps_connections=False)
            await act(client, f'http://{address}')

    run_on_reactor(check())


def build_site(faults: Faults) -> BoundedSite:
    return BoundedSite(ConfigService(faults).handle, SERVER_BOUNDS)


def test_value_is_read_and_watched() -> None:
    faults = Faults()

    async def act(client: HttpClient, base: str) -> None:
        service = HttpConfigService(base, client)
        assert await service.read('log') is Absence.missing
        await client.read('PUT', f'{base}/v1/values/log', b'one\n')
        published = await service.read('log')
        assert published == PublishedValue(1, b'one\n')
        assert await service.read('log', known=1) is Absence.unchanged
        faults.apply(Fault(FaultKind.truncate))
        assert await service.read('log') == PublishedValue(1, b'on')

    _run(lambda: build_site(faults), act)


def test_older_revision_ends_the_wait() -> None:
    faults = Faults()

    async def act(client: HttpClient, base: str) -> None:
        service = HttpConfigService(base, client)
        for text in (b'one', b'two'):
            await client.read('PUT', f'{base}/v1/values/log', text)
            await client.read('POST', f'{base}/v1/snapshot')
        await client.read('PUT', f'{base}/v1/values/log', b'three')
        faults.apply(Fault(FaultKind.stale))
        published = await service.read('log', known=3, wait=20)
        assert published == PublishedValue(2, b'two')

    _run(lambda: build_site(faults), act)


@pytest.mark.parametrize(
    'answer',
    [
        b'',
        _ANSWER % (b'X-Revision: 1\r\nContent-Length: 9', b'cut'),
        _ANSWER % (b'X-Revision: one\r\nContent-Length: 3', b'all'),
        _ANSWER % (b'Content-Length: 3', b'all'),
        b'HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n',
        _ANSWER % (b'X-Revision: 1', bytes(MAX_VALUE_BYTES + 1)),
    ],
)
def test_unusable_answer_is_an_error(answer: bytes) -> None:
    async def act(client: HttpClient, base: str) -> None:
        with pytest.raises(PlatformError):
            await HttpConfigService(base, client).read('log')

    _run(lambda: Scripted(answer), act)
