"""Open connections of callers, so that a planned stop can wait for them."""

import asyncio
from typing import Any, cast

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel

_POLL_SECONDS = 0.05


class TrackedChannel(HTTPChannel):
    """HTTP connection that its site knows while it is open."""

    def connectionMade(self) -> None:
        """Join the site's channels."""
        super().connectionMade()
        self._tracked.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Leave the site's channels."""
        self._tracked.discard(self)
        super().connectionLost(reason)

    @property
    def is_idle(self) -> bool:
        """Say whether no request is under way."""
        return not self.requests

    @property
    def _tracked(self) -> 'set[TrackedChannel]':
        return cast('set[TrackedChannel]', cast(Any, self).site.channels)


async def close_channels(channels: 'set[TrackedChannel]') -> None:
    """Close each connection once it is idle and its answers are sent.

    There is no time limit: a request that is under way is not cut.
    """
    while channels:
        for channel in tuple(channels):
            if channel.is_idle:
                channel.loseConnection()
        await asyncio.sleep(_POLL_SECONDS)
