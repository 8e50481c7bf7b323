"""The one event loop: Twisted's reactor on asyncio, uvloop where it runs."""

import asyncio
from typing import Any, TypeVar

from twisted.internet import asyncioreactor
from twisted.internet.defer import Deferred

from chicoryshunt import env

_Result = TypeVar('_Result')


def install_reactor() -> None:
    """Install the reactor; call this before anything imports it."""
    asyncioreactor.install(_create_loop())


def get_reactor() -> Any:
    """Return the installed reactor."""
    from twisted.internet import reactor

    return reactor


def await_deferred(deferred: 'Deferred[_Result]') -> asyncio.Future[_Result]:
    """Return a future of the deferred on the running loop."""
    return deferred.asFuture(asyncio.get_event_loop())


def _create_loop() -> asyncio.AbstractEventLoop:
    if env.DISABLE_UVLOOP:
        event_loop = asyncio.new_event_loop()
    else:
        import uvloop

        event_loop = uvloop.new_event_loop()
    asyncio.set_event_loop(event_loop)
    return event_loop
