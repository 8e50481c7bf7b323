"""Decodes callers' requests and encodes the answers to them."""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType

from chicoryshunt.clock import Clock
from chicoryshunt.connection.relayed_exchange import RelayedExchange
from chicoryshunt.connection.upstream import RawHeaders
from chicoryshunt.platform import wire
from chicoryshunt.relay.incoming import GenerationParams, IncomingRequest
from chicoryshunt.relay.results import Delivered
from chicoryshunt.rules.model import ApiKey
from chicoryshunt.types import ModelId, Reason, RequestId, RunState
from chicoryshunt.verdict import Verdict, refuse

_MILLISECONDS = 1000
_BEARER = b'bearer '
# Forecasts and messages to other nodes cannot hold numbers of any size.
_MAX_TOKENS = 0x7FFFFFFF
_STATUS_BY_REASON = MappingProxyType(
    {
        Reason.unknown_team: HTTPStatus.UNAUTHORIZED,
        Reason.unknown_path: HTTPStatus.NOT_FOUND,
        Reason.bad_request: HTTPStatus.BAD_REQUEST,
        Reason.target_timeout: HTTPStatus.GATEWAY_TIMEOUT,
    },
)


class PlatformCallerCodec:
    """Caller codec of the platform's wire."""

    def __init__(self, clock: Clock) -> None:
        """Create a codec; ``clock`` gives the times of receipt."""
        self._clock = clock

    def decode(self, exchange: RelayedExchange) -> IncomingRequest | Verdict:
        """Return the request of an exchange, or why it is refused."""
        sent = exchange.list_headers()
        headers = {name.lower(): text for name, text in sent}
        request = _get(headers, wire.REQUEST_ID)
        if not request:
            return refuse(Reason.bad_request, 'the request has no id')
        try:
            return self._build(exchange, RequestId(request), sent, headers)
        except (ValueError, OverflowError) as error:
            return refuse(Reason.bad_request, str(error))

    def respond(
        self,
        exchange: RelayedExchange,
        result: Delivered | Verdict,
        *,
        closes: bool,
    ) -> None:
        """Send a target's answer or a verdict.

        ``closes`` closes the connection after it.
        """
        match result:
            case Delivered(_, status, headers, body):
                exchange.begin(status, headers)
            case Verdict():
                body = result.detail.encode()
                exchange.begin(_get_status(result), _list_headers(result))
        exchange.set_header(
            wire.CONTENT_LENGTH.decode(),
            str(len(body)),
        )
        if closes:
            exchange.close_after()
        exchange.write(body)
        exchange.finish()

    def _build(
        self,
        exchange: RelayedExchange,
        request: RequestId,
        sent: RawHeaders,
        headers: Mapping[bytes, bytes],
    ) -> IncomingRequest:
        """Decode all headers; raise ``ValueError`` for an invalid one."""
        timeout_ms = _decode_number(_get(headers, wire.TIMEOUT_MS))
        return IncomingRequest(
            request=request,
            method=exchange.method.encode(),
            uri=exchange.uri,
            path=exchange.path,
            host=_strip_port(_get(headers, wire.HOST)),
            headers=_select_forwarded(sent, headers),
            body=exchange.body,
            key=_decode_key(headers.get(wire.AUTHORIZATION.lower(), b'')),
            timeout=None if timeout_ms is None else timeout_ms / _MILLISECONDS,
            params=_decode_params(headers),
            last_event=_decode_number(_get(headers, wire.LAST_EVENT)),
            received_at=self._clock.now(),
        )


def _get_status(verdict: Verdict) -> HTTPStatus:
    status = _STATUS_BY_REASON.get(verdict.reason)
    if status is not None:
        return status
    if verdict.run is RunState.not_run:
        return HTTPStatus.SERVICE_UNAVAILABLE
    return HTTPStatus.BAD_GATEWAY


def _list_headers(verdict: Verdict) -> RawHeaders:
    headers = [(wire.CONTENT_TYPE, b'text/plain')]
    if verdict.retry_after is not None:
        headers.append((wire.RETRY_AFTER, b'%.3f' % verdict.retry_after))
    return headers


def _select_forwarded(
    sent: RawHeaders,
    headers: Mapping[bytes, bytes],
) -> RawHeaders:
    """Return the headers that are forwarded to a target unchanged."""
    named = {
        token.strip().lower()
        for token in headers.get(b'connection', b'').split(b',')
    }
    dropped = wire.CONNECTION_HEADERS | wire.SYSTEM_HEADERS | named
    return [one for one in sent if one[0].lower() not in dropped]


def _decode_params(headers: Mapping[bytes, bytes]) -> GenerationParams | None:
    model = _get(headers, wire.MODEL)
    counts = _get(headers, wire.TOKEN_COUNTS)
    if not model or not counts:
        return None
    prompt, _, limit = counts.partition(',')
    estimate = _get(headers, wire.LENGTH_ESTIMATE)
    parts = _get(headers, wire.PROMPT_PARTS)
    return GenerationParams(
        ModelId(model),
        _decode_count(prompt),
        _decode_count(limit or '0'),
        round(float(estimate)) if estimate else None,
        tuple(part.partition(':')[0].strip() for part in parts.split(',')),
    )


def _decode_count(text: str) -> int:
    count = int(text)
    if count > _MAX_TOKENS:
        raise ValueError(f'more than {_MAX_TOKENS} tokens')
    return count


def _decode_number(text: str) -> int | None:
    return int(float(text)) if text else None


def _decode_key(text: bytes) -> ApiKey | None:
    if text[: len(_BEARER)].lower() != _BEARER:
        return None
    return ApiKey(text[len(_BEARER) :].strip().decode('latin-1'))


def _get(headers: Mapping[bytes, bytes], name: bytes) -> str:
    return headers.get(name.lower(), b'').decode('latin-1').strip()


def _strip_port(host: str) -> str:
    return host.partition(':')[0].lower()
