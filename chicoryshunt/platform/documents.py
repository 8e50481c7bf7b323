"""Decodes JSON documents of the platform, whatever their writer put in."""

from dataclasses import dataclass
from typing import TypeVar

import msgspec

_Document = TypeVar('_Document')


@dataclass(frozen=True, slots=True)
class Undecodable:
    """A document that can't be decoded, and the reason."""

    reason: str


def decode_document(
    text: bytes | msgspec.Raw, kind: type[_Document]
) -> _Document | Undecodable:
    """Decode a JSON document into a type."""
    try:
        return msgspec.json.decode(text, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        # Deep nesting raises RecursionError, also in a field that is skipped.
        return Undecodable(repr(error))
