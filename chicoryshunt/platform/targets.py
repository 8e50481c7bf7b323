"""Encodes requests to targets and decodes their answers."""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType

import msgspec

from chicoryshunt.connection.upstream import Answer, OutgoingRequest
from chicoryshunt.platform import wire
from chicoryshunt.platform.documents import Undecodable, decode_document
from chicoryshunt.relay.incoming import IncomingRequest
from chicoryshunt.relay.target_codec import (
    AnswerKind,
    Copied,
    CopyFailed,
    CopyFailure,
    EngineReport,
    Health,
    SendParams,
)
from chicoryshunt.types import RequestId, TargetId

_MILLISECONDS = 1000
_MAX_PRIORITY = 9
_DRAINING = 'draining'
_FAILURE_BY_STATUS: Mapping[int, CopyFailure] = MappingProxyType(
    {
        HTTPStatus.NOT_FOUND: CopyFailure.no_run,
        HTTPStatus.CONFLICT: CopyFailure.busy,
        HTTPStatus.SERVICE_UNAVAILABLE: CopyFailure.no_room,
    },
)


class CopyAnswer(msgspec.Struct):
    """Answer to an order to copy memory.

    ``created`` is a number of events, not a time.
    """

    handle: str = ''
    created: int = 0


class ReportAnswer(msgspec.Struct):
    """Report of an engine; ``kv_used`` is memory that can't be evicted."""

    state: str = ''
    leaves_ms: float | None = None
    running: int = 0
    queued: int = 0
    kv_used: int = 0


class PlatformTargetCodec:
    """Target codec of the platform's wire."""

    def encode(
        self, incoming: IncomingRequest, params: SendParams
    ) -> OutgoingRequest:
        """Return the request to send to a target."""
        timeout_ms = max(round(params.remaining * _MILLISECONDS), 1)
        headers = [
            *incoming.headers,
            (wire.TIMEOUT_MS, b'%d' % timeout_ms),
            (wire.EXPECTED_TARGET, params.target.encode()),
        ]
        if params.team is not None:
            headers.append((wire.TEAM, params.team.encode()))
        if incoming.params is not None:
            priority = min(params.priority, _MAX_PRIORITY)
            headers.append((wire.PRIORITY, b'%d' % priority))
        if params.last_event is not None:
            headers.append((wire.LAST_EVENT, b'%d' % params.last_event))
        if params.memory is not None:
            memory = params.memory
            location = f'{memory.address}/{memory.name}'
            headers.append((wire.MEMORY_SOURCE, location.encode()))
        return OutgoingRequest(
            incoming.method,
            incoming.uri,
            headers,
            incoming.body,
        )

    def classify_answer(
        self, incoming: IncomingRequest, answer: Answer
    ) -> AnswerKind:
        """Return what an answer proves about the run of the request.

        Without the request's id it proves nothing: a target may write an
        earlier answer once more. Nor does it with several ids or seals.
        """
        echoed = answer.get_only(wire.REQUEST_ID).decode('latin-1')
        if echoed != incoming.request:
            return AnswerKind.foreign
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            return AnswerKind.other_target
        if answer.has(wire.NOT_RUN):
            return AnswerKind.not_run
        if answer.is_success and not answer.get_only(wire.RESPONSE_SEAL):
            return AnswerKind.foreign
        if answer.has(b'Content-Encoding'):
            return AnswerKind.foreign
        return AnswerKind.ran

    def encode_copy(
        self,
        request: RequestId,
        destination: str,
        *,
        stops_run: bool,
    ) -> OutgoingRequest:
        """Return the order to copy a run's memory to another engine."""
        order: dict[str, object] = {'id': request, 'to': destination}
        if stops_run:
            order['last'] = True
        return OutgoingRequest(
            b'POST',
            wire.MOVE_PATH,
            [(wire.HOST, b'engine'), (wire.CONTENT_TYPE, b'application/json')],
            msgspec.json.encode(order),
        )

    def decode_copy(self, answer: Answer, body: bytes) -> Copied | CopyFailed:
        """Return the outcome of an order to copy memory."""
        decoded = decode_document(body or b'{}', CopyAnswer)
        if isinstance(decoded, Undecodable):
            return CopyFailed(CopyFailure.unreachable)
        if answer.is_success and decoded.handle:
            return Copied(decoded.handle, decoded.created)
        reason = _FAILURE_BY_STATUS.get(answer.status, CopyFailure.unreachable)
        return CopyFailed(reason, decoded.handle)

    def encode_report_request(self) -> OutgoingRequest:
        """Return the request for an engine's report."""
        return OutgoingRequest(
            b'GET', wire.REPORT_PATH, [(wire.HOST, b'engine')]
        )

    def decode_report(self, answer: Answer, body: bytes) -> EngineReport | None:
        """Return an engine's report, ``None`` if the answer has none."""
        if not answer.is_success:
            return None
        decoded = decode_document(body, ReportAnswer)
        if isinstance(decoded, Undecodable):
            return None
        leaves = decoded.leaves_ms
        return EngineReport(
            is_leaving=decoded.state == _DRAINING or leaves is not None,
            leaves_in=None if leaves is None else leaves / _MILLISECONDS,
            running=decoded.running,
            waiting=decoded.queued,
            memory_used=decoded.kv_used,
        )

    def encode_health_check(self, path: str) -> OutgoingRequest:
        """Return the request for a target's health."""
        return OutgoingRequest(b'GET', path.encode(), [(wire.HOST, b'engine')])

    def decode_health(self, target: TargetId, answer: Answer) -> Health:
        """Return the health that a target reports.

        It is unknown if another target answered, or if a full target refused
        the check like any request.
        """
        name = answer.get_only(wire.ANSWERING_TARGET).decode('latin-1')
        if name != target or answer.has(wire.NOT_RUN):
            return Health.unknown
        if answer.is_success:
            return Health.sound
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            return Health.failing
        return Health.unknown

    def encode_release(self, handle: str) -> OutgoingRequest:
        """Return the order to drop a copy of memory."""
        return OutgoingRequest(
            b'DELETE',
            wire.HANDLE_PATH + handle.encode(),
            [(wire.HOST, b'engine')],
        )
