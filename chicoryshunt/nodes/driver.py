"""Drives the cores with time."""

import asyncio
from collections.abc import Sequence

from chicoryshunt.nodes.core import Core
from chicoryshunt.nodes.mesh import Mesh
from chicoryshunt.nodes.pause import PauseDetector

TICK_SECONDS = 0.1


async def drive_cores(
    cores: Sequence[Core],
    mesh: Mesh,
    pause_detector: PauseDetector,
) -> None:
    """Tick every core for as long as the process lives."""
    while True:
        now = pause_detector.check()
        for core in cores:
            mesh.send_all(core.tick(now))
        await asyncio.sleep(TICK_SECONDS)
