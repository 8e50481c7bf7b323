"""Authentication and replay protection of messages between nodes."""

import hashlib
import hmac
from enum import Enum

import msgspec

from chicoryshunt.types import Incarnation, VmId

_MAC_BYTES = 16
_REPLAY_WINDOW_BITS = 1024
_DEFAULT_KEY = b'open fleet on loopback'


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message between nodes with its sender and sequence number."""

    sender: VmId
    incarnation: Incarnation
    receiver: VmId
    sequence: int
    body: msgspec.Raw


class Purpose(Enum):
    """Use of the fleet key; separates the MACs of each use."""

    datagram = b'datagram'
    call = b'call'
    token = b'token'


class DropReason(Enum):
    """Reason for dropping an envelope."""

    forged = 'forged'
    malformed = 'malformed'
    misdirected = 'misdirected'
    replayed = 'replayed'


class Seal:
    """Creates and verifies envelopes with a MAC under the fleet key."""

    def __init__(
        self,
        key: bytes,
        vm: VmId,
        incarnation: Incarnation,
        purpose: Purpose,
    ) -> None:
        """Bind the seal to this node and one purpose of the key.

        Without a key, a built-in one detects damage but not forgery.
        """
        self._key = key or _DEFAULT_KEY
        self._purpose = purpose.value
        self._vm = vm
        self._incarnation = incarnation
        self._sequence = 0
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self._windows: dict[VmId, _ReplayWindow] = {}

    def seal(self, receiver: VmId, body: bytes) -> bytes:
        """Return the MAC and the encoded envelope of a message."""
        self._sequence += 1
        payload = self._encoder.encode(
            Envelope(
                self._vm,
                self._incarnation,
                receiver,
                self._sequence,
                msgspec.Raw(body),
            ),
        )
        return self._compute_mac(payload) + payload

    def open(self, sealed: bytes) -> Envelope | DropReason:
        """Verify and decode sealed bytes; reject a replayed envelope."""
        mac = sealed[:_MAC_BYTES]
        payload = sealed[_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._compute_mac(payload)):
            return DropReason.forged
        try:
            envelope = self._decoder.decode(payload)
        except msgspec.DecodeError:
            return DropReason.malformed
        if envelope.receiver != self._vm:
            return DropReason.misdirected
        if not self._is_fresh(envelope):
            return DropReason.replayed
        return envelope

    def raise_incarnation(self, incarnation: Incarnation) -> None:
        """Use this incarnation from now on, unless it is lower."""
        self._incarnation = max(self._incarnation, incarnation)

    def sign(self, text: bytes) -> bytes:
        """Return the MAC of a text, which every node can verify."""
        return self._compute_mac(text)

    def _is_fresh(self, envelope: Envelope) -> bool:
        window = self._windows.get(envelope.sender)
        if window is None or window.incarnation < envelope.incarnation:
            window = _ReplayWindow(envelope.incarnation)
            self._windows[envelope.sender] = window
        return window.accept(envelope.incarnation, envelope.sequence)

    def _compute_mac(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload,
            key=self._key,
            person=self._purpose,
            digest_size=_MAC_BYTES,
        ).digest()


class _ReplayWindow:
    """Replay window over the sequence numbers of a sender's incarnation."""

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self._highest = 0
        self._seen = 0

    def accept(self, incarnation: Incarnation, sequence: int) -> bool:
        if incarnation < self.incarnation:
            return False
        ahead = sequence - self._highest
        if ahead > 0:
            self._seen = (self._seen << min(ahead, _REPLAY_WINDOW_BITS)) | 1
            self._seen &= (1 << _REPLAY_WINDOW_BITS) - 1
            self._highest = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= _REPLAY_WINDOW_BITS or self._seen & bit:
            return False
        self._seen |= bit
        return True
