"""Messages of the API that targets serve."""

import msgspec


class GenerateOrder(msgspec.Struct, frozen=True):
    """Request for one generation."""

    request: str
    model: str
    prompt: str
    max_tokens: int
    prompt_tokens: int = 1
    priority: int = 0
    prefix: str = ''


class TokenEvent(msgspec.Struct, frozen=True):
    """Tokens ``t`` of the generation ``g``; the first has index ``i``."""

    g: str
    i: int
    t: tuple[str, ...]


class EndEvent(msgspec.Struct, frozen=True):
    """End of the generation ``g`` after ``i`` tokens."""

    g: str
    i: int
    end: str


class StreamEvent(msgspec.Struct, frozen=True):
    """A token event or, when ``end`` is set, an end event."""

    g: str
    i: int
    t: tuple[str, ...] = ()
    end: str = ''


class Accepted(msgspec.Struct, frozen=True):
    """Tells that a request was accepted."""

    generation: str


class NotAccepted(msgspec.Struct, frozen=True):
    """Tells that a request was rejected and did not run."""

    reason: str
    accepted: bool = False


class LoadReport(msgspec.Struct, frozen=True):
    """Load of an engine at the past time ``at``.

    ``start`` changes when the engine restarts; ``preemptions`` and ``tokens``
    count since then. ``is_loading`` is set while an order is executed.
    """

    start: int
    at: float
    running: int
    waiting: int
    memory_used: int
    memory_tokens: int
    step_ms: float
    preemptions: int
    tokens: int = 0
    fence: int = 0
    role: str = 'both'
    model_version: str = ''
    adapters: tuple[str, ...] = ()
    is_loading: bool = False


class CacheEvent(msgspec.Struct, frozen=True):
    """Tells that a prompt prefix entered or left an engine's cache."""

    prefix: str
    held: bool


class CacheEvents(msgspec.Struct, frozen=True):
    """Latest cache events of an engine, delayed and possibly with gaps."""

    events: tuple[CacheEvent, ...]


class Order(msgspec.Struct, frozen=True):
    """Orders an engine what to load; ``fence`` is the fencing number."""

    fence: int
    model_version: str
    adapters: tuple[str, ...] = ()
    role: str = 'both'


class OrderAnswer(msgspec.Struct, frozen=True):
    """Answer to an order with the highest fencing number seen."""

    accepted: bool
    fence: int


class _Refusal(msgspec.Struct, frozen=True):
    """Refusal in which both fields are required."""

    reason: str
    accepted: bool


def decode_not_accepted(body: bytes) -> NotAccepted | None:
    """Return the refusal in a body, ``None`` if it is no explicit one."""
    try:
        refusal = msgspec.json.decode(body, type=_Refusal)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return None if refusal.accepted else NotAccepted(refusal.reason)
