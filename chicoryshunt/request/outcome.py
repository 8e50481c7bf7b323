"""How a call ended: the target's answer, or a verdict without one."""

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
    """Whole answer of a target."""

    status: int
    content_type: str
    body: bytes


class NoAnswer(
    msgspec.Struct,
    frozen=True,
    tag='no_answer',
    array_like=True,
):
    """End without an answer.

    ``closed`` says that the request's name can never run any more, so that
    the caller may ask again under a fresh grant.
    """

    verdict: Verdict
    is_final: bool = False


CallOutcome: TypeAlias = TargetAnswer | NoAnswer


def mark_final(outcome: CallOutcome) -> CallOutcome:
    """Mark a refusal that its owner records as the last word."""
    match outcome:
        case NoAnswer(Verdict(RunState.not_run)):
            return NoAnswer(outcome.verdict, is_final=True)
        case _:
            return outcome


def summarize_answer(answer: TargetAnswer) -> NoAnswer:
    """Say that a request ran, with its answer's size and digest alone."""
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
