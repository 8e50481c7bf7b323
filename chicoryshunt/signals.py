"""Signals that stop a node."""

import signal
from typing import Final

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


def ignore_stop_signals() -> None:
    """Ignore further signals, so that they don't change the exit status."""
    for stop_signal in STOP_SIGNALS:
        signal.signal(stop_signal, signal.SIG_IGN)
