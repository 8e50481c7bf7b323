"""Tests of answers whose head or framing no sound server sends."""

import string
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, cast

import pytest
from hypothesis import given, strategies

from chicoryshunt.address import Address
from chicoryshunt.connection.answer_parser import (
    InvalidAnswerError,
    check_field_line,
    check_status_line,
)
from chicoryshunt.connection.client import BrokenError, HttpClient
from chicoryshunt.connection.upstream import (
    Answer,
    BodyEnd,
    CallBounds,
    ConnectionLostError,
    NotSentError,
    OutgoingRequest,
    UpstreamPool,
)
from chicoryshunt.metrics import Metrics
from chicoryshunt.platform import wire
from chicoryshunt.platform.store import StoreClient, StoreError
from chicoryshunt.platform.targets import PlatformTargetCodec
from chicoryshunt.relay.target_codec import Health
from chicoryshunt.types import TargetId
from tests.odd_heads import (
    CHUNKED,
    NO_CONTENT,
    ODD_FIELD_LINES,
    ODD_STATUS_LINES,
    build_head,
    list_odd_answers,
    list_sound_answers,
)
from tests.platform_builders import (
    SmallPlatform,
    build_generation,
    read_until_end,
    run_platform,
)
from tests.raw_targets import RawTarget, serve_raw
from tests.reactor import run_on_reactor

ODD_ANSWERS = list_odd_answers()
SOUND_ANSWERS = list_sound_answers()
REQUEST = OutgoingRequest(b'GET', b'/x', [(b'Host', b'a')])
NAME_CHARACTERS = f"!#$%&'*+-.^_`|~{string.digits}{string.ascii_letters}"
CONTROL_BYTES = frozenset((*range(9), *range(10, 32), 127))
BOUNDS = CallBounds(idle_seconds=10, answer_seconds=5, max_bytes=1 << 16)


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


def test_an_odd_head_is_no_answer_to_a_call() -> None:
    """Guards against an answer with status 000, and other odd heads."""
    target = RawTarget(*ODD_ANSWERS.values(), closes=True)

    async def trial(platform: SmallPlatform) -> None:
        statuses = {}
        for part in ODD_ANSWERS:
            answer, _ = await platform.ask('/filings/1', 'r1', 'POST')
            statuses[part] = answer.status

        assert statuses == dict.fromkeys(ODD_ANSWERS, 502)
        assert len(target.requests) == len(ODD_ANSWERS)

    _run('p0', target, trial, leaving='p1')


def test_a_read_with_an_odd_head_is_retried() -> None:
    """Guards against an odd head that ends a read which may be repeated."""
    target = RawTarget(*ODD_ANSWERS.values(), closes=True)

    async def trial(platform: SmallPlatform) -> None:
        for number in range(20):
            answer, body = await platform.ask('/reads/1', 'r1')
            assert answer.status == 200, number
            assert body != b'body'
        assert target.requests

    _run('p0', target, trial)


def test_an_odd_head_begins_no_stream() -> None:
    """Guards against a stream with an odd head.

    The target still accepts connections, so its requests crash nothing.
    """
    events = b'id: 1\ndata: a\n\n'
    odd = {
        part: answer.replace(b'body', events)
        .replace(b'4\r\n%s' % events, b'f\r\n%s' % events)
        .replace(b'Content-Length: 4', b'Content-Length: 15')
        for part, answer in ODD_ANSWERS.items()
        if b'(trailer)' not in part and b'body' not in part
    }
    target = RawTarget(*odd.values(), closes=True)

    async def trial(platform: SmallPlatform) -> None:
        statuses = {}
        for part in odd:
            answer, _ = await platform.ask(
                '/drafts/1', 'r1', 'POST', **build_generation('a', 'b')
            )
            statuses[part] = answer.status

        assert statuses == dict.fromkeys(odd, 502)
        assert len(target.requests) == len(odd)

    _run('e0', target, trial, leaving='e1')


