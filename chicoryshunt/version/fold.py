"""Folds the patch log into the configuration, the same on every node."""

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
    """Say which version a patch made."""

    position: LogPosition
    version: ConfigVersion


class Rejected(msgspec.Struct, frozen=True, tag='rejected', tag_field='ruling'):
    """Say why a patch changed nothing."""

    position: LogPosition
    rejection: Rejection
    detail: str


PatchResult: TypeAlias = Accepted | Rejected


@dataclass(frozen=True, slots=True)
class FoldResult:
    """What one line of the log led to."""

    config: Config
    result: PatchResult


def fold_line(config: Config, line: bytes) -> FoldResult:
    """Fold the next line of the log; depends on nothing else."""
    position = LogPosition(config.position + 1)
    digest = chain_digest(config.digest, line)
    judged = check_patch(config, line)
    match judged:
        case Config():
            ruling: PatchResult = Accepted(position, judged.version)
            config = judged
        case Flaw(rejection=rejection, detail=detail):
            ruling = Rejected(position, rejection, detail)
    return FoldResult(
        msgspec.structs.replace(config, position=position, digest=digest),
        ruling,
    )


def check_patch(config: Config, line: bytes) -> Config | Flaw:
    """Return what a patch would make of this version, or its flaw."""
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
