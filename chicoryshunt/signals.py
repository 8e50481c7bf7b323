"""Signals that stop a node or have it reload its settings."""

import signal
from typing import Final

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


def ignore_stop_signals() -> None:
    """Ignore further signals, so that they don't change the exit status."""
    for stop_signal in STOP_SIGNALS:
        signal.signal(stop_signal, signal.SIG_IGN)


def ignore_reloads() -> None:
    """Ignore SIGHUP, which ends a process that has no handler for it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
