"""Back pressure from a slow caller to the engine it reads from."""

from typing import Protocol


class Pausable(Protocol):
    """A transport whose reading can be paused."""

    def pauseProducing(self) -> None:
        """Stop reading."""

    def resumeProducing(self) -> None:
        """Read on."""


class FlowControl:
    """Producer for a caller's connection over changing engine connections."""

    def __init__(self) -> None:
        """Start open and without a source."""
        self.is_paused = False
        self._source: Pausable | None = None

    def attach(self, source: Pausable) -> None:
        """Control this source from now on."""
        self._source = source
        if self.is_paused:
            source.pauseProducing()

    def detach(self) -> None:
        """Control no source."""
        self._source = None

    def pauseProducing(self) -> None:
        """Stop reading from the engine."""
        self.is_paused = True
        if self._source is not None:
            self._source.pauseProducing()

    def resumeProducing(self) -> None:
        """Read on from the engine."""
        self.is_paused = False
        if self._source is not None:
            self._source.resumeProducing()

    def stopProducing(self) -> None:
        """Do nothing; the loss of the caller is told elsewhere."""
        self.is_paused = False
