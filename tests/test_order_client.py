"""Tests of the order client against various targets, over loopback."""

import msgspec
import pytest

from chicoryshunt.connection.client import HttpClient
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.order_client import OrderClient
from chicoryshunt.connection.order_results import (
    NotSent,
    Obeyed,
    Outdated,
    SendResult,
    Throttled,
    Unanswered,
    Unreadable,
)
from chicoryshunt.connection.target_api import LoadReport, Order
from chicoryshunt.connection.web import BoundedSite
from lab.standins.engine_orders import OrderExecutor
from lab.standins.weights import WeightStore
from tests.ordering import Engine
from tests.reactor import listen, run_on_reactor
from tests.test_caller import SERVER_BOUNDS
from tests.test_client import Scripted

_ORDER = Order(5, 'v1')
_ANSWER = b'HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s'


def _script(status: bytes, body: bytes, headers: bytes = b'') -> Scripted:
    return Scripted(_ANSWER % (status, len(body), headers, body))


def _send(status: bytes, body: bytes, headers: bytes = b'') -> SendResult:
    async def act() -> SendResult:
        async with listen(_script(status, body, headers)) as address:
            return await _build_client().send_order(address, _ORDER)

    return run_on_reactor(act())


def _build_client() -> OrderClient:
    return OrderClient(HttpClient(keeps_connections=False), 5)


@pytest.mark.parametrize(
    ('status', 'body', 'headers', 'expected'),
    [
        (b'200 OK', b'{"accepted":true,"fence":5}', b'', Obeyed(5)),
        (b'409 No', b'{"accepted":false,"fence":9}', b'', Outdated(9)),
        (b'429 Wait', b'', b'Retry-After: 2.5\r\n', Throttled(2.5)),
        (b'429 Wait', b'', b'Retry-After: soon\r\n', Throttled(5)),
    ],
)
def test_answer_is_parsed(
    status: bytes,
    body: bytes,
    headers: bytes,
    expected: SendResult,
) -> None:
    assert _send(status, body, headers) == expected


@pytest.mark.parametrize(
    ('status', 'body'),
    [(b'500 Broken', b'oops'), (b'200 OK', b'{"accepted":"yes"}')],
)
def test_invalid_answer_is_unanswered(
    status: bytes,
    body: bytes,
) -> None:
    assert isinstance(_send(status, body), Unanswered)


def test_unreachable_target_was_sent_nothing() -> None:
    async def act() -> SendResult:
        return await _build_client().send_order('127.0.0.1:1', _ORDER)

    assert isinstance(run_on_reactor(act()), NotSent)


@pytest.mark.parametrize(
    'body',
    [b'', b'{', b'{"start": 1}', b'\xff'],
)
def test_invalid_load_is_unreadable(body: bytes) -> None:
    async def act() -> object:
        async with listen(_script(b'200 OK', body)) as address:
            return await _build_client().read_load(address)

    assert isinstance(run_on_reactor(act()), Unreadable)


def test_load_is_read() -> None:
    report = Engine(checks_fence=True, fence=3).report()

    async def act() -> object:
        script = _script(b'200 OK', msgspec.json.encode(report))
        async with listen(script) as address:
            return await _build_client().read_load(address)

    found = run_on_reactor(act())
    assert isinstance(found, LoadReport)
    assert found.fence == 3


def test_store_throttles_orders_of_weights() -> None:
    async def act() -> list[SendResult]:
        store = BoundedSite(WeightStore(60, 1).handle, SERVER_BOUNDS)
        async with listen(store) as url:
            executor = OrderExecutor(
                lambda: None,
                is_fenced=True,
                load_seconds=0,
                weights_url=f'http://{url}',
            )

            async def handle(exchange: Exchange) -> None:
                await executor.execute(exchange)

            async with listen(BoundedSite(handle, SERVER_BOUNDS)) as address:
                return [
                    await _build_client().send_order(address, order)
                    for order in (Order(5, 'v1'), Order(6, 'v2'), Order(4, ''))
                ]

    obeyed, throttled, outdated = run_on_reactor(act())
    assert obeyed == Obeyed(5)
    assert isinstance(throttled, Throttled)
    assert 0 < throttled.retry_after <= 1
    assert outdated == Outdated(5)


def test_store_allows_its_rate() -> None:
    store = WeightStore(60, 2)
    assert [store.take(100) for _ in range(3)] == [0, 0, 1]
    assert store.take(101) == 0
    assert store.ledger.allowed == 3
