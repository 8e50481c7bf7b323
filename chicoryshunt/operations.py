"""Client of the HTTP API that nodes offer to operators."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import msgspec

from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
)
from chicoryshunt.connection.loop import get_reactor, install_reactor
from chicoryshunt.exceptions import CallError

_READ_TIMEOUT_SECONDS = 5.0

_Answer = TypeVar('_Answer')


class NodeAnswer(msgspec.Struct, frozen=True):
    """Answer of one node; ``error`` is set if it did not answer."""

    address: str
    body: bytes = b''
    error: str = ''


class OperatorClient:
    """Read-only client that queries a list of nodes."""

    def __init__(self, addresses: Sequence[str]) -> None:
        """Query the nodes at these addresses, ``host:port`` each."""
        self._addresses = tuple(addresses)
        self._client = HttpClient()

    async def read_status(self) -> list[NodeAnswer]:
        """Return the status of each node."""
        return await self._read_all('v1/status')

    async def explain(self, request: str) -> list[NodeAnswer]:
        """Return the decisions of each node on a request."""
        return await self._read_all(f'v1/explain/{request}')

    async def read_service_levels(self) -> list[NodeAnswer]:
        """Return the service levels that each node measured."""
        return await self._read_all('v1/service-levels')

    async def _read_all(self, path: str) -> list[NodeAnswer]:
        return list(
            await asyncio.gather(
                *(self._read(address, path) for address in self._addresses),
            ),
        )

    async def _read(self, address: str, path: str) -> NodeAnswer:
        try:
            _, body = await asyncio.wait_for(
                self._client.read('GET', f'http://{address}/{path}'),
                _READ_TIMEOUT_SECONDS,
            )
        except (NotConnectedError, BrokenError, TimeoutError) as error:
            return NodeAnswer(address, error=str(error) or 'timeout')
        return NodeAnswer(address, body)


def run_until_done(main: Callable[[], Awaitable[_Answer]]) -> _Answer:
    """Run a coroutine on a new reactor and return its result.

    Raises ``CallError`` if the reactor is stopped before the result.
    """
    install_reactor()
    reactor = get_reactor()
    answers: list[_Answer] = []
    errors: list[Exception] = []

    async def run() -> None:
        try:
            answers.append(await main())
        except Exception as error:
            errors.append(error)
        reactor.stop()

    reactor.callWhenRunning(lambda: asyncio.ensure_future(run()))
    reactor.run()
    if errors:
        raise errors[0]
    if not answers:
        raise CallError('interrupted')
    return answers[0]
