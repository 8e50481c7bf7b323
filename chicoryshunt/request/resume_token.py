"""Signed token with which a caller resumes its generation on any node."""

import hmac
from base64 import b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from collections.abc import Callable

import msgspec

from chicoryshunt.types import (
    GenerationId,
    ModelId,
    Reason,
    RequestId,
    TargetId,
    TeamId,
    VmId,
)
from chicoryshunt.verdict import Verdict, refuse

MAC_BYTES = 16
_MAX_TOKEN_BYTES = 2048
_ALTERNATIVES = b'-_'

Sign = Callable[[bytes], bytes]


class ResumeToken(msgspec.Struct, frozen=True, array_like=True):
    """Location of a generation; ``vm`` is the node that relays it."""

    vm: VmId
    target: TargetId
    generation: GenerationId
    model: ModelId
    team: TeamId
    request: RequestId


def encode_token(token: ResumeToken, sign: Sign) -> str:
    """Return the signed text of a token."""
    payload = msgspec.msgpack.encode(token)
    return urlsafe_b64encode(sign(payload) + payload).decode()


def decode_token(text: str, sign: Sign) -> ResumeToken | Verdict:
    """Return the token of a text, or why it is refused."""
    if not text:
        return refuse(Reason.bad_request, 'no resume token')
    if len(text) > _MAX_TOKEN_BYTES:
        return refuse(Reason.token_forged, 'resume token is too long')
    try:
        signed = b64decode(text.encode('ascii'), _ALTERNATIVES, validate=True)
    except (Base64Error, UnicodeEncodeError):
        return refuse(Reason.token_forged, 'resume token is not base64')
    mac = signed[:MAC_BYTES]
    payload = signed[MAC_BYTES:]
    if not hmac.compare_digest(mac, sign(payload)):
        return refuse(Reason.token_forged, 'resume token is not of this fleet')
    try:
        return msgspec.msgpack.decode(payload, type=ResumeToken)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return refuse(Reason.token_forged, 'resume token is not readable')
