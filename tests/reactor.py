"""Helpers that run tests on the real reactor, over loopback."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from functools import cache
from typing import Any, TypeVar

from twisted.internet import asyncioreactor

from chicoryshunt.connection.loop_transport import open_server
from lab.standins.loopback import take_host

_TIMEOUT_SECONDS = 30
_Result = TypeVar('_Result')


@cache
def get_loop() -> asyncio.AbstractEventLoop:
    """Install the reactor once per process and return its loop."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    return loop


def run_on_reactor(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine; raise ``TimeoutError`` if it hangs."""
    loop = get_loop()
    return loop.run_until_complete(asyncio.wait_for(main, _TIMEOUT_SECONDS))


@asynccontextmanager
async def listen(factory: Any) -> AsyncIterator[str]:
    """Serve on a free loopback port and yield host:port."""
    server = await open_server(factory, take_host(), 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f'{host}:{port}'
    finally:
        server.close()
        factory.doStop()
