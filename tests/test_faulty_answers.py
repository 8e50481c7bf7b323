"""Tests of answers that targets repeat, cut off or leave without a length."""

from collections.abc import Awaitable, Callable

import pytest

from chicoryshunt.connection.upstream import BodyEnd
from tests.platform_builders import (
    SmallPlatform,
    build_generation,
    read_until_end,
    run_platform,
)
from tests.raw_targets import RawTarget, serve_raw
from tests.reactor import run_on_reactor

EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
REFUSAL = b'HTTP/1.1 503 Full\r\nX-Chicoryshunt-Not-Executed: 1\r\n%s%s\r\n'
EMPTY = b'Content-Length: 0\r\n'


def _build_head(request: str, *lines: bytes) -> bytes:
    named = (
        b'HTTP/1.1 200 OK',
        b'X-Chicoryshunt-Request-Id: %s' % request.encode(),
        b'X-Chicoryshunt-Response-Seal: seal',
        *lines,
        b'',
        b'',
    )
    return b'\r\n'.join(named)


def _build_answer(request: str) -> bytes:
    head = _build_head(request, b'Content-Length: 4')
    return b'%sbody' % head


def _run(
    name: str,
    target: RawTarget,
    trial: Callable[[SmallPlatform], Awaitable[None]],
    leaving: str = '',
) -> None:
    """Run a node for which ``target`` is the target of that name."""

    async def run() -> None:
        async with (
            serve_raw(target) as address,
            run_platform(replaced={name: address}, leaving=leaving) as platform,
        ):
            await trial(platform)

    run_on_reactor(run())


@pytest.mark.parametrize('id_line', [b'', b'X-Chicoryshunt-Request-Id: r1\r\n'])
def test_a_repeated_refusal_is_not_believed(id_line: bytes) -> None:
    """Guards against 'not run' for a request that a target runs.

    The target writes an earlier refusal once more, before its answer.
    """
    repeated = REFUSAL % (id_line, EMPTY) + _build_answer('r2')
    target = RawTarget(_build_answer('r1'), repeated)

    async def trial(platform: SmallPlatform) -> None:
        first, _ = await platform.ask('/filings/1', 'r1', 'POST')
        second, _ = await platform.ask('/filings/2', 'r2', 'POST')

        assert (first.status, second.status) == (200, 502)
        assert target.connections == 1
        assert len(target.requests) == 2
        assert not platform.services[1].runs

    _run('p0', target, trial)


def test_a_refusal_of_the_request_is_believed() -> None:
    target = RawTarget(REFUSAL % (b'X-Chicoryshunt-Request-Id: r1\r\n', EMPTY))

    async def trial(platform: SmallPlatform) -> None:
        answer, _ = await platform.ask('/filings/1', 'r1', 'POST')

        assert answer.status == 200
        assert platform.services[1].runs == {'r1': 1}

    _run('p0', target, trial)


def test_part_of_an_answer_is_never_whole() -> None:
    """Guards against a short answer framed as whole.

    The target closes after each number of bytes of its answer, also in the
    middle of the head.
    """
    answer = _build_answer('r0')
    parts = [answer[:size] for size, _ in enumerate(answer)]
    target = RawTarget(*parts, closes=True)

    async def trial(platform: SmallPlatform) -> None:
        for _ in parts:
            received, _ = await platform.ask('/filings/1', 'r0', 'POST')
            assert received.status == 502

    _run('p0', target, trial, leaving='p1')


def test_a_stream_cut_in_its_head_does_not_begin() -> None:
    """Guards against an empty stream that looks complete."""
    head = _build_head('r0', b'Content-Type: text/event-stream')
    parts = [head[:size] for size, _ in enumerate(head)]
    target = RawTarget(*parts, head, closes=True)

    async def trial(platform: SmallPlatform) -> None:
        for _ in (*parts, head):
            received, _ = await platform.ask(
                '/drafts/1', 'r0', 'POST', **build_generation('a')
            )
            assert received.status == 502

    _run('e0', target, trial, leaving='e1')


def _check_cut(status: int, received: bytes, end: BodyEnd) -> None:
    """Check that an answer does not look complete."""
    if status != 502:
        assert (status, end) == (200, BodyEnd.cut)
        assert received.endswith(b'\n\n')


@pytest.mark.parametrize('resets', [True, False])
def test_an_unframed_stream_ends_between_events(resets: bool) -> None:
    """Guards against a stream cut inside an event that looks complete.

    The target ends its connection after each number of bytes.
    """
    head = _build_head('r0', b'Content-Type: text/event-stream')
    parts = [EVENTS[: size + 1] for size, _ in enumerate(EVENTS)]
    target = RawTarget(
        *(head + part for part in parts), resets=resets, closes=True
    )

    async def trial(platform: SmallPlatform) -> None:
        for part in parts:
            answer = await platform.open(
                '/drafts/1', 'r0', 'POST', **build_generation('a')
            )
            received, end = await read_until_end(answer)
            if part.endswith(b'\n\n') and not resets:
                assert (answer.status, received) == (200, part)
                assert end is BodyEnd.whole
            else:
                _check_cut(answer.status, received, end)
                assert answer.status == 502 or part.startswith(received)

    _run('e0', target, trial, leaving='e1')
