"""Verdict on a request: whether it ran, the reason, when to retry."""

from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType

from chicoryshunt.types import Reason, RunState, Seconds

_STATUS_BY_REASON = MappingProxyType(
    {
        Reason.already_ran: HTTPStatus.CONFLICT,
        Reason.answer_too_large: HTTPStatus.BAD_GATEWAY,
        Reason.grant_of_other_node: HTTPStatus.MISDIRECTED_REQUEST,
        Reason.bad_request: HTTPStatus.BAD_REQUEST,
        Reason.body_truncated: HTTPStatus.BAD_REQUEST,
        Reason.body_too_large: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        Reason.grant_expired: HTTPStatus.CONFLICT,
        Reason.grant_forged: HTTPStatus.FORBIDDEN,
        Reason.grant_missing: HTTPStatus.PRECONDITION_REQUIRED,
        Reason.key_reused: HTTPStatus.CONFLICT,
        Reason.unknown_generation: HTTPStatus.NOT_FOUND,
        Reason.unknown_model: HTTPStatus.NOT_FOUND,
        Reason.unknown_path: HTTPStatus.NOT_FOUND,
        Reason.unknown_service: HTTPStatus.NOT_FOUND,
        Reason.unknown_team: HTTPStatus.FORBIDDEN,
        Reason.engine_garbled: HTTPStatus.BAD_GATEWAY,
        Reason.engine_lost: HTTPStatus.BAD_GATEWAY,
        Reason.request_timeout: HTTPStatus.REQUEST_TIMEOUT,
        Reason.token_forged: HTTPStatus.FORBIDDEN,
        Reason.target_timeout: HTTPStatus.GATEWAY_TIMEOUT,
        Reason.target_unreachable: HTTPStatus.BAD_GATEWAY,
        Reason.internal_error: HTTPStatus.INTERNAL_SERVER_ERROR,
    }
)


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request may have run, and the reason for its end.

    ``retry_after`` is in seconds; ``None`` means not to retry.
    """

    run: RunState
    reason: Reason
    detail: str
    retry_after: Seconds | None = None

    @property
    def status(self) -> HTTPStatus:
        """Return the HTTP status that carries this verdict."""
        return _STATUS_BY_REASON.get(
            self.reason,
            HTTPStatus.SERVICE_UNAVAILABLE,
        )


def refuse(
    reason: Reason,
    detail: str,
    retry_after: Seconds | None = None,
) -> Verdict:
    """Return the verdict on a request that certainly did not run."""
    return Verdict(RunState.not_run, reason, detail, retry_after)


def build_uncertain(reason: Reason, detail: str) -> Verdict:
    """Return the verdict on a request that may have run."""
    return Verdict(RunState.may_have_run, reason, detail)
