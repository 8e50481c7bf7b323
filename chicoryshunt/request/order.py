"""Checks generation requests and builds the orders to engines."""

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
    """Generation request whose body was checked."""

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
    """Return the request, or a verdict that names the fault in its body."""
    try:
        parsed = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return refuse(Reason.bad_request, f'body: {error}')
    if parsed.max_tokens < 1 or parsed.prompt_tokens < 1:
        return refuse(Reason.bad_request, 'body: token counts start at 1')
    return GenerationRequest(request, team, model, parsed)


def build_order(
    request: GenerationRequest,
    engine_priority: int,
) -> GenerateOrder:
    """Return the order that is sent to an engine."""
    body = request.body
    return GenerateOrder(
        request=request.request,
        model=request.model,
        prompt=body.prompt,
        max_tokens=body.max_tokens,
        prompt_tokens=body.prompt_tokens,
        priority=engine_priority,
        prefix=body.prefix,
    )


def parse_index(text: str) -> int | Verdict:
    """Return the token index from which a caller resumes."""
    if len(text) > _MAX_INDEX_DIGITS:
        return refuse(Reason.bad_request, 'from: the index is too long')
    if not (text.isascii() and text.isdigit()):
        return refuse(Reason.bad_request, f'from: {text!r} is no index')
    return int(text)
