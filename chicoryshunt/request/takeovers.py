"""Notifies a generation's relay that another relay takes over."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from chicoryshunt.types import GenerationId


class Takeovers:
    """Tracks the generations that this node relays."""

    def __init__(self) -> None:
        """Create the registry without generations."""
        self._taken: dict[GenerationId, asyncio.Event] = {}

    @contextmanager
    def track(self, generation: GenerationId) -> Iterator[asyncio.Event]:
        """Yield an event that is set when another relay takes over."""
        taken = asyncio.Event()
        self._taken[generation] = taken
        try:
            yield taken
        finally:
            if self._taken.get(generation) is taken:
                self._taken.pop(generation)

    def take_over(self, generation: GenerationId) -> bool:
        """Stop this node's relay of a generation; return true if it had one."""
        taken = self._taken.pop(generation, None)
        if taken is None:
            return False
        taken.set()
        return True
