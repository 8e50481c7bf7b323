"""Twisted's reactor on the asyncio event loop of the process."""

import asyncio
from typing import Any, TypeVar

from twisted.internet import asyncioreactor
from twisted.internet.defer import Deferred

_Result = TypeVar('_Result')


def install_reactor() -> None:
    """Install the reactor; call this before any import of it."""
    asyncioreactor.install(_create_loop())


def get_reactor() -> Any:
    """Return the installed reactor."""
    from twisted.internet import reactor

    return reactor


def await_deferred(deferred: 'Deferred[_Result]') -> asyncio.Future[_Result]:
    """Return a future of the deferred on the current loop."""
    return deferred.asFuture(asyncio.get_event_loop())


def _create_loop() -> asyncio.AbstractEventLoop:
    event_loop = asyncio.SelectorEventLoop()
    asyncio.set_event_loop(event_loop)
    return event_loop
