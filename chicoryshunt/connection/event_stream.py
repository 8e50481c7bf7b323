"""Parser of server-sent events with a limit on their size."""

from enum import Enum

import msgspec

from chicoryshunt.connection.target_api import StreamEvent, TokenEvent

_EVENT_SEPARATOR = b'\n\n'
_LINE_SEPARATOR = b'\n'
_DATA_PREFIX = b'data: '
_COMMENT_PREFIX = b':'


class StreamDamage(Enum):
    """Reason why the rest of an event stream cannot be parsed."""

    garbled = 'garbled'
    oversized = 'oversized'


class FrameBuffer:
    """Splits a byte stream into frames and buffers an incomplete one.

    After an oversized frame, the rest of the stream is never parsed.
    """

    def __init__(self, max_bytes: int) -> None:
        """Buffer at most ``max_bytes`` of an incomplete frame."""
        self._max_bytes = max_bytes
        self._partial = bytearray()
        self._is_damaged = False

    @property
    def is_empty(self) -> bool:
        """Return whether no incomplete frame is buffered."""
        return not self._partial and not self._is_damaged

    def feed(self, chunk: bytes) -> list[bytes] | StreamDamage:
        """Add a chunk and return the frames that it completes."""
        if self._is_damaged:
            return StreamDamage.oversized
        # A separator may begin with the last byte that was received before.
        unseen = max(len(self._partial) - 1, 0)
        self._partial += chunk
        frames: list[bytes] = []
        if self._partial.find(_EVENT_SEPARATOR, unseen) >= 0:
            frames = bytes(self._partial).split(_EVENT_SEPARATOR)
            self._partial = bytearray(frames.pop())
        if len(self._partial) > self._max_bytes:
            self._partial.clear()
            self._is_damaged = True
            return StreamDamage.oversized
        return frames


class EventDecoder:
    """Decodes the frames of a target's event stream."""

    def __init__(self) -> None:
        """Create a decoder, which has no state and fits every stream."""
        self._decode = msgspec.json.Decoder(StreamEvent).decode

    def decode(self, frame: bytes) -> StreamEvent | StreamDamage | None:
        """Return the event of a frame, ``None`` for a comment or nothing."""
        if not frame.startswith(_DATA_PREFIX):
            if not frame or frame.startswith(_COMMENT_PREFIX):
                return None
            return StreamDamage.garbled
        if _LINE_SEPARATOR in frame:
            return StreamDamage.garbled
        try:
            event = self._decode(frame[len(_DATA_PREFIX) :])
        except (msgspec.DecodeError, UnicodeDecodeError):
            return StreamDamage.garbled
        return event if event.i >= 0 else StreamDamage.garbled


def join_frames(frames: list[bytes]) -> bytes:
    """Return frames as bytes, each with its separator."""
    return _EVENT_SEPARATOR.join((*frames, b''))


def encode_tail(event: StreamEvent, start: int) -> bytes:
    """Return a frame with the tokens of an event from an index on."""
    tail = TokenEvent(event.g, start, event.t[start - event.i :])
    return _DATA_PREFIX + msgspec.json.encode(tail)
