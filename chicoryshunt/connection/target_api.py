"""Messages of a target's published interface."""

import msgspec


class GenerateOrder(msgspec.Struct, frozen=True):
    """Ask an engine for one generation."""

    request: str
    model: str
    prompt: str
    max_tokens: int
    prompt_tokens: int = 1
    priority: int = 0
    prefix: str = ''


class TokenEvent(msgspec.Struct, frozen=True):
    """Tokens of one generation; ``i`` is the index of the first."""

    g: str
    i: int
    t: tuple[str, ...]


class EndEvent(msgspec.Struct, frozen=True):
    """End of one generation after ``i`` tokens."""

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
    """Say that a request was taken."""

    generation: str


class NotAccepted(msgspec.Struct, frozen=True):
    """Say that a request was not taken and did not run."""

    reason: str
    accepted: bool = False


class LoadReport(msgspec.Struct, frozen=True):
    """Load of an engine at a past moment; ``start`` changes when it starts.

    ``preemptions`` and ``tokens`` count since the start.
    ``is_loading`` is set while an order is being carried out.
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
    """Say that a prompt prefix entered or left an engine's cache."""

    prefix: str
    held: bool


class CacheEvents(msgspec.Struct, frozen=True):
    """The latest cache events of an engine, late and with gaps."""

    events: tuple[CacheEvent, ...]


class Order(msgspec.Struct, frozen=True):
    """Tell an engine what to hold; ``fence`` is the fencing number."""

    fence: int
    model_version: str
    adapters: tuple[str, ...] = ()
    role: str = 'both'


class OrderAnswer(msgspec.Struct, frozen=True):
    """Answer to an order with the highest fence seen."""

    accepted: bool
    fence: int


class _Statement(msgspec.Struct, frozen=True):
    """A refusal in which both fields must be present."""

    reason: str
    accepted: bool


def decode_not_accepted(body: bytes) -> NotAccepted | None:
    """Return a target's explicit refusal, ``None`` for anything else."""
    try:
        statement = msgspec.json.decode(body, type=_Statement)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return None if statement.accepted else NotAccepted(statement.reason)
