"""What a stand-in ran: by key, when, and how much at once."""

import time

import msgspec


class Run(msgspec.Struct, frozen=True, array_like=True):
    """One start; ``at`` is in seconds since the epoch."""

    key: str
    at: float


class RunLedger(msgspec.Struct):
    """Every start of one stand-in, and the most that ran at once."""

    runs: list[Run] = []
    running: int = 0
    peak: int = 0

    def begin(self, key: str) -> None:
        """Record a start."""
        self.runs.append(Run(key, time.time()))
        self.running += 1
        self.peak = max(self.peak, self.running)

    def end(self) -> None:
        """Record that one start is over."""
        self.running -= 1
