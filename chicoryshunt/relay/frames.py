"""Splits a byte stream into the server-sent events of a generation."""

from chicoryshunt.connection.event_stream import FrameBuffer, StreamDamage

_MAX_FRAME_BYTES = 262144
_ID_FIELD = b'id:'
_FRAME_END = b'\n\n'
_LINE_END = b'\n'
_COMMENT_PREFIX = b':'


class EventReader:
    """Buffers a byte stream and returns its complete events."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = FrameBuffer(_MAX_FRAME_BYTES)

    @property
    def is_between_events(self) -> bool:
        """Return whether no event is partially received."""
        return self._buffer.is_empty

    def feed(
        self, piece: bytes
    ) -> list[tuple[int | None, bytes]] | StreamDamage:
        """Return number and unchanged bytes of each event that is complete."""
        frames = self._buffer.feed(piece)
        if isinstance(frames, StreamDamage):
            return frames
        return [
            (parse_event_number(frame), frame + _FRAME_END) for frame in frames
        ]


def is_comment(frame: bytes) -> bool:
    """Return whether a frame holds comments only, and no event."""
    return all(
        not line or line.startswith(_COMMENT_PREFIX)
        for line in frame.split(_LINE_END)
    )


def parse_event_number(frame: bytes) -> int | None:
    """Return the number in the id of an event, ``None`` if it has none."""
    for line in frame.split(_LINE_END):
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
