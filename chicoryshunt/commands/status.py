"""The command that shows what nodes know."""

from collections.abc import Sequence

from absl import flags

from chicoryshunt.commands.command import Command, define_nodes
from chicoryshunt.commands.output import print_answers
from chicoryshunt.operations import NodeAnswer, OperatorClient, run_until_done

_FLAGS = flags.FlagValues()
define_nodes(_FLAGS)


def run(arguments: Sequence[str]) -> int:
    """Print the status of each node."""

    async def ask() -> list[NodeAnswer]:
        return await OperatorClient(_FLAGS.nodes).read_status()

    return print_answers(run_until_done(ask))


COMMAND = Command('status', 'Show what nodes know', _FLAGS, run)
