"""Encodes what targets are sent and decodes what they answer."""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType

import msgspec

from chicoryshunt.connection.upstream import Answer, OutgoingRequest
from chicoryshunt.platform import wire
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
_LAST_PRIORITY = 9
_DRAINING = 'draining'
_FAILURES: Mapping[int, CopyFailure] = MappingProxyType(
    {
        HTTPStatus.NOT_FOUND: CopyFailure.no_run,
        HTTPStatus.CONFLICT: CopyFailure.busy,
        HTTPStatus.SERVICE_UNAVAILABLE: CopyFailure.no_room,
    },
)


class CopyAnswer(msgspec.Struct):
    """Answer to an order to copy; ``created`` counts events, no time."""

    handle: str = ''
    created: int = 0


class ReportAnswer(msgspec.Struct):
    """Report of an engine; ``kv_used`` is the memory that cannot yield."""

    state: str = ''
    leaves_ms: float | None = None
    running: int = 0
    queued: int = 0
    kv_used: int = 0


class TargetWire:
    """The targets' side of the users' wire."""

    def encode(
        self, incoming: IncomingRequest, dispatch: SendParams
    ) -> OutgoingRequest:
        """Return the request as it is written to a target."""
        patience = max(round(dispatch.remaining * _MILLISECONDS), 1)
        headers = [
            *incoming.headers,
            (wire.PATIENCE_MS, b'%d' % patience),
            (wire.EXPECTED_TARGET, dispatch.target.encode()),
        ]
        if dispatch.team is not None:
            headers.append((wire.TEAM, dispatch.team.encode()))
        if incoming.params is not None:
            priority = min(dispatch.priority, _LAST_PRIORITY)
            headers.append((wire.PRIORITY, b'%d' % priority))
        if dispatch.last_event is not None:
            headers.append((wire.LAST_EVENT, b'%d' % dispatch.last_event))
        if dispatch.memory is not None:
            memory = dispatch.memory
            place = f'{memory.address}/{memory.name}'
            headers.append((wire.MEMORY, place.encode()))
        return OutgoingRequest(
            incoming.method,
            incoming.uri,
            headers,
            incoming.body,
        )

    def classify_answer(
        self, incoming: IncomingRequest, answer: Answer
    ) -> AnswerKind:
        """Return what an answer proves about the run."""
        echoed = answer.get(wire.REQUEST_ID).decode('latin-1')
        if echoed and echoed != incoming.request:
            return AnswerKind.foreign
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            return AnswerKind.other_target
        if answer.get(wire.NOT_RUN):
            return AnswerKind.not_run
        if answer.is_success and not answer.get(wire.RECEIPT):
            return AnswerKind.foreign
        if answer.get(b'Content-Encoding'):
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
        """Return the outcome of an order to copy."""
        decoded = CopyAnswer()
        if body:
            try:
                decoded = msgspec.json.decode(body, type=CopyAnswer)
            except msgspec.DecodeError:
                return CopyFailed(CopyFailure.unreachable)
        if answer.is_success and decoded.handle:
            return Copied(decoded.handle, decoded.created)
        reason = _FAILURES.get(answer.status, CopyFailure.unreachable)
        return CopyFailed(reason, decoded.handle)

    def encode_report_request(self) -> OutgoingRequest:
        """Return the question for an engine's report."""
        return OutgoingRequest(
            b'GET', wire.REPORT_PATH, [(wire.HOST, b'engine')]
        )

    def decode_report(self, answer: Answer, body: bytes) -> EngineReport | None:
        """Return an engine's report, if that is what the answer holds."""
        if not answer.is_success:
            return None
        try:
            decoded = msgspec.json.decode(body, type=ReportAnswer)
        except msgspec.DecodeError:
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
        """Return the question for a target's health."""
        return OutgoingRequest(b'GET', path.encode(), [(wire.HOST, b'engine')])

    def decode_health(self, target: TargetId, answer: Answer) -> Health:
        """Return what a target says of itself, if it was that one.

        A full target turns the check away like any request.
        """
        name = answer.get(wire.ANSWERING_TARGET).decode('latin-1')
        if name != target or answer.get(wire.NOT_RUN):
            return Health.unknown
        if answer.is_success:
            return Health.sound
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            return Health.failing
        return Health.unknown

    def encode_release(self, handle: str) -> OutgoingRequest:
        """Return the order to drop a copy that is not needed."""
        return OutgoingRequest(
            b'DELETE',
            wire.HANDLE_PATH + handle.encode(),
            [(wire.HOST, b'engine')],
        )
