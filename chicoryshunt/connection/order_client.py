"""Client that reads the load of targets and sends them orders."""

from http import HTTPStatus
from typing import Any

import msgspec

from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
    read_body,
)
from chicoryshunt.connection.order_results import (
    NotSent,
    Obeyed,
    Outdated,
    ReadResult,
    SendResult,
    Throttled,
    Unanswered,
    Unreadable,
)
from chicoryshunt.connection.target_api import LoadReport, Order, OrderAnswer

_LOAD_SECONDS = 2.0
_MAX_ANSWER_BYTES = 65536
_DEFAULT_RETRY_SECONDS = 5.0


class OrderClient:
    """Reads loads and sends orders for the keeper of the targets."""

    def __init__(self, client: HttpClient, order_seconds: float) -> None:
        """Wait at most ``order_seconds`` for the answer to an order."""
        self._client = client
        self._order_seconds = order_seconds

    async def read_load(self, address: str) -> ReadResult:
        """Return the load report of a target."""
        try:
            status, body = await self._client.read(
                'GET',
                f'http://{address}/load',
                answer_seconds=_LOAD_SECONDS,
            )
        except (NotConnectedError, BrokenError) as error:
            return Unreadable(str(error))
        if status != HTTPStatus.OK:
            return Unreadable(f'status {status}')
        try:
            return msgspec.json.decode(body, type=LoadReport)
        except msgspec.DecodeError as error:
            return Unreadable(str(error))

    async def send_order(self, address: str, order: Order) -> SendResult:
        """Send an order and return the result."""
        try:
            return await self._send(address, order)
        except NotConnectedError as error:
            return NotSent(str(error))
        except BrokenError as error:
            return Unanswered(str(error))

    async def _send(self, address: str, order: Order) -> SendResult:
        response = await self._client.request(
            'POST',
            f'http://{address}/orders',
            msgspec.json.encode(order),
            answer_seconds=self._order_seconds,
        )
        body = await read_body(response, self._order_seconds, _MAX_ANSWER_BYTES)
        if response.code == HTTPStatus.TOO_MANY_REQUESTS:
            return Throttled(_parse_retry_after(response.headers))
        try:
            answer = msgspec.json.decode(body, type=OrderAnswer)
        except msgspec.DecodeError as error:
            return Unanswered(f'status {response.code}: {error}')
        if answer.accepted:
            return Obeyed(answer.fence)
        return Outdated(answer.fence)


def _parse_retry_after(headers: Any) -> float:
    values = headers.getRawHeaders('retry-after', [''])
    try:
        return max(0, float(values[0]))
    except ValueError:
        return _DEFAULT_RETRY_SECONDS
