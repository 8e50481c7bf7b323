"""The ``explain`` command, which shows the decisions on a request."""

from collections.abc import Sequence
from pathlib import Path

from absl import flags

from chicoryshunt.commands.command import Command
from chicoryshunt.commands.output import print_answers
from chicoryshunt.exceptions import UsageError
from chicoryshunt.log_account import (
    explain_request,
    format_lines,
    read_logs,
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
    'saved logs to read instead, one file per node, comma separated',
    flag_values=_FLAGS,
)


def run(arguments: Sequence[str]) -> int:
    """Print the decisions on a request, from live nodes or saved logs."""
    request = arguments[0]
    if _FLAGS.logs:
        return _explain_logs(request)
    if not _FLAGS.nodes:
        raise UsageError('explain: --nodes or --logs is needed')

    async def fetch() -> list[NodeAnswer]:
        return await OperatorClient(_FLAGS.nodes).explain(request)

    return print_answers(run_until_done(fetch))


def _explain_logs(request: str) -> int:
    lines = read_logs(Path(name) for name in _FLAGS.logs)
    events = explain_request(lines, request)
    if not events:
        print(f'no log names request {request}')
        return 1
    print(format_lines(events))
    return 0


COMMAND = Command(
    'explain',
    'Show the decisions of nodes on a request, and their reasons',
    _FLAGS,
    run,
    ('REQUEST_ID',),
)
