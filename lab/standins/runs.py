"""Ledger of the runs of a stand-in."""

import time

import msgspec


class Run(msgspec.Struct, frozen=True, array_like=True):
    """Start of a run; ``at`` is in seconds since the epoch."""

    key: str
    at: float


class RunLedger(msgspec.Struct):
    """All runs of one stand-in, and the peak of concurrent runs."""

    runs: list[Run] = []
    running: int = 0
    peak: int = 0

    def begin(self, key: str) -> None:
        """Record the start of a run."""
        self.runs.append(Run(key, time.time()))
        self.running += 1
        self.peak = max(self.peak, self.running)

    def end(self) -> None:
        """Record the end of a run."""
        self.running -= 1
