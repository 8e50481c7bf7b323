"""Header names and paths of the platform's wire."""

from typing import Final

REQUEST_ID: Final = b'X-Chicoryshunt-Request-Id'
# Milliseconds that the sender waits; despite its name not a point in time.
TIMEOUT_MS: Final = b'X-Chicoryshunt-Deadline-Ms'
# Parts of the prompt, each ID:TOKENS; despite its name not a hash.
PROMPT_PARTS: Final = b'X-Chicoryshunt-Prefix-Hash'
# Number of prompt tokens and the maximum of generated tokens.
TOKEN_COUNTS: Final = b'X-Chicoryshunt-Token-Count'
LENGTH_ESTIMATE: Final = b'X-Chicoryshunt-Length-Hint'
MODEL: Final = b'X-Chicoryshunt-Model'
LAST_EVENT: Final = b'Last-Event-Id'
AUTHORIZATION: Final = b'Authorization'
# Proof that a target answered; returned to the caller unchanged.
RESPONSE_SEAL: Final = b'X-Chicoryshunt-Response-Seal'
NOT_RUN: Final = b'X-Chicoryshunt-Not-Executed'
TEAM: Final = b'X-Chicoryshunt-Tenant'
EXPECTED_TARGET: Final = b'X-Chicoryshunt-Expect-Instance'
# The target that answers a health check.
ANSWERING_TARGET: Final = b'X-Chicoryshunt-Instance-Id'
EXPECTED_WEIGHTS: Final = b'X-Chicoryshunt-Expect-Version'
PRIORITY: Final = b'X-Chicoryshunt-Request-Priority'
HOLDER: Final = b'X-Chicoryshunt-Kv-Backup'
# IP:PORT/NAME of the memory copy from which a run continues.
MEMORY_SOURCE: Final = b'Kv-From'
PREFIX_SOURCE: Final = b'Kv-Fetch'
PIN_MS: Final = b'X-Chicoryshunt-Pin-Ms'
HOLD: Final = b'X-Chicoryshunt-Hold'
HOST: Final = b'Host'
RETRY_AFTER: Final = b'Retry-After'
CONTENT_LENGTH: Final = b'Content-Length'
CONTENT_TYPE: Final = b'Content-Type'

READY_PATH: Final = '/chicoryshunt/ready'
RESOLVE_PATH: Final = '/chicoryshunt/resolve'
REPORT_PATH: Final = b'/chicoryshunt/report'
MOVE_PATH: Final = b'/chicoryshunt/kv-move'
HANDLE_PATH: Final = b'/chicoryshunt/kv-handle/'
RANGE_PATH: Final = '/chicoryshunt/kv-range'
WATCH_PATH: Final = '/chicoryshunt/kv-watch'

# Headers that apply to a single connection.
CONNECTION_HEADERS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    ),
)
# Headers that only this system sets; those of callers are dropped.
SYSTEM_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        TIMEOUT_MS,
        AUTHORIZATION,
        TEAM,
        EXPECTED_TARGET,
        EXPECTED_WEIGHTS,
        PRIORITY,
        HOLDER,
        MEMORY_SOURCE,
        PREFIX_SOURCE,
        PIN_MS,
        HOLD,
        LAST_EVENT,
    )
)
