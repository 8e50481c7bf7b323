"""Authenticated envelopes for everything that nodes send each other."""

import hashlib
import hmac
from enum import Enum

import msgspec

from chicoryshunt.types import Incarnation, VmId

_MAC_BYTES = 16
_WINDOW_BITS = 1024
_OPEN_KEY = b'open fleet on loopback'


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message between nodes with its sender and sequence number."""

    sender: VmId
    incarnation: Incarnation
    receiver: VmId
    sequence: int
    body: msgspec.Raw


class Purpose(Enum):
    """Separate the uses of the fleet key."""

    datagram = b'datagram'
    call = b'call'
    token = b'token'


class DropReason(Enum):
    """Name why an envelope was dropped."""

    forged = 'forged'
    malformed = 'malformed'
    misdirected = 'misdirected'
    replayed = 'replayed'


class Seal:
    """Seals and opens envelopes under the fleet key."""

    def __init__(
        self,
        key: bytes,
        vm: VmId,
        incarnation: Incarnation,
        purpose: Purpose,
    ) -> None:
        """Bind the seal to this node and to one use of the key."""
        self._key = key or _OPEN_KEY
        self._purpose = purpose.value
        self._vm = vm
        self._incarnation = incarnation
        self._sequence = 0
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self._windows: dict[VmId, _Window] = {}

    def seal(self, receiver: VmId, body: bytes) -> bytes:
        """Return the sealed bytes of one message."""
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
        """Check and decode sealed bytes; each envelope opens once."""
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
        """Seal under a higher incarnation from now on."""
        self._incarnation = max(self._incarnation, incarnation)

    def sign(self, text: bytes) -> bytes:
        """Return a MAC that every node of the fleet can check."""
        return self._compute_mac(text)

    def _is_fresh(self, envelope: Envelope) -> bool:
        window = self._windows.get(envelope.sender)
        if window is None or window.incarnation < envelope.incarnation:
            window = _Window(envelope.incarnation)
            self._windows[envelope.sender] = window
        return window.accept(envelope.incarnation, envelope.sequence)

    def _compute_mac(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload,
            key=self._key,
            person=self._purpose,
            digest_size=_MAC_BYTES,
        ).digest()


class _Window:
    """Sequence numbers seen from one incarnation of a sender."""

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self._highest = 0
        self._seen = 0

    def accept(self, incarnation: Incarnation, sequence: int) -> bool:
        if incarnation < self.incarnation:
            return False
        ahead = sequence - self._highest
        if ahead > 0:
            self._seen = (self._seen << min(ahead, _WINDOW_BITS)) | 1
            self._seen &= (1 << _WINDOW_BITS) - 1
            self._highest = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= _WINDOW_BITS or self._seen & bit:
            return False
        self._seen |= bit
        return True
