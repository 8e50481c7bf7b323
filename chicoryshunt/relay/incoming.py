"""A caller's request after decoding, without its wire format."""

from dataclasses import dataclass, field

from chicoryshunt.connection.upstream import RawHeaders
from chicoryshunt.rules.model import ApiKey
from chicoryshunt.types import ModelId, RequestId


@dataclass(frozen=True, slots=True)
class GenerationParams:
    """Parameters of a generation that a caller gives in advance.

    ``expected_tokens`` is the caller's estimate of the output's length, which
    is right at the median and often far off; ``None`` without an estimate.
    ``prefix`` holds the ids of the parts of the prompt, in order.
    """

    model: ModelId
    prompt_tokens: int
    max_tokens: int
    expected_tokens: int | None = None
    prefix: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """One attempt of a caller; ``timeout`` is how long it waits, in seconds.

    ``headers`` are those that are forwarded to a target unchanged.
    ``received_at`` is in monotonic seconds.
    """

    request: RequestId
    method: bytes
    uri: bytes
    path: str
    host: str
    headers: RawHeaders
    body: bytes = b''
    key: ApiKey | None = None
    timeout: float | None = None
    params: GenerationParams | None = None
    last_event: int | None = None
    received_at: float = field(default=0)
