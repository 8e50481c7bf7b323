"""Bounds the memory of all answers that a process is receiving."""

from collections.abc import Iterator
from contextlib import contextmanager


class AnswerBuffer:
    """Received part of one answer; it is dropped if memory is needed."""

    def __init__(self) -> None:
        """Start empty."""
        self.size = 0
        self.is_dropped = False
        self._chunks: list[bytes] = []

    def append(self, chunk: bytes) -> None:
        """Add received bytes."""
        self._chunks.append(chunk)
        self.size += len(chunk)

    def drop(self) -> None:
        """Free the memory of an answer that will not be complete."""
        self._chunks.clear()
        self.size = 0
        self.is_dropped = True

    def join(self) -> bytes:
        """Return all bytes."""
        return b''.join(self._chunks)


class AnswerBuffers:
    """Buffers of the answers that are received at the same time.

    Load pattern: a faulty target sends bodies without end to many calls at
    once. The largest answer gives way, so that others are still received.
    """

    def __init__(self, max_bytes: int) -> None:
        """Hold at most ``max_bytes`` of all answers together."""
        self._max_bytes = max_bytes
        self._size = 0
        self._open: list[AnswerBuffer] = []

    @contextmanager
    def open(self) -> Iterator[AnswerBuffer]:
        """Yield a buffer that counts until the block ends."""
        buffer = AnswerBuffer()
        self._open.append(buffer)
        try:
            yield buffer
        finally:
            self._open.remove(buffer)
            self._size -= buffer.size

    def append(self, buffer: AnswerBuffer, chunk: bytes) -> None:
        """Add bytes to a buffer, and drop the largest while there are too many.

        The buffer itself may be dropped.
        """
        buffer.append(chunk)
        self._size += len(chunk)
        while self._size > self._max_bytes:
            largest = max(self._open, key=lambda one: one.size)
            self._size -= largest.size
            largest.drop()