def test_a_sound_head_is_passed_on() -> None:
    target = RawTarget(*SOUND_ANSWERS.values(), closes=True)

    async def trial(platform: SmallPlatform) -> None:
        received = {}
        for part in SOUND_ANSWERS:
            answer, body = await platform.ask('/filings/1', 'r1', 'POST')
            received[part] = answer.status, body

        assert received == dict.fromkeys(SOUND_ANSWERS, (200, b'body'))

    _run('p0', target, trial, leaving='p1')


@pytest.mark.parametrize('line', [b'Content-Length: 0', b'X-A: a'])
def test_an_answer_may_have_no_content(line: bytes) -> None:
    target = RawTarget(build_head(line, status_line=NO_CONTENT))

    async def trial(platform: SmallPlatform) -> None:
        answer, body = await platform.ask('/filings/1', 'r1', 'POST')
        assert (answer.status, body) == (204, b'')

    _run('p0', target, trial, leaving='p1')


async def _call_pool(address: str) -> list[bytes]:
    """Read each odd answer like those of other nodes."""
    received = []
    pool = UpstreamPool(1)
    for _ in ODD_ANSWERS:
        with suppress(ConnectionLostError, NotSentError):
            answered = await pool.call(address, REQUEST, BOUNDS)
            received.append(answered[1])
    return received


async def _call_client(address: str) -> list[bytes]:
    received = []
    client = HttpClient()
    for _ in ODD_ANSWERS:
        with suppress(BrokenError):
            answered = await client.read('GET', f'http://{address}/x')
            received.append(answered[1])
    return received


@pytest.mark.parametrize('call', [_call_pool, _call_client])
def test_no_client_takes_an_odd_head(
    call: Callable[[str], Awaitable[list[bytes]]],
) -> None:
    """Guards against odd answers of other nodes, engines and the platform.

    No connection is used again after one.
    """
    target = RawTarget(*ODD_ANSWERS.values())

    async def run() -> None:
        async with serve_raw(target) as address:
            assert not await call(address)

    run_on_reactor(run())
    assert target.connections == len(ODD_ANSWERS)


def test_the_store_is_not_read_by_an_odd_head() -> None:
    """Guards against items from an answer whose status is +200."""
    page = b'{"items": [], "current_rev": 7}'
    length = b'Content-Length: %d' % len(page)
    heads = [
        build_head(length, status_line=line)
        for line in ODD_STATUS_LINES
        if b'200' in line
    ]
    heads += [build_head(line, length) for line in ODD_FIELD_LINES]
    heads.append(build_head(length))
    target = RawTarget(*(head + page for head in heads))

    async def run() -> None:
        async with serve_raw(target) as address:
            host, _, port = address.rpartition(':')
            store = StoreClient(
                Address(host, int(port)), UpstreamPool(1), Metrics()
            )
            for _ in heads[:-1]:
                with pytest.raises(StoreError):
                    await store.read_range('op/', '', may_be_stale=False)
            read = await store.read_range('op/', '', may_be_stale=False)
            assert read.current_rev == 7

    run_on_reactor(run())


def test_an_odd_trailer_cuts_a_stream() -> None:
    """Guards against a stream that looks whole despite an odd end."""
    events = b'f\r\nid: 1\ndata: a\n\n\r\n'
    head = build_head(CHUNKED, b'Content-Type: text/event-stream')
    target = RawTarget(b'%s%s0\r\nX Odd: 1\r\n\r\n' % (head, events))

    async def trial(platform: SmallPlatform) -> None:
        answer = await platform.open(
            '/drafts/1', 'r1', 'POST', **build_generation('a')
        )
        _, end = await read_until_end(answer)
        assert answer.status == 502 or end is BodyEnd.cut

    _run('e0', target, trial, leaving='e1')


