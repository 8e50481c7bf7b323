"""Tests of callers that speak HTTP/1.0, whose answers have no chunks."""

import asyncio

import pytest

from lab.standins.platform_files import CALLERS, HOST, KEY
from tests.platform_builders import SmallPlatform, run_platform
from tests.reactor import run_on_reactor

REQUEST = (
    'POST /drafts/1 HTTP/1.0',
    f'Host: {HOST}',
    f'Authorization: Bearer {KEY}',
    'X-Chicoryshunt-Request-Id: r1',
    'X-Chicoryshunt-Deadline-Ms: 5000',
    'X-Chicoryshunt-Model: m',
    'X-Chicoryshunt-Token-Count: 1000,160',
    'X-Chicoryshunt-Prefix-Hash: a:80',
    '',
    '',
)


async def _read_stream(platform: SmallPlatform) -> bytes:
    """Return what a caller receives until the connection ends."""
    reader, writer = await asyncio.open_connection(platform.host, CALLERS)
    writer.write('\r\n'.join(REQUEST).encode())
    try:
        return await reader.read()
    finally:
        writer.close()


def test_a_cut_stream_without_chunks_is_reset() -> None:
    """Guards against a cut stream that its caller takes for complete."""

    async def run() -> None:
        async with run_platform() as platform:
            for engine in platform.engines:
                engine.breaks_after = 5
            with pytest.raises(ConnectionResetError):
                await _read_stream(platform)

    run_on_reactor(run())


def test_a_whole_stream_without_chunks_ends() -> None:
    async def run() -> None:
        async with run_platform() as platform:
            received = await _read_stream(platform)

        assert received.count(b'id: ') == 40

    run_on_reactor(run())
