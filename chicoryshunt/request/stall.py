"""Notices streams that went silent, with one timer for all of them."""

import asyncio
from typing import Protocol

STALL_SECONDS = 2.0
_SWEEP_SECONDS = 0.5


class Watched(Protocol):
    """A stream that may go silent."""

    heard: bool

    @property
    def is_paused(self) -> bool:
        """Say whether reading is held back on purpose."""

    def stall(self) -> None:
        """Stop reading, for nothing was heard."""


class StallWatch:
    """Sweeps over every stream; a token costs one attribute write."""

    def __init__(self, stall_seconds: float = STALL_SECONDS) -> None:
        """Call a stream stalled after this many silent seconds."""
        self._stall_seconds = stall_seconds
        self._silent_since: dict[Watched, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, stream: Watched) -> None:
        """Watch a stream from now on."""
        loop = asyncio.get_running_loop()
        self._silent_since[stream] = loop.time()
        if self._timer is None:
            self._timer = loop.call_later(_SWEEP_SECONDS, self._sweep, loop)

    def discard(self, stream: Watched) -> None:
        """Watch a stream no longer."""
        self._silent_since.pop(stream, None)

    def _sweep(self, loop: asyncio.AbstractEventLoop) -> None:
        now = loop.time()
        for stream, since in tuple(self._silent_since.items()):
            if stream.heard or stream.is_paused:
                stream.heard = False
                self._silent_since[stream] = now
            elif now - since >= self._stall_seconds:
                self.discard(stream)
                stream.stall()
        self._timer = None
        if self._silent_since:
            self._timer = loop.call_later(_SWEEP_SECONDS, self._sweep, loop)
