"""Commands with their flags and help."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from absl import flags

from chicoryshunt.exceptions import UsageError

_HELP_ARGUMENTS = frozenset(('--help', '-h', 'help'))
_ABSL_FLAGS = frozenset(('flagfile', 'undefok'))


@dataclass(frozen=True, slots=True)
class Command:
    """Command of the command line.

    ``run`` gets the positional arguments and returns the exit status;
    ``operands`` has the names of these arguments for the help text.
    """

    name: str
    summary: str
    flag_values: flags.FlagValues
    run: Callable[[Sequence[str]], int]
    operands: tuple[str, ...] = ()

    def execute(self, arguments: Sequence[str]) -> int:
        """Parse the arguments, run the command and return its exit status."""
        if _HELP_ARGUMENTS.intersection(arguments):
            print(self.describe())
            return 0
        return self.run(self._parse(arguments))

    def describe(self) -> str:
        """Return the help text of the command."""
        usage = ' '.join(('usage: chicoryshunt', self.name, *self.operands))
        lines = [f'{usage} [FLAGS]', '', f'{self.summary}.', '']
        for name in sorted(set(self.flag_values) - _ABSL_FLAGS):
            lines.append(f'  --{name}: {self.flag_values[name].help}')
        return '\n'.join(lines)

    def _parse(self, arguments: Sequence[str]) -> list[str]:
        try:
            rest = self.flag_values([self.name, *arguments])[1:]
        except flags.Error as error:
            raise UsageError(f'{self.name}: {error}') from error
        if len(rest) != len(self.operands):
            expected = ' '.join(self.operands) or 'no arguments'
            raise UsageError(f'{self.name}: takes {expected}, got {rest}')
        return list(rest)


def define_nodes(values: flags.FlagValues) -> None:
    """Define the flag ``--nodes``."""
    flags.DEFINE_list(
        'nodes',
        None,
        'addresses of nodes to ask, host:port, comma separated',
        flag_values=values,
        required=True,
    )


def define_settings(values: flags.FlagValues) -> None:
    """Define the flag ``--settings``."""
    flags.DEFINE_string(
        'settings',
        None,
        'settings file, JSON with comments',
        flag_values=values,
        required=True,
    )
