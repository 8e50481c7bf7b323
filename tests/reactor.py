"""Runs coroutines of tests on the real reactor, on loopback."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from functools import cache
from typing import Any, TypeVar

from twisted.internet import asyncioreactor

from chicoryshunt.connection.loop import await_deferred, get_reactor

_LIMIT_SECONDS = 30
_Result = TypeVar('_Result')


@cache
def get_loop() -> asyncio.AbstractEventLoop:
    """Install the reactor once a process and return its loop."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    return loop


def run_on_reactor(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine; one that hangs fails."""
    loop = get_loop()
    return loop.run_until_complete(asyncio.wait_for(main, _LIMIT_SECONDS))


@asynccontextmanager
async def listen(factory: Any) -> AsyncIterator[str]:
    """Listen on a free port of loopback and yield host:port."""
    listener = get_reactor().listenTCP(0, factory, interface='127.0.0.1')
    try:
        yield f'127.0.0.1:{listener.getHost().port}'
    finally:
        await await_deferred(listener.stopListening())
