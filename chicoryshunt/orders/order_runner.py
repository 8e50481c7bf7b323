"""Carries out what the orders core asks for, as tasks."""

import asyncio
from collections.abc import Callable

from chicoryshunt.connection.client import HttpClient
from chicoryshunt.connection.order_client import OrderClient
from chicoryshunt.connection.order_results import (
    NotSent,
    SendResult,
)
from chicoryshunt.orders.order_actions import ReadLoad, SendOrder
from chicoryshunt.orders.orders import ORDER_SECONDS, Orders

_PLAN_SECONDS = 0.25


def build_order_client() -> OrderClient:
    """Return a link whose answers the settle time waits for."""
    client = HttpClient(keeps_connections=False)
    return OrderClient(client, ORDER_SECONDS)


class OrderRunner:
    """Reads loads and sends orders for one node."""

    def __init__(
        self,
        orders: Orders,
        link: OrderClient,
        check_pause: Callable[[], float],
    ) -> None:
        """Check the pulse before every step, so that a pause is noticed."""
        self._orders = orders
        self._link = link
        self._check_pulse = check_pause
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Work for as long as the process lives."""
        while True:
            for action in self._orders.plan(self._check_pulse()):
                task = asyncio.ensure_future(self._read(action))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(_PLAN_SECONDS)

    async def _read(self, action: ReadLoad) -> None:
        result = await self._link.read_load(action.address)
        order = self._orders.learn_report(
            action,
            result,
            self._check_pulse(),
        )
        if order is not None:
            await self._send(order)

    async def _send(self, action: SendOrder) -> None:
        self._check_pulse()
        result: SendResult = NotSent('not the keeper any more')
        if self._orders.may_send(action):
            result = await self._link.send_order(action.address, action.order)
        self._orders.learn_answer(action, result, self._check_pulse())
