"""HTTP server with limits that runs one coroutine per request."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast
from weakref import WeakSet

from twisted.web import http, server
from twisted.web.resource import Resource

from chicoryshunt.connection.bounds import ServerBounds, ServerUsage
from chicoryshunt.connection.channel import BoundedChannel, BoundedRequest
from chicoryshunt.connection.relayed_exchange import RelayedExchange
from chicoryshunt.events import log_event, log_problem
from chicoryshunt.types import Reason
from chicoryshunt.verdict import build_uncertain

_CLOSE_POLL_SECONDS = 0.05

Handler = Callable[[RelayedExchange], Awaitable[None]]


class BoundedSite(server.Site):
    """Site that limits the resources of its callers."""

    protocol: Any = BoundedChannel

    def __init__(self, handler: Handler, bounds: ServerBounds) -> None:
        """Serve every request with ``handler``."""
        super().__init__(
            HandlerResource(handler),
            requestFactory=BoundedRequest,
        )
        self.usage = ServerUsage(bounds)
        self.channels: WeakSet[BoundedChannel] = WeakSet()

    def buildProtocol(self, addr: Any) -> Any:
        """Return a connection that shares the usage of this site."""
        channel = cast(Any, super().buildProtocol(addr))
        channel.usage = self.usage
        self.channels.add(channel)
        return channel

    def log(self, request: http.Request) -> None:
        """Write no access log, as events are logged instead."""


async def close_connections(site: BoundedSite) -> None:
    """Close each connection once it has no request in progress.

    There is no time limit, so that no request is cut. A connection that was
    just accepted has no transport yet and is closed once it is made.
    """
    site.usage.is_closing = True
    while site.usage.connections:
        for channel in tuple(site.channels):
            if channel.transport is not None and not channel.requests:
                channel.loseConnection()
        await asyncio.sleep(_CLOSE_POLL_SECONDS)


async def abort_connections(site: BoundedSite) -> None:
    """Abort all connections, with the requests in progress.

    A connection that outlives the serving loop takes requests that nobody
    reads. One that was just accepted is aborted once it is made.
    """
    site.usage.is_closing = True
    aborted = [one for one in site.channels if one.is_open]
    for channel in aborted:
        for request in channel.requests:
            log_event(
                'request_aborted',
                is_whole=request.is_whole,
                is_answered=bool(request.startedWriting),
            )
        channel.abort()
    # The loop closes the sockets in its next iteration.
    await asyncio.sleep(0)


class HandlerResource(Resource):
    """Resource that handles each request in a task."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, handler: Handler) -> None:
        """Handle every request with ``handler``."""
        super().__init__()
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()

    def render(self, request: server.Request) -> int:
        """Start the handler of a request."""
        task = asyncio.ensure_future(self._handle(RelayedExchange(request)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return server.NOT_DONE_YET

    async def _handle(self, exchange: RelayedExchange) -> None:
        try:
            await self._handler(exchange)
        except Exception as error:
            log_problem(
                'handler_failed',
                path=exchange.path,
                error=repr(error),
            )
            if exchange.is_started:
                exchange.abort()
            else:
                exchange.respond_verdict(
                    build_uncertain(Reason.internal_error, repr(error)),
                )
