"""Bounds of the HTTP server: connections, headers, bodies, in one place."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerBounds:
    """What callers may cost the process, in bytes, seconds and counts."""

    connections: int
    header_seconds: float
    body_bytes: int
    body_seconds: float
    open_bodies_bytes: int


class Usage:
    """What the open connections of one server hold."""

    def __init__(self, bounds: ServerBounds) -> None:
        """Start with nothing open."""
        self.bounds = bounds
        self.connections = 0
        self.bodies_bytes = 0

    @property
    def is_flooded(self) -> bool:
        """Say whether there are too many connections even to refuse one."""
        return self.connections >= 2 * self.bounds.connections

    def open_connection(self) -> bool:
        """Count a connection; say whether it is within bounds."""
        self.connections += 1
        return self.connections <= self.bounds.connections

    def close_connection(self) -> None:
        """Count a connection no longer."""
        self.connections -= 1

    def hold_body(self, size: int) -> bool:
        """Reserve memory for a part of a body; say whether it fits."""
        if self.bodies_bytes + size > self.bounds.open_bodies_bytes:
            return False
        self.bodies_bytes += size
        return True

    def drop_body(self, size: int) -> None:
        """Give back what was reserved for a body."""
        self.bodies_bytes -= size
