"""Writes log lines without ever blocking the loop."""

import os
from collections import deque

# Lines that wait while the reader of the pipe is slow.
_MOST_BUFFERED_BYTES = 262144


class LogStream:
    """Text stream over a descriptor; what does not fit is counted.

    A full pipe makes lines wait, up to a bound; lines beyond it are dropped,
    and the next one that fits is preceded by a note that says how many.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to the descriptor, which no longer blocks."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._size = 0
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line, or keep it until the next one."""
        line = text.encode('utf-8', 'backslashreplace')
        if self._size + len(line) > _MOST_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._keep(line)
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self._waiting:
            line = self._waiting.popleft()
            self._size -= len(line)
            written = self._try_write(line)
            if written < len(line):
                self._waiting.appendleft(line[written:])
                self._size += len(line) - written
                return

    def _keep(self, line: bytes) -> None:
        if self.dropped:
            note = b'level=WARNING event=log_lines_dropped count=%d\n'
            line = note % self.dropped + line
            self.dropped = 0
        self._waiting.append(line)
        self._size += len(line)

    def _try_write(self, line: bytes) -> int:
        try:
            return os.write(self._descriptor, line)
        except BlockingIOError:
            return 0
