"""Messages of the configuration gossip between nodes."""

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
    """Reports the head of the sender's log.

    ``read_age_ms`` is the age of the latest successful read of the service
    by any node, as far as the sender knows, or ``UNKNOWN_AGE_MS``. The
    receiver replies with its own head if ``is_question`` is set.
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
    """Carries the lines of the log that follow a position.

    ``digest`` is that of the position, ``last`` the sender's last position.
    """

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
    """Offers a log that the receiver has to pull by a call."""

    head: Head


class PullRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests everything after a head."""

    head: Head


class PullAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Carries the missing lines, or an encoded snapshot."""

    position: LogPosition
    digest: Digest
    lines: tuple[bytes, ...] = ()
    snapshot: bytes = b''


PULL = Method('pull_configuration', PullRequest, PullAnswer)
