"""Tests of what a node that stops still accepts."""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable

import pytest

from chicoryshunt.connection.upstream import BodyEnd, NotSentError
from chicoryshunt.platform import node
from chicoryshunt.relay.planned_stop import PlannedStop, find_last_moment
from tests.platform_builders import (
    SmallPlatform,
    build_generation,
    read_until_end,
    run_platform,
)
from tests.reactor import run_on_reactor

STOP = PlannedStop(lists_expire=3, end=7)
# Callers' lists from before the stop have expired after this time.
LATE_SECONDS = 3.2
# Far less than is left of the stream when the node ends.
MOMENT_SECONDS = 0.5
GENERATION = build_generation('first', 'last')


@pytest.mark.parametrize(
    ('received', 'expected_end', 'deadline', 'is_accepted'),
    [
        (1, 2, 40, True),
        (1, 7.5, 40, False),
        (2.9, 7, 40, True),
        (3.1, 3.2, 7.1, False),
        (3.1, 3.2, 7, True),
        (6.9, 6.9, 7.9, False),
    ],
)
def test_only_what_can_be_answered_is_accepted(
    received: float, expected_end: float, deadline: float, is_accepted: bool
) -> None:
    assert STOP.accepts(received, expected_end, deadline) is is_accepted


@pytest.mark.parametrize('grace', [0.5, 2, 8, 60])
def test_a_short_grace_is_used_to_its_last_sixth(grace: float) -> None:
    """Guards against streams that a node cuts long before it has to end."""
    assert grace * 5 / 6 < find_last_moment(0, grace) < grace


def _run_stopping(trial: Callable[[SmallPlatform], Awaitable[None]]) -> None:
    """Stop the node of a platform while it serves a stream of nine seconds."""

    async def run() -> None:
        async with run_platform() as platform:
            for engine in platform.engines:
                engine.length = 900
            first = await platform.open('/drafts/1', 'r0', 'POST', **GENERATION)
            await first.body.read()
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(0.1)
            await trial(platform)

    run_on_reactor(run())


def test_a_long_stream_is_refused_at_once() -> None:
    """Guards against streams that are begun and then cut by a stop."""

    async def trial(platform: SmallPlatform) -> None:
        tokens = {'X_Chicoryshunt_Token_Count': '1000,4000'}
        answer, _ = await platform.ask(
            '/drafts/1', 'long', 'POST', **GENERATION | tokens
        )
        assert answer.status == 503
        assert answer.get(b'Retry-After') == b'0.000'
        assert not any('long' in one.started for one in platform.engines)

    _run_stopping(trial)


def test_late_requests_are_not_cut_by_a_stop() -> None:
    """Guards against requests that are taken late in the grace, and cut."""

    async def trial(platform: SmallPlatform) -> None:
        await asyncio.sleep(LATE_SECONDS)
        for service in platform.services:
            service.mode = 'hang'
        patient = {'X_Chicoryshunt_Deadline_Ms': '9000'}
        stream, _ = await platform.ask('/drafts/1', 's', 'POST', **GENERATION)
        filing, _ = await platform.ask('/filings/1', 'f', 'POST', **patient)
        short, _ = await platform.ask(
            '/filings/1', 'g', 'POST', X_Chicoryshunt_Deadline_Ms='500'
        )

        assert [one.status for one in (stream, filing, short)] == [
            503,
            503,
            504,
        ]
        assert sum(one.runs.total() for one in platform.services) == 1

    _run_stopping(trial)


def test_no_connection_is_accepted_at_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that is passed on as the process ends."""
    refused = []

    async def run() -> None:
        async with run_platform() as platform:

            async def connect(_: object) -> None:
                with pytest.raises(NotSentError):
                    await platform.ask('/filings/1', 'f', 'POST')
                refused.append('f')

            monkeypatch.setattr(node, 'close_connections', connect)
            os.kill(os.getpid(), signal.SIGTERM)
            await platform.running

    run_on_reactor(run())

    assert refused


def test_no_connection_outlives_the_node() -> None:
    """Guards against a request on a connection that nobody reads any more."""

    async def trial(platform: SmallPlatform) -> None:
        stream = await platform.open('/drafts/1', 's', 'POST', **GENERATION)
        reading = asyncio.ensure_future(read_until_end(stream))
        await platform.running

        _, end = await asyncio.wait_for(reading, MOMENT_SECONDS)

        assert end is BodyEnd.cut

    _run_stopping(trial)