def test_an_odd_head_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against logs that do not tell it from a broken connection."""
    answers = build_head(status_line=b'HTTP/1.1 000 OK'), b'HTTP/1.1 2'
    target = RawTarget(*answers, closes=True)
    addresses = []

    async def trial(platform: SmallPlatform) -> None:
        addresses.append(platform.addresses['p0'])
        for _ in answers:
            answer, _ = await platform.ask('/filings/1', 'r1', 'POST')
            assert answer.status == 502

    _run('p0', target, trial, leaving='p1')

    odd = [
        one.__dict__
        for one in caplog.records
        if one.getMessage() == 'invalid_answer'
    ]
    assert [one['address'] for one in odd] == addresses
    assert 'HTTP/1.1 000 OK' in odd[0]['error']


def test_a_target_with_odd_heads_is_paused() -> None:
    """Guards against a target in trouble that gets call after call."""
    head = build_head(status_line=b'HTTP/1.1 000 OK')
    target = RawTarget(*(head for _ in range(40)), closes=True)

    async def trial(platform: SmallPlatform) -> None:
        for _ in range(40):
            await platform.ask('/filings/1', 'r1', 'POST')
        assert len(target.requests) < 10

    _run('p0', target, trial)


@pytest.mark.parametrize(
    ('line', 'status'),
    [
        (b'X-Chicoryshunt-Request-Id: r2', 502),
        (b'X-Chicoryshunt-Request-Id:', 502),
        (b'X-Chicoryshunt-Response-Seal: other', 502),
        (b'X-Chicoryshunt-Request-Id: r1', 200),
        (b'X-Chicoryshunt-Response-Seal: seal', 200),
    ],
)
def test_an_answer_of_two_requests_is_foreign(line: bytes, status: int) -> None:
    """Guards against a head that mixes the answers to two requests."""
    head = build_head(line, b'Content-Length: 4')
    target = RawTarget(b'%sbody' % head)

    async def trial(platform: SmallPlatform) -> None:
        answer, _ = await platform.ask('/filings/1', 'r1', 'POST')
        assert answer.status == status

    _run('p0', target, trial, leaving='p1')


@pytest.mark.parametrize('name', [b'Content-Encoding', b'Content-encoding'])
def test_an_encoding_behind_an_empty_one_is_seen(name: bytes) -> None:
    """Guards against a body that is not the target's own."""
    head = build_head(b'%s:' % name, b'%s: gzip' % name, b'Content-Length: 4')
    target = RawTarget(b'%sbody' % head)

    async def trial(platform: SmallPlatform) -> None:
        answer, _ = await platform.ask('/filings/1', 'r1', 'POST')
        assert answer.status == 502

    _run('p0', target, trial, leaving='p1')


def test_the_health_of_two_targets_is_unknown() -> None:
    """Guards against the health of another target."""
    names = [
        (wire.ANSWERING_TARGET, b'p0'),
        (wire.ANSWERING_TARGET, b'p1'),
    ]
    body = cast(Any, None)
    codec = PlatformTargetCodec()

    mixed = Answer(200, names, 0, body)
    sound = Answer(200, [names[0], names[0]], 0, body)

    name = TargetId('p0')
    assert codec.decode_health(name, mixed) is Health.unknown
    assert codec.decode_health(name, sound) is Health.sound


@given(
    strategies.text(NAME_CHARACTERS, min_size=1),
    strategies.binary(max_size=20),
)
def test_a_field_is_a_token_and_printable_bytes(
    name: str, content: bytes
) -> None:
    line = b'%s:%s' % (name.encode(), content)
    if CONTROL_BYTES.isdisjoint(content):
        check_field_line(line)
    else:
        with pytest.raises(InvalidAnswerError):
            check_field_line(line)


@given(
    strategies.text(NAME_CHARACTERS),
    strategies.integers(0, 255).filter(
        lambda number: chr(number) not in f'{NAME_CHARACTERS}:'
    ),
    strategies.text(NAME_CHARACTERS),
)
def test_a_name_has_no_other_bytes(before: str, odd: int, after: str) -> None:
    line = b'%s%c%s: a' % (before.encode(), odd, after.encode())
    with pytest.raises(InvalidAnswerError):
        check_field_line(line)


@given(strategies.integers(0, 999))
def test_a_status_is_one_of_five_classes(status: int) -> None:
    line = b'HTTP/1.1 %03d Phrase' % status
    if 100 <= status <= 599 and status != 101:
        check_status_line(line)
    else:
        with pytest.raises(InvalidAnswerError):
            check_status_line(line)
