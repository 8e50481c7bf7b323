"""What operators ask of nodes, as a public API over HTTP."""

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

_READ_SECONDS = 5.0

_Answer = TypeVar('_Answer')


class NodeAnswer(msgspec.Struct, frozen=True):
    """What one node answered; ``error`` is set when it did not."""

    address: str
    body: bytes = b''
    error: str = ''


class OperatorClient:
    """Asks nodes what they know; changes nothing."""

    def __init__(self, addresses: Sequence[str]) -> None:
        """Ask the nodes at these addresses, host:port each."""
        self._addresses = tuple(addresses)
        self._client = HttpClient()

    async def read_status(self) -> list[NodeAnswer]:
        """Return every node's status."""
        return await self._read_all('v1/status')

    async def explain(self, request: str) -> list[NodeAnswer]:
        """Return what each node decided for a request."""
        return await self._read_all(f'v1/explain/{request}')

    async def read_service_levels(self) -> list[NodeAnswer]:
        """Return every node's service-level windows."""
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
                _READ_SECONDS,
            )
        except (NotConnectedError, BrokenError, TimeoutError) as error:
            return NodeAnswer(address, error=str(error) or 'timeout')
        return NodeAnswer(address, body)


def run_until_done(main: Callable[[], Awaitable[_Answer]]) -> _Answer:
    """Run a coroutine on a fresh reactor and return its answer."""
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
