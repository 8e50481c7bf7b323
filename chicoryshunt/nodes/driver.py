"""Periodic ticks of the cores."""

import asyncio
from collections.abc import Sequence

from chicoryshunt.failures import contain_failure
from chicoryshunt.nodes.core import Core
from chicoryshunt.nodes.mesh import Mesh
from chicoryshunt.nodes.pause import PauseDetector

TICK_SECONDS = 0.1


async def drive_cores(
    cores: Sequence[Core],
    mesh: Mesh,
    pause_detector: PauseDetector,
) -> None:
    """Tick every core and send its messages, until cancelled."""
    while True:
        now = pause_detector.check()
        for core in cores:
            with contain_failure('tick_failed', core=type(core).__name__):
                mesh.send_all(core.tick(now))
        await asyncio.sleep(TICK_SECONDS)
