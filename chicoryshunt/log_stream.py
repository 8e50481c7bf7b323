"""Log stream that never blocks the event loop."""

import os
from collections import deque

# Lines are buffered while the reader of the pipe is slow.
_MAX_BUFFERED_BYTES = 262144


class LogStream:
    """Non-blocking text stream over a file descriptor.

    While the pipe is full, lines are buffered up to a limit. Lines beyond it
    are dropped, and the next buffered line is preceded by a notice with the
    number of dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        """Set the descriptor to non-blocking mode and write to it."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write or buffer a line; drop it if the buffer is full."""
        line = text.encode('utf-8', 'backslashreplace')
        if self._pending_bytes + len(line) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._append(line)
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the pipe is full."""
        while self._pending:
            line = self._pending.popleft()
            self._pending_bytes -= len(line)
            written = self._try_write(line)
            if written < len(line):
                self._pending.appendleft(line[written:])
                self._pending_bytes += len(line) - written
                return

    def _append(self, line: bytes) -> None:
        if self.dropped:
            notice = b'level=WARNING event=log_lines_dropped count=%d\n'
            line = notice % self.dropped + line
            self.dropped = 0
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _try_write(self, line: bytes) -> int:
        try:
            return os.write(self._descriptor, line)
        except BlockingIOError:
            return 0
