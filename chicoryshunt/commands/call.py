"""The ``call`` command, which sends one request as a caller."""

import sys
from collections.abc import Sequence
from enum import IntEnum

from absl import flags

from chicoryshunt.caller.answer import Answer
from chicoryshunt.caller.caller import Caller
from chicoryshunt.commands.command import Command, define_nodes
from chicoryshunt.exceptions import UsageError
from chicoryshunt.operations import run_until_done
from chicoryshunt.types import Delivery, RunState

_FLAGS = flags.FlagValues()
define_nodes(_FLAGS)
flags.DEFINE_string(
    'team',
    None,
    'team of the caller',
    flag_values=_FLAGS,
    required=True,
)
flags.DEFINE_string('model', '', 'model to call', flag_values=_FLAGS)
flags.DEFINE_string('prompt', '', 'prompt for the model', flag_values=_FLAGS)
flags.DEFINE_integer(
    'max_tokens',
    1024,
    'maximum number of tokens to generate',
    lower_bound=1,
    flag_values=_FLAGS,
)
flags.DEFINE_enum(
    'delivery',
    Delivery.stream.value,
    [one.value for one in Delivery],
    'stream the tokens, or deliver them when the answer is whole',
    flag_values=_FLAGS,
)
flags.DEFINE_string('service', '', 'service to call', flag_values=_FLAGS)
flags.DEFINE_string('path', 'file', 'path of the call', flag_values=_FLAGS)
flags.DEFINE_string('key', '', 'idempotency key', flag_values=_FLAGS)


class ExitStatus(IntEnum):
    """Exit status of the command; 2 is reserved for usage errors."""

    whole = 0
    incomplete = 1
    not_run = 3
    may_have_run = 4


def run(arguments: Sequence[str]) -> int:
    """Send one request, print its answer and return the exit status."""
    _check_nodes()
    _check_flags()
    answer = run_until_done(_send)
    print(_render(answer))
    status = get_exit_status(answer)
    if status is not ExitStatus.whole:
        print(
            f'chicoryshunt: {answer.verdict.value}: '
            + f'{answer.reason}: {answer.detail}',
            file=sys.stderr,
        )
    return status


def get_exit_status(answer: Answer) -> ExitStatus:
    """Return the exit status that tells the outcome of an answer."""
    match answer.verdict:
        case RunState.not_run:
            return ExitStatus.not_run
        case RunState.may_have_run:
            return ExitStatus.may_have_run
        case _:
            is_done = answer.is_whole or (answer.body and not answer.reason)
            return ExitStatus.whole if is_done else ExitStatus.incomplete


def _check_nodes() -> None:
    for node in _FLAGS.nodes:
        if not node.rpartition(':')[2].isdigit():
            raise UsageError(f'call: --nodes: {node!r} is not host:port')


def _check_flags() -> None:
    if bool(_FLAGS.model) == bool(_FLAGS.service):
        raise UsageError('call: give either --model or --service')
    if _FLAGS.service and not _FLAGS.key:
        raise UsageError('call: --service needs --key')
    if _FLAGS.model and not _FLAGS.prompt:
        raise UsageError('call: --model needs --prompt')


async def _send() -> Answer:
    caller = Caller(_FLAGS.nodes, _FLAGS.team)
    if _FLAGS.service:
        return await caller.call_service(
            _FLAGS.service, _FLAGS.path, _FLAGS.key
        )
    return await caller.generate(
        _FLAGS.model,
        {
            'prompt': _FLAGS.prompt,
            'max_tokens': _FLAGS.max_tokens,
            'delivery': _FLAGS.delivery,
        },
    )


def _render(answer: Answer) -> str:
    if answer.tokens:
        count = len(answer.tokens)
        return f'{" ".join(answer.tokens)}\n{count} tokens, {answer.ending}'
    return answer.body.decode('utf-8', 'replace')


COMMAND = Command('call', 'Send one request as a caller', _FLAGS, run)
