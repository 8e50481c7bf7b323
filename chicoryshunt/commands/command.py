"""What a command is: its flags, its help and what it runs."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from absl import flags

from chicoryshunt.exceptions import UsageError

_HELP = frozenset(('--help', '-h', 'help'))
_LIBRARY_FLAGS = frozenset(('flagfile', 'undefok'))


@dataclass(frozen=True, slots=True)
class Command:
    """One command; ``run`` gets the arguments left after its flags.

    ``operands`` names these arguments in the help. ``run`` returns the exit
    status.
    """

    name: str
    summary: str
    values: flags.FlagValues
    run: Callable[[Sequence[str]], int]
    operands: tuple[str, ...] = ()

    def execute(self, arguments: Sequence[str]) -> int:
        """Parse the arguments, run, and return the exit status."""
        if _HELP.intersection(arguments):
            print(self.describe())
            return 0
        return self.run(self._parse(arguments))

    def describe(self) -> str:
        """Return the help text."""
        usage = ' '.join(('usage: chicoryshunt', self.name, *self.operands))
        lines = [f'{usage} [FLAGS]', '', f'{self.summary}.', '']
        for name in sorted(set(self.values) - _LIBRARY_FLAGS):
            lines.append(f'  --{name}: {self.values[name].help}')
        return '\n'.join(lines)

    def _parse(self, arguments: Sequence[str]) -> list[str]:
        try:
            rest = self.values([self.name, *arguments])[1:]
        except flags.Error as error:
            raise UsageError(f'{self.name}: {error}') from error
        if len(rest) != len(self.operands):
            wanted = ' '.join(self.operands) or 'no arguments'
            raise UsageError(f'{self.name}: takes {wanted}, got {rest}')
        return list(rest)


def define_nodes(values: flags.FlagValues) -> None:
    """Define the flag that names nodes to ask."""
    flags.DEFINE_list(
        'nodes',
        None,
        'addresses of nodes to ask, host:port, comma separated',
        flag_values=values,
        required=True,
    )


def define_settings(values: flags.FlagValues) -> None:
    """Define the flag that names a settings file."""
    flags.DEFINE_string(
        'settings',
        None,
        'settings file, JSON with comments',
        flag_values=values,
        required=True,
    )
