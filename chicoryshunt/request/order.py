"""What a caller asks for, checked."""

import msgspec

from chicoryshunt.connection.target_api import GenerateOrder
from chicoryshunt.types import Delivery, ModelId, Reason, RequestId, TeamId
from chicoryshunt.verdict import Verdict, refuse

_MAX_INDEX_DIGITS = 9


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
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return refuse(Reason.bad_request, f'body: {error}')
    if parsed.max_tokens < 1 or parsed.prompt_tokens < 1:
        return refuse(Reason.bad_request, 'body: token counts start at 1')
    return GenerationRequest(request, team, model, parsed)


def build_order(
    wanted: GenerationRequest,
    engine_priority: int,
) -> GenerateOrder:
    """Return what an engine is asked for."""
    body = wanted.body
    return GenerateOrder(
        request=wanted.request,
        model=wanted.model,
        prompt=body.prompt,
        max_tokens=body.max_tokens,
        prompt_tokens=body.prompt_tokens,
        priority=engine_priority,
        prefix=body.prefix,
    )


def parse_index(text: str) -> int | Verdict:
    """Check the index that a caller wants to resume from."""
    if len(text) > _MAX_INDEX_DIGITS:
        return refuse(Reason.bad_request, 'from: the index is too long')
    if not (text.isascii() and text.isdigit()):
        return refuse(Reason.bad_request, f'from: {text!r} is no index')
    return int(text)
