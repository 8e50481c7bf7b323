"""The command line, thin over the public API."""

import sys
from pathlib import Path

from absl import flags

from chicoryshunt.connection.loop import install_reactor
from chicoryshunt.events import configure_logging
from chicoryshunt.exceptions import ChicoryshuntError
from chicoryshunt.settings import load_settings

_USAGE = """usage: chicoryshunt COMMAND [FLAGS]

commands:
  node    run a node
  check   check a settings file
  call    send one request as a caller
"""
_EXIT_USAGE = 2


def main() -> None:
    """Run one command and exit."""
    configure_logging()
    arguments = sys.argv[1:]
    try:
        status = run_command(arguments)
    except (ChicoryshuntError, flags.Error) as error:
        print(f'chicoryshunt: {error}', file=sys.stderr)
        status = _EXIT_USAGE
    sys.exit(status)


def run_command(arguments: list[str]) -> int:
    """Run the command that the arguments name."""
    match arguments:
        case ['node', *rest]:
            return _run_node(rest)
        case ['check', *rest]:
            return _check(rest)
        case ['call', *rest]:
            return _call(rest)
        case ['help' | '--help', *_]:
            print(_USAGE)
            return 0
        case _:
            print(_USAGE, file=sys.stderr)
            return _EXIT_USAGE


def _run_node(arguments: list[str]) -> int:
    settings = load_settings(_parse_settings_flag('node', arguments))
    install_reactor()
    from chicoryshunt.process.node import run_node

    run_node(settings)
    return 0


def _check(arguments: list[str]) -> int:
    path = _parse_settings_flag('check', arguments)
    load_settings(path)
    print(f'{path}: ok')
    return 0


def _call(arguments: list[str]) -> int:
    from chicoryshunt.caller import run_call

    install_reactor()
    return run_call(arguments)


def _parse_settings_flag(command: str, arguments: list[str]) -> Path:
    values = flags.FlagValues()
    flags.DEFINE_string(
        'settings',
        None,
        'settings file, JSON with comments',
        flag_values=values,
    )
    flags.mark_flag_as_required('settings', flag_values=values)
    values([command, *arguments])
    return Path(values.settings)
