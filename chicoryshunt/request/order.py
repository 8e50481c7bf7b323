"""What a caller asks for, checked."""

import msgspec

from chicoryshunt.types import Delivery, ModelId, Reason, RequestId, TeamId
from chicoryshunt.verdict import Verdict, refuse


class GenerationBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body of a generation request; lengths are in tokens."""

    prompt: str
    max_tokens: int = 1024
    prompt_tokens: int = 1
    priority: int = 0
    prefix: str = ''
    delivery: Delivery | None = None
    repeatable: bool = True


class GenerationRequest(msgspec.Struct, frozen=True):
    """One checked generation request."""

    request: RequestId
    team: TeamId
    model: ModelId
    body: GenerationBody


_DECODER = msgspec.json.Decoder(GenerationBody)


def parse_generation(
    request: RequestId,
    team: TeamId,
    model: ModelId,
    body: bytes,
) -> GenerationRequest | Verdict:
    """Check a request body; the verdict names what is wrong."""
    try:
        parsed = _DECODER.decode(body)
    except msgspec.DecodeError as error:
        return refuse(Reason.bad_request, f'body: {error}')
    if parsed.max_tokens < 1 or parsed.prompt_tokens < 1:
        return refuse(Reason.bad_request, 'body: token counts start at 1')
    return GenerationRequest(request, team, model, parsed)
