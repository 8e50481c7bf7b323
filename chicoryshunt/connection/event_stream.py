"""Server-sent events: cut from a byte stream and decoded, within bounds."""

from enum import Enum

import msgspec

from chicoryshunt.connection.target_api import StreamEvent, TokenEvent

_EVENT_END = b'\n\n'
_LINE_END = b'\n'
_DATA = b'data: '
_COMMENT = b':'


class StreamDamage(Enum):
    """Name why an event stream cannot be read on."""

    garbled = 'garbled'
    oversized = 'oversized'


class FrameBuffer:
    """Cuts a byte stream into frames and keeps what is not whole yet."""

    def __init__(self, max_bytes: int) -> None:
        """Hold at most this many bytes of one unfinished frame."""
        self._max_bytes = max_bytes
        self._rest = b''

    @property
    def is_empty(self) -> bool:
        """Say whether every byte so far belongs to a whole frame."""
        return not self._rest

    def cut(self, chunk: bytes) -> list[bytes] | StreamDamage:
        """Return the frames that are whole now."""
        frames = (self._rest + chunk).split(_EVENT_END)
        self._rest = frames.pop()
        if len(self._rest) > self._max_bytes:
            self._rest = b''
            return StreamDamage.oversized
        return frames


class EventDecoder:
    """Decodes the frames of a target's event stream."""

    def __init__(self) -> None:
        """Prepare the decoder once; it may serve every stream."""
        self._decode = msgspec.json.Decoder(StreamEvent).decode

    def decode(self, frame: bytes) -> StreamEvent | StreamDamage | None:
        """Return the event of a frame, ``None`` for a comment."""
        if not frame.startswith(_DATA):
            if not frame or frame.startswith(_COMMENT):
                return None
            return StreamDamage.garbled
        if _LINE_END in frame:
            return StreamDamage.garbled
        try:
            event = self._decode(frame[len(_DATA) :])
        except (msgspec.DecodeError, UnicodeDecodeError):
            return StreamDamage.garbled
        return event if event.i >= 0 else StreamDamage.garbled


def join_frames(frames: list[bytes]) -> bytes:
    """Return the bytes that carry these frames."""
    return _EVENT_END.join((*frames, b''))


def encode_tail(event: StreamEvent, start: int) -> bytes:
    """Return the frame of an event's tokens from an index on."""
    tail = TokenEvent(event.g, start, event.t[start - event.i :])
    return _DATA + msgspec.json.encode(tail)
