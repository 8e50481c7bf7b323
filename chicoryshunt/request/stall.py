"""Detects stalled streams with one timer for all of them."""

import asyncio
from typing import Protocol

STALL_SECONDS = 2.0
_SWEEP_SECONDS = 0.5


class Watched(Protocol):
    """Stream that may stall; it sets ``has_received`` on each chunk."""

    has_received: bool

    @property
    def is_paused(self) -> bool:
        """Return true if reading is paused by flow control."""

    def stall(self) -> None:
        """Stop reading because nothing was received."""


class StallWatch:
    """Sweeps over all streams, so that a chunk costs one attribute write."""

    def __init__(self, stall_seconds: float = STALL_SECONDS) -> None:
        """Create a watch; ``stall_seconds`` without data are a stall."""
        self._stall_seconds = stall_seconds
        self._silent_since: dict[Watched, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, stream: Watched) -> None:
        """Start to watch a stream."""
        loop = asyncio.get_running_loop()
        self._silent_since[stream] = loop.time()
        if self._timer is None:
            self._timer = loop.call_later(_SWEEP_SECONDS, self._sweep, loop)

    def discard(self, stream: Watched) -> None:
        """Stop watching a stream."""
        self._silent_since.pop(stream, None)

    def _sweep(self, loop: asyncio.AbstractEventLoop) -> None:
        now = loop.time()
        for stream, since in tuple(self._silent_since.items()):
            if stream.has_received or stream.is_paused:
                stream.has_received = False
                self._silent_since[stream] = now
            elif now - since >= self._stall_seconds:
                self.discard(stream)
                stream.stall()
        self._timer = None
        if self._silent_since:
            self._timer = loop.call_later(_SWEEP_SECONDS, self._sweep, loop)
