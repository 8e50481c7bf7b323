"""The ``node`` command, which runs a node."""

from collections.abc import Sequence
from pathlib import Path

from absl import flags

from chicoryshunt.commands.command import Command, define_settings
from chicoryshunt.connection.loop import install_reactor
from chicoryshunt.settings import load_settings

_FLAGS = flags.FlagValues()
define_settings(_FLAGS)


def run(arguments: Sequence[str]) -> int:
    """Run a node until it is stopped by a signal."""
    settings = load_settings(Path(_FLAGS.settings))
    install_reactor()
    # Importing these modules requires an installed reactor.
    from chicoryshunt.process.node import run_node

    run_node(settings)
    return 0


COMMAND = Command('node', 'Run a node until SIGTERM', _FLAGS, run)
