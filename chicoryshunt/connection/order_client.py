"""Requests to one target: read its load, give it an order."""

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
_ANSWER_BYTES = 65536
_RETRY_SECONDS = 5.0


class OrderClient:
    """Talks to targets on behalf of their keeper."""

    def __init__(self, client: HttpClient, order_seconds: float) -> None:
        """Give up an order's answer after some seconds."""
        self._client = client
        self._seconds = order_seconds

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
        """Give an order and return what came of it."""
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
            answer_seconds=self._seconds,
        )
        body = await read_body(response, self._seconds, _ANSWER_BYTES)
        if response.code == HTTPStatus.TOO_MANY_REQUESTS:
            return Throttled(_read_retry(response.headers))
        try:
            answer = msgspec.json.decode(body, type=OrderAnswer)
        except msgspec.DecodeError as error:
            return Unanswered(f'status {response.code}: {error}')
        if answer.accepted:
            return Obeyed(answer.fence)
        return Outdated(answer.fence)


def _read_retry(headers: Any) -> float:
    values = headers.getRawHeaders('retry-after', [''])
    try:
        return max(0, float(values[0]))
    except ValueError:
        return _RETRY_SECONDS
