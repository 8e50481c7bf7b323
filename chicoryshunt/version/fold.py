"""Folds the patch log into the configuration, alike on every node."""

from dataclasses import dataclass
from hashlib import blake2b
from typing import TypeAlias

import msgspec

from chicoryshunt.types import ConfigVersion, Digest, LogPosition
from chicoryshunt.version.config import Config
from chicoryshunt.version.draft import apply_patch
from chicoryshunt.version.patch import Flaw, Patch, Rejection, parse_patch

_DIGEST_BYTES = 16


class Accepted(msgspec.Struct, frozen=True, tag='accepted', tag_field='ruling'):
    """An accepted patch and the version that it made."""

    position: LogPosition
    version: ConfigVersion


class Rejected(msgspec.Struct, frozen=True, tag='rejected', tag_field='ruling'):
    """A rejected patch and the reason."""

    position: LogPosition
    rejection: Rejection
    detail: str


PatchResult: TypeAlias = Accepted | Rejected


@dataclass(frozen=True, slots=True)
class FoldResult:
    """Configuration after one line of the log, and the result of the line."""

    config: Config
    result: PatchResult


def fold_line(config: Config, line: bytes) -> FoldResult:
    """Fold the next line of the log; depend on the arguments only."""
    position = LogPosition(config.position + 1)
    digest = chain_digest(config.digest, line)
    checked = check_patch(config, line)
    match checked:
        case Config():
            result: PatchResult = Accepted(position, checked.version)
            config = checked
        case Flaw(rejection=rejection, detail=detail):
            result = Rejected(position, rejection, detail)
    return FoldResult(
        msgspec.structs.replace(config, position=position, digest=digest),
        result,
    )


def check_patch(config: Config, line: bytes) -> Config | Flaw:
    """Return the version that a patch would make, or its flaw."""
    patch = parse_patch(line)
    match patch:
        case Flaw():
            return patch
        case Patch(base=base) if base != config.version:
            return Flaw(
                Rejection.not_current,
                f'made against version {base}, not {config.version}',
            )
        case Patch():
            return apply_patch(config, patch)


def chain_digest(digest: Digest, line: bytes) -> Digest:
    """Return the digest of a log after one more line."""
    hashed = blake2b(digest.encode(), digest_size=_DIGEST_BYTES)
    hashed.update(line)
    return Digest(hashed.hexdigest())


def hash_bytes(text: bytes) -> Digest:
    """Return the digest of a published value."""
    return Digest(blake2b(text, digest_size=_DIGEST_BYTES).hexdigest())
