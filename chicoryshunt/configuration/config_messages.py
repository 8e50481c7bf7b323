"""Messages by which the configuration spreads between nodes."""

import msgspec

from chicoryshunt.nodes.peers import Method
from chicoryshunt.types import Digest, LogPosition
from chicoryshunt.version.chain import Head

MAX_LINES_BYTES = 1024


class ConfigHead(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='config_head',
):
    """Say how far this node has folded the log.

    ``read_age_ms`` is the age of the latest successful read of the service
    by any node that the sender has heard of. A receiver answers when
    ``is_question`` is set.
    """

    head: Head
    read_age_ms: int
    is_question: bool


class ConfigLines(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='config_lines',
):
    """Carry lines of the log; ``last`` is the sender's last position."""

    position: LogPosition
    digest: Digest
    lines: tuple[bytes, ...]
    last: LogPosition


class ConfigOffer(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='config_offer',
):
    """Say that what the receiver misses has to be pulled by a call."""

    head: Head


class PullRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask for everything after a head."""

    head: Head


class PullAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Carry the lines that were missing, or an encoded snapshot."""

    position: LogPosition
    digest: Digest
    lines: tuple[bytes, ...] = ()
    snapshot: bytes = b''


PULL = Method('pull_configuration', PullRequest, PullAnswer)
