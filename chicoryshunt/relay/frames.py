"""Splits a byte stream into the server-sent events of a generation."""

from chicoryshunt.connection.event_stream import FrameBuffer, StreamDamage

_MAX_FRAME_BYTES = 262144
# Comments, blank lines, and events that have no number or repeat one.
_MAX_FILLER_BYTES = 65536
_ID_FIELD = b'id:'
_FRAME_END = b'\n\n'
_LINE_END = b'\n'
_NO_EVENT = -1
# Numbers of 64 bits have at most 19 digits; int() rejects very long ones.
_MAX_DIGITS = 19

NumberedFrames = list[tuple[int | None, bytes]]


class EventReader:
    """Buffers a byte stream and returns its complete events.

    The numbers of events increase. A target that sends something else for too
    long between two events sends no answer.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = FrameBuffer(_MAX_FRAME_BYTES)
        self._last_number = _NO_EVENT
        self._filler_bytes = 0

    @property
    def is_between_events(self) -> bool:
        """Return whether no event is partially received."""
        return self._buffer.is_empty

    def feed(self, piece: bytes) -> NumberedFrames | StreamDamage:
        """Return number and unchanged bytes of each event that is complete.

        What precedes an event is returned with it; what follows the last one
        is returned without a number.
        """
        frames = self._buffer.feed(piece)
        if isinstance(frames, StreamDamage):
            return frames
        events: NumberedFrames = []
        filler = bytearray()
        for frame in frames:
            number = parse_event_number(frame)
            if number is None:
                filler += frame + _FRAME_END
            if self._is_new(number):
                events.append((number, bytes(filler) + frame + _FRAME_END))
                filler.clear()
            elif self._exceeds_filler(frame):
                return StreamDamage.garbled
        if filler:
            events.append((None, bytes(filler)))
        return events

    def _is_new(self, number: int | None) -> bool:
        if number is None or number <= self._last_number:
            return False
        self._last_number = number
        self._filler_bytes = 0
        return True

    def _exceeds_filler(self, frame: bytes) -> bool:
        self._filler_bytes += len(frame) + len(_FRAME_END)
        return self._filler_bytes > _MAX_FILLER_BYTES


def parse_event_number(frame: bytes) -> int | None:
    """Return the number in the id of an event, ``None`` if it has none."""
    for line in frame.split(_LINE_END):
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            is_number = text.isdigit() and len(text) <= _MAX_DIGITS
            return int(text) if is_number else None
    return None
