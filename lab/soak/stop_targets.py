"""Targets of the soak of planned stops, which record when they work."""

import asyncio
import math
import time
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from typing import Any, cast

from chicoryshunt.connection.relayed_exchange import RelayedExchange
from lab.soak.lost import Span
from lab.standins.platform_targets import StandInEngine, StandInService

TOKENS_PER_EVENT = 4
_EVENT_SECONDS = 0.03
# Calls that take longer are rare.
_WORK_SECONDS = (0.045, 0.045, 0.045, 0.045, 0.9, 3.0)
# Shares of streams that only the end of their connection delimits, and of
# those that pause.
_UNFRAMED_SHARE = 0.3
_PAUSE_SHARE = 0.15
_PAUSE_SECONDS = 5.0


class Timings:
    """When targets worked on each request."""

    def __init__(self) -> None:
        """Start without requests."""
        self.spans: dict[str, list[Span]] = {}

    @contextmanager
    def measure(self, request: str) -> Iterator[None]:
        """Record the time of the block as work on a request."""
        spans = self.spans.setdefault(request, [])
        number = len(spans)
        started = time.monotonic()
        # The work may outlast the soak.
        spans.append(Span(started, math.inf))
        try:
            yield
        finally:
            spans[number] = Span(started, time.monotonic())


class TimedEngine(StandInEngine):
    """Engine that writes as many tokens as a request asks for.

    The id of a request selects whether its answer is unframed, or pauses.
    """

    def __init__(self, name: str, timings: Timings) -> None:
        """Record its work in ``timings``."""
        super().__init__(name, {})
        self._timings = timings

    async def _stream(
        self, exchange: RelayedExchange, request: str, last: int
    ) -> None:
        tokens = int(
            exchange.get_header('x-chicoryshunt-token-count').split(',')[1]
        )
        draw = Random(request)
        if draw.random() < _UNFRAMED_SHARE:
            cast(Any, exchange)._request.clientproto = b'HTTP/1.0'
            exchange.close_after()
        events = tokens // TOKENS_PER_EVENT
        pause = events // 2 if draw.random() < _PAUSE_SHARE else events
        with self._timings.measure(request):
            for number in range(last, events):
                if number == pause:
                    await asyncio.sleep(_PAUSE_SECONDS)
                if not exchange.is_open:
                    return
                exchange.write(b'id: %d\ndata: tokens\n\n' % (number + 1))
                await asyncio.sleep(_EVENT_SECONDS)
        exchange.finish()


class TimedService(StandInService):
    """Service that works for some time on each call."""

    def __init__(self, name: str, timings: Timings) -> None:
        """Record its work in ``timings``."""
        super().__init__(name)
        self._timings = timings

    async def _answer(self, exchange: RelayedExchange, request: str) -> None:
        with self._timings.measure(request):
            await asyncio.sleep(Random(request).choice(_WORK_SECONDS))
        await super()._answer(exchange, request)
