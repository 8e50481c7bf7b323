"""The ``check`` command, which validates a settings file."""

from collections.abc import Sequence
from pathlib import Path

from absl import flags

from chicoryshunt.commands.command import Command, define_settings
from chicoryshunt.settings import load_settings

_FLAGS = flags.FlagValues()
define_settings(_FLAGS)


def run(arguments: Sequence[str]) -> int:
    """Validate a settings file and print the main settings."""
    settings = load_settings(Path(_FLAGS.settings))
    print(
        f'{_FLAGS.settings}: ok: {settings.vm} in {settings.data_centre}, '
        + f'callers at {settings.listen.host}:{settings.listen.caller}',
    )
    return 0


COMMAND = Command('check', 'Check a settings file', _FLAGS, run)
