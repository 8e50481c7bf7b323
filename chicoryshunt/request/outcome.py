"""Outcome of a call: the target's answer, or a verdict without one."""

import hashlib
from typing import TypeAlias

import msgspec

from chicoryshunt.types import Reason, RunState
from chicoryshunt.verdict import Verdict

_DIGEST_BYTES = 16


class TargetAnswer(
    msgspec.Struct,
    frozen=True,
    tag='answer',
    array_like=True,
):
    """Complete answer of a target."""

    status: int
    content_type: str
    body: bytes


class NoAnswer(
    msgspec.Struct,
    frozen=True,
    tag='no_answer',
    array_like=True,
):
    """Outcome of a call without an answer.

    ``is_final`` says that the request can no longer run under its name, so
    that the caller may retry under a new grant.
    """

    verdict: Verdict
    is_final: bool = False


CallOutcome: TypeAlias = TargetAnswer | NoAnswer


def mark_final(outcome: CallOutcome) -> CallOutcome:
    """Return a refusal as final; return any other outcome unchanged."""
    match outcome:
        case NoAnswer(Verdict(RunState.not_run)):
            return NoAnswer(outcome.verdict, is_final=True)
        case _:
            return outcome


def summarize_answer(answer: TargetAnswer) -> NoAnswer:
    """Return a verdict that the request ran, with size and digest only."""
    digest = hashlib.blake2b(answer.body, digest_size=_DIGEST_BYTES)
    size = len(answer.body)
    return NoAnswer(
        Verdict(
            RunState.ran,
            Reason.answer_too_large,
            f'status {answer.status}, {size} bytes were sent once, '
            + f'blake2b {digest.hexdigest()}',
        ),
    )
