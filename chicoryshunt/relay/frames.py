"""Server-sent events of a generation, cut from a byte stream."""

from chicoryshunt.connection.event_stream import FrameBuffer, StreamDamage

_MOST_FRAME_BYTES = 1048576
_ID_FIELD = b'id:'
_FRAME_END = b'\n\n'
_LINE_END = b'\n'


class EventReader:
    """Returns whole events with their numbers."""

    def __init__(self) -> None:
        """Start between two events."""
        self._buffer = FrameBuffer(_MOST_FRAME_BYTES)

    @property
    def is_between_events(self) -> bool:
        """Say whether no event is half received."""
        return self._buffer.is_empty

    def read(self, piece: bytes) -> list[tuple[int | None, bytes]]:
        """Return the events that are whole now, as they were sent."""
        frames = self._buffer.feed(piece)
        if isinstance(frames, StreamDamage):
            return []
        return [(find_number(frame), frame + _FRAME_END) for frame in frames]


def find_number(frame: bytes) -> int | None:
    """Return the number in the id of an event, if it has one."""
    for line in frame.split(_LINE_END):
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
