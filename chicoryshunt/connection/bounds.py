"""Limits of the HTTP server on connections, headers and bodies."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerBounds:
    """Limits on the resources of one HTTP server.

    ``header_seconds`` and ``body_seconds`` bound how long the headers and the
    body of a request may take to arrive; ``body_bytes`` is the maximum size
    of one body, ``open_bodies_bytes`` that of all bodies held at once.
    """

    connections: int
    header_seconds: float
    body_bytes: int
    body_seconds: float
    open_bodies_bytes: int


class ServerUsage:
    """Tracks the open connections and buffered bodies of one server."""

    def __init__(self, bounds: ServerBounds) -> None:
        """Start without connections."""
        self.bounds = bounds
        self.connections = 0
        self.bodies_bytes = 0
        # Whether connections are closed after the requests in progress.
        self.is_closing = False

    @property
    def is_at_hard_limit(self) -> bool:
        """Return whether there are too many connections to send refusals."""
        return self.connections >= 2 * self.bounds.connections

    def add_connection(self) -> bool:
        """Count a new connection; return whether it is within the limit."""
        self.connections += 1
        return self.connections <= self.bounds.connections

    def remove_connection(self) -> None:
        """Stop counting a closed connection."""
        self.connections -= 1

    def reserve_body(self, size: int) -> bool:
        """Reserve bytes for a part of a body; return whether they fit."""
        if self.bodies_bytes + size > self.bounds.open_bodies_bytes:
            return False
        self.bodies_bytes += size
        return True

    def release_body(self, size: int) -> None:
        """Release bytes that were reserved for a body."""
        self.bodies_bytes -= size
