"""Tests of the detection of stalled streams."""

import asyncio
from dataclasses import dataclass

from chicoryshunt.request.stall import STALL_SECONDS, StallWatch
from tests.virtual_loop import run_virtual


@dataclass(eq=False)
class Stream:
    has_received: bool = False
    is_paused: bool = False
    stalls: int = 0

    def stall(self) -> None:
        self.stalls += 1


def test_only_silent_streams_stall() -> None:
    async def check() -> None:
        watch = StallWatch()
        silent, paused, active, discarded = (Stream() for _ in range(4))
        paused.is_paused = True
        for stream in (silent, paused, active, discarded):
            watch.add(stream)
        watch.discard(discarded)
        for _ in range(100):
            active.has_received = True
            await asyncio.sleep(STALL_SECONDS / 10)
        assert silent.stalls == 1
        assert not paused.stalls
        assert not active.stalls
        assert not discarded.stalls

    run_virtual(check())


def test_watch_without_streams_sets_no_timer() -> None:
    async def check() -> None:
        watch = StallWatch()
        stream = Stream()
        watch.add(stream)
        await asyncio.sleep(10)
        assert watch._timer is None
        watch.add(stream)
        await asyncio.sleep(10)
        assert stream.stalls == 2

    run_virtual(check())
