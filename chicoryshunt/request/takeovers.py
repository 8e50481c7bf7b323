"""Tells a generation's relay that its caller resumed elsewhere."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from chicoryshunt.types import GenerationId


class Takeovers:
    """The generations that this node relays, open to being taken over."""

    def __init__(self) -> None:
        """Start without generations."""
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
        """Stop this node's relay of a generation; say whether it had one."""
        taken = self._taken.pop(generation, None)
        if taken is None:
            return False
        taken.set()
        return True
