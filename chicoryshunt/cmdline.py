"""The command line: select a command and run it."""

import sys
from collections.abc import Sequence

from chicoryshunt.commands import (
    call,
    check,
    explain,
    node,
    patch,
    report,
    status,
)
from chicoryshunt.events import configure_logging
from chicoryshunt.exceptions import ChicoryshuntError, UsageError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

COMMANDS = (
    node.COMMAND,
    check.COMMAND,
    call.COMMAND,
    status.COMMAND,
    patch.CHECK,
    patch.STATUS,
    patch.EXPORT,
    explain.COMMAND,
    report.COMMAND,
)


def main() -> None:
    """Run the command in ``sys.argv`` and exit with its status."""
    configure_logging()
    sys.exit(run_command(sys.argv[1:]))


def run_command(arguments: Sequence[str]) -> int:
    """Run the command that the arguments name; return the exit status.

    Expected errors are printed to standard error, without a traceback.
    """
    try:
        return _dispatch(list(arguments))
    except UsageError as error:
        print(f'chicoryshunt: {error}', file=sys.stderr)
        return EXIT_USAGE
    except ChicoryshuntError as error:
        print(f'chicoryshunt: {error}', file=sys.stderr)
        return EXIT_FAILED


def describe_commands() -> str:
    """Return the help text that lists all commands."""
    lines = ['usage: chicoryshunt COMMAND [FLAGS]', '', 'commands:']
    lines.extend(f'  {one.name:14}{one.summary}' for one in COMMANDS)
    lines.append('')
    lines.append('`chicoryshunt COMMAND --help` lists the flags of a command.')
    return '\n'.join(lines)


def _dispatch(arguments: list[str]) -> int:
    if not arguments or arguments[0] in {'help', '--help', '-h'}:
        print(describe_commands())
        return EXIT_OK if arguments else EXIT_USAGE
    for command in COMMANDS:
        words = command.name.split()
        if arguments[: len(words)] == words:
            return command.execute(arguments[len(words) :])
    raise UsageError(f'unknown command {arguments[0]!r}')
