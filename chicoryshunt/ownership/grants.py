"""Owner grants: tokens that make one node the owner of requests."""

import base64
import binascii
import hashlib
import hmac
import secrets
from enum import Enum
from typing import NewType

import msgspec

from chicoryshunt.types import (
    DataCentreId,
    IdempotencyKey,
    Incarnation,
    VmId,
)

GRANT_LIFE_SECONDS = 60.0
GRANT_KEEP_SECONDS = 30.0
MAX_KEY_CHARACTERS = 128

RequestName = NewType('RequestName', bytes)

_MAC_BYTES = 16
_KEY_BYTES = 32
_NAME_BYTES = 16
_MAX_TOKEN_CHARACTERS = 512


class OwnerId(msgspec.Struct, frozen=True, array_like=True):
    """One process that grants: a VM, its data centre, its incarnation."""

    vm: VmId
    data_centre: DataCentreId
    incarnation: Incarnation


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """What a token says; ``minted`` is in seconds of the owner's clock."""

    owner_id: OwnerId
    serial: int
    minted: float


class SignedGrant(msgspec.Struct, frozen=True):
    """A decoded token whose MAC only its owner can check."""

    grant: Grant
    payload: bytes
    mac: bytes

    def is_genuine(self, key: bytes) -> bool:
        """Say whether the holder of the key minted this token."""
        return hmac.compare_digest(self.mac, _compute_mac(key, self.payload))

    def derive_name(self, key: IdempotencyKey) -> RequestName:
        """Return the name of the request that the caller's key makes."""
        return RequestName(
            hashlib.blake2b(
                key.encode(),
                key=self.mac,
                digest_size=_NAME_BYTES,
            ).digest(),
        )


class GrantDamage(Enum):
    """Name why a token cannot be read."""

    oversized = 'oversized'
    undecodable = 'undecodable'


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Grant)


class GrantIssuer:
    """Mints the grants of this process under a key of its own."""

    def __init__(self, origin: OwnerId, key: bytes = b'') -> None:
        """Draw a random key unless a test gives one."""
        self.owner_id = origin
        self.key = key or secrets.token_bytes(_KEY_BYTES)
        self._serial = 0

    def issue(self, now: float) -> str:
        """Return a fresh token."""
        self._serial += 1
        payload = _ENCODER.encode(Grant(self.owner_id, self._serial, now))
        token = _compute_mac(self.key, payload) + payload
        return base64.urlsafe_b64encode(token).decode()


def parse_grant(token: str) -> SignedGrant | GrantDamage:
    """Decode a token without checking its MAC."""
    if len(token) > _MAX_TOKEN_CHARACTERS:
        return GrantDamage.oversized
    try:
        return _decode(token)
    except (binascii.Error, ValueError):
        return GrantDamage.undecodable


def _decode(token: str) -> SignedGrant:
    raw = base64.b64decode(token, altchars=b'-_', validate=True)
    payload = raw[_MAC_BYTES:]
    return SignedGrant(_DECODER.decode(payload), payload, raw[:_MAC_BYTES])


def _compute_mac(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(
        payload,
        key=key,
        person=b'grant',
        digest_size=_MAC_BYTES,
    ).digest()
