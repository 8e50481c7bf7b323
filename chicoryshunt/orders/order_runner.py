"""Runs the reads and orders of the orders core as tasks."""

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
    """Return a link that gives up before ``SETTLE_SECONDS`` pass."""
    client = HttpClient(keeps_connections=False)
    return OrderClient(client, ORDER_SECONDS)


class OrderRunner:
    """Reads load reports and sends orders for one node."""

    def __init__(
        self,
        orders: Orders,
        link: OrderClient,
        check_pause: Callable[[], float],
    ) -> None:
        """Check for a pause of the process before every step."""
        self._orders = orders
        self._link = link
        self._check_pause = check_pause
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Run for as long as the process lives."""
        while True:
            for action in self._orders.list_due_reads(self._check_pause()):
                task = asyncio.ensure_future(self._read(action))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(_PLAN_SECONDS)

    async def _read(self, action: ReadLoad) -> None:
        result = await self._link.read_load(action.address)
        order = self._orders.handle_report(
            action,
            result,
            self._check_pause(),
        )
        if order is not None:
            await self._send(order)

    async def _send(self, action: SendOrder) -> None:
        self._check_pause()
        result: SendResult = NotSent('this node no longer keeps the target')
        if self._orders.may_send(action):
            result = await self._link.send_order(action.address, action.order)
        self._orders.handle_result(action, result, self._check_pause())
