"""The command that shows what nodes decided for a request."""

from collections.abc import Sequence
from pathlib import Path

from absl import flags

from chicoryshunt.commands.command import Command
from chicoryshunt.commands.output import print_answers
from chicoryshunt.exceptions import UsageError
from chicoryshunt.log_account import (
    explain_request,
    read_logs,
    render_account,
)
from chicoryshunt.operations import NodeAnswer, OperatorClient, run_until_done

_FLAGS = flags.FlagValues()
flags.DEFINE_list(
    'nodes',
    None,
    'addresses of nodes to ask, host:port, comma separated',
    flag_values=_FLAGS,
)
flags.DEFINE_list(
    'logs',
    None,
    'saved logs to read instead, one file a node, comma separated',
    flag_values=_FLAGS,
)


def run(arguments: Sequence[str]) -> int:
    """Print the decisions for one request, of live nodes or from logs."""
    request = arguments[0]
    if _FLAGS.logs:
        return _explain_logs(request)
    if not _FLAGS.nodes:
        raise UsageError('explain: --nodes or --logs is needed')

    async def ask() -> list[NodeAnswer]:
        return await OperatorClient(_FLAGS.nodes).explain(request)

    return print_answers(run_until_done(ask))


def _explain_logs(request: str) -> int:
    lines = read_logs(Path(name) for name in _FLAGS.logs)
    account = explain_request(lines, request)
    if not account:
        print(f'no log names request {request}')
        return 1
    print(render_account(account))
    return 0


COMMAND = Command(
    'explain',
    'Show what nodes decided for a request, and why',
    _FLAGS,
    run,
    ('REQUEST_ID',),
)
