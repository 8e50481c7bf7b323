"""Execution of orders by the engine stand-in."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from chicoryshunt.connection.client import HttpClient
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.target_api import Order, OrderAnswer


class OrderLedger(msgspec.Struct):
    """Orders that an engine got; ``overlaps`` counts those while loading."""

    fences: list[int] = []
    refused: int = 0
    throttled: int = 0
    overlaps: int = 0


class OrderExecutor:
    """Loaded model version, adapters and role, and the order in progress."""

    def __init__(
        self,
        make_cold: Callable[[], None],
        *,
        is_fenced: bool,
        load_seconds: float,
        weights_url: str,
    ) -> None:
        """Start with nothing loaded; an empty URL means no weight store."""
        self.fence = 0
        self.role = 'both'
        self.model_version = ''
        self.adapters: tuple[str, ...] = ()
        self.is_loading = False
        self.ledger = OrderLedger()
        self._make_cold = make_cold
        self._is_fenced = is_fenced
        self._load_seconds = load_seconds
        self._weights_url = weights_url
        self._loading: asyncio.Task[None] | None = None

    async def execute(self, exchange: Exchange) -> None:
        """Answer an order, and execute it if it is accepted."""
        order = msgspec.json.decode(exchange.body, type=Order)
        if self._is_fenced and order.fence < self.fence:
            self.ledger.refused += 1
            self._answer(exchange, HTTPStatus.CONFLICT)
            return
        retry_after = await self._read_weights(order)
        if retry_after:
            self.ledger.throttled += 1
            exchange.set_header('retry-after', retry_after)
            self._answer(exchange, HTTPStatus.TOO_MANY_REQUESTS)
            return
        self.ledger.overlaps += self.is_loading
        self.ledger.fences.append(order.fence)
        self.fence = max(self.fence, order.fence)
        self.is_loading = True
        self._loading = asyncio.ensure_future(self._load(order))
        self._answer(exchange, HTTPStatus.OK)

    def _answer(self, exchange: Exchange, status: HTTPStatus) -> None:
        is_accepted = status is HTTPStatus.OK
        exchange.respond_json(OrderAnswer(is_accepted, self.fence), status)

    async def _read_weights(self, order: Order) -> str:
        wanted = (order.model_version, order.adapters)
        if not self._weights_url or wanted == (
            self.model_version,
            self.adapters,
        ):
            return ''
        name = order.model_version or 'adapters'
        response = await HttpClient(keeps_connections=False).request(
            'GET',
            f'{self._weights_url}/v1/weights/{name}',
        )
        if response.code == HTTPStatus.OK:
            return ''
        return str(response.headers.getRawHeaders('retry-after', ['1'])[0])

    async def _load(self, order: Order) -> None:
        await asyncio.sleep(self._load_seconds)
        if order.model_version != self.model_version:
            self._make_cold()
        self.model_version = order.model_version
        self.adapters = order.adapters
        self.role = order.role
        self.is_loading = False
