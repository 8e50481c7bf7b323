"""Headers and JSON messages of the API for callers."""

from typing import Final

import msgspec

from chicoryshunt.types import VmId
from chicoryshunt.verdict import Verdict

TEAM_HEADER: Final = 'x-team'
VERDICT_HEADER: Final = 'x-verdict'
GENERATION_HEADER: Final = 'x-generation'
RESUME_HEADER: Final = 'x-resume'
RETRY_HEADER: Final = 'retry-after'
GRANT_HEADER: Final = 'x-grant'
ENTRIES_HEADER: Final = 'x-entries'
KEY_HEADER: Final = 'idempotency-key'
REQUEST_HEADER: Final = 'x-request'
RESUME_PATH: Final = '/v1/resume'
INCOMPLETE: Final = 'incomplete'


class Entry(msgspec.Struct, frozen=True):
    """Address of a node, host:port, that a caller may use."""

    vm: VmId
    address: str


class GrantOffer(msgspec.Struct, frozen=True):
    """Grant for requests that may not be repeated.

    ``address`` is the owner's host:port; the caller may start requests under
    the grant for ``keep_seconds``.
    """

    token: str
    address: str
    keep_seconds: float


class Entries(msgspec.Struct, frozen=True):
    """Addresses in order of preference, to be cached ``keep_seconds``."""

    entries: tuple[Entry, ...]
    keep_seconds: float
    grant: GrantOffer | None = None


class VerdictBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """JSON form of a verdict; ``retry_after`` is in seconds."""

    verdict: str
    reason: str
    detail: str
    retry_after: float | None = None


class AnswerEnd(msgspec.Struct, frozen=True, omit_defaults=True):
    """Data of the last event of an answer.

    ``ending`` is ``stop``, ``length`` or ``incomplete``; ``tokens`` counts
    the tokens of the generation; ``reason`` is set if it is incomplete.
    """

    ending: str
    tokens: int
    verdict: str
    reason: str = ''
    detail: str = ''


class Released(msgspec.Struct, frozen=True):
    """Tells whether this node relayed the generation that was resumed."""

    released: bool


def encode_verdict(verdict: Verdict) -> bytes:
    """Return the JSON form of a verdict."""
    return msgspec.json.encode(
        VerdictBody(
            verdict.run.value,
            verdict.reason.value,
            verdict.detail,
            verdict.retry_after,
        ),
    )


def encode_answer_end(end: AnswerEnd) -> bytes:
    """Return the server-sent event that ends an answer."""
    return b'event: end\ndata: %s\n\n' % msgspec.json.encode(end)
