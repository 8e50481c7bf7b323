"""Orders the events of one generation so that each token passes once."""

from dataclasses import dataclass
from enum import Enum

from chicoryshunt.connection.target_api import StreamEvent
from chicoryshunt.types import GenerationId


class Arrival(Enum):
    """Relation of an event to the position reached in its stream."""

    fresh = 'fresh'
    overlap = 'overlap'
    duplicate = 'duplicate'
    foreign = 'foreign'
    gap = 'gap'
    end = 'end'


_FRESH = Arrival.fresh


@dataclass(slots=True)
class Assembler:
    """Tracks the position in one generation's stream.

    ``end_index`` is the number of tokens that the end event states, or -1
    before it.
    """

    generation: GenerationId
    next_index: int = 0
    ending: str = ''
    end_index: int = -1

    def accept(self, event: StreamEvent) -> Arrival:
        """Classify an event and advance the position past its new tokens.

        An ``overlap`` begins before the position and ends past it; only its
        tokens from the old position on are new.
        """
        if event.g != self.generation:
            return Arrival.foreign
        if self.ending:
            return Arrival.duplicate
        if event.i > self.next_index:
            return Arrival.gap
        if event.end:
            return self._accept_end(event)
        stop = event.i + len(event.t)
        if stop <= self.next_index:
            return Arrival.duplicate
        is_whole = event.i == self.next_index
        self.next_index = stop
        return _FRESH if is_whole else Arrival.overlap

    def _accept_end(self, event: StreamEvent) -> Arrival:
        if event.i < self.next_index:
            return Arrival.duplicate
        self.ending = event.end
        self.end_index = event.i
        return Arrival.end
