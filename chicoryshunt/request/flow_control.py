"""Applies back pressure of a slow caller to the engine's connection."""

from typing import Protocol


class Pausable(Protocol):
    """Transport whose reading can be paused."""

    def pauseProducing(self) -> None:
        """Pause reading."""

    def resumeProducing(self) -> None:
        """Resume reading."""


class FlowControl:
    """Producer for a caller's connection; its source may be replaced."""

    def __init__(self) -> None:
        """Start unpaused and without a source."""
        self.is_paused = False
        self._source: Pausable | None = None

    def attach(self, source: Pausable) -> None:
        """Set the source to pause; pause it at once if the caller is slow."""
        self._source = source
        if self.is_paused:
            source.pauseProducing()

    def detach(self) -> None:
        """Remove the source."""
        self._source = None

    def pauseProducing(self) -> None:
        """Pause reading from the engine."""
        self.is_paused = True
        if self._source is not None:
            self._source.pauseProducing()

    def resumeProducing(self) -> None:
        """Resume reading from the engine."""
        self.is_paused = False
        if self._source is not None:
            self._source.resumeProducing()

    def stopProducing(self) -> None:
        """Clear the pause; ``wait_disconnected`` reports the lost caller."""
        self.is_paused = False
