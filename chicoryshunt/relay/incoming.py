"""A caller's request in the words of the product."""

from dataclasses import dataclass, field

from chicoryshunt.connection.upstream import RawHeaders
from chicoryshunt.rules.model import ApiKey
from chicoryshunt.types import ModelId, RequestId


@dataclass(frozen=True, slots=True)
class GenerationParams:
    """What a caller tells of a generation before it runs.

    ``expected_tokens`` is the caller's estimate of the output's length,
    right at the median and often far off; ``None`` when it gives none.
    ``prefix`` names the parts of the prompt in order.
    """

    model: ModelId
    prompt_tokens: int
    max_tokens: int
    expected_tokens: int | None = None
    prefix: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """One try of a caller; ``patience`` is how long it waits, in seconds.

    ``headers`` are those that a target may see as they are.
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
