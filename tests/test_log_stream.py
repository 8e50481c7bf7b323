"""Tests of logging under load and with a slow reader."""

import os

from chicoryshunt.events import Sampler
from chicoryshunt.log_stream import LogStream


def _drain(reader: int, stream: LogStream) -> bytes:
    """Return everything buffered in the pipe and in the stream."""
    received = bytearray()
    while True:
        try:
            received += os.read(reader, 1 << 20)
        except BlockingIOError:
            return bytes(received)
        stream.flush()


def test_a_full_pipe_drops_lines_and_tells() -> None:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    stream = LogStream(writer)
    line = ''.join(('x' * 999, '\n'))
    for _ in range(1000):
        stream.write(line)
    dropped = stream.dropped
    received = _drain(reader, stream)
    stream.write('last\n')
    received += _drain(reader, stream)
    os.close(reader)
    os.close(writer)

    assert dropped
    note = f'event=log_lines_dropped count={dropped}\nlast\n'
    assert received.decode().endswith(note)
    assert received.count(b'x' * 999) == 1000 - dropped


def test_routine_events_are_bounded_and_counted() -> None:
    sampler = Sampler(100)
    admitted = [sampler.admit(step / 1000) for step in range(2000)]
    passed = [one for one in admitted if one is not None]

    assert len(passed) <= 301
    assert len(passed) + sum(passed) >= 1980
