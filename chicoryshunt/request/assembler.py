"""Puts the events of one generation in order, each token once."""

from dataclasses import dataclass
from enum import Enum

from chicoryshunt.connection.target_api import StreamEvent
from chicoryshunt.types import GenerationId


class Arrival(Enum):
    """Say what an event is to the stream so far."""

    fresh = 'fresh'
    duplicate = 'duplicate'
    foreign = 'foreign'
    gap = 'gap'
    end = 'end'


@dataclass(slots=True)
class Assembler:
    """Position in one generation's stream."""

    generation: GenerationId
    next_index: int = 0
    ending: str = ''

    def accept(self, event: StreamEvent) -> Arrival:
        """Classify an event and move the position past a fresh one."""
        if event.g != self.generation:
            return Arrival.foreign
        if self.ending:
            return Arrival.duplicate
        if event.i > self.next_index:
            return Arrival.gap
        if event.end:
            if event.i < self.next_index:
                return Arrival.duplicate
            self.ending = event.end
            return Arrival.end
        if event.i < self.next_index:
            return Arrival.duplicate
        self.next_index += len(event.t)
        return Arrival.fresh
