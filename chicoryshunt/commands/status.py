"""The ``status`` command, which shows the status of nodes."""

from collections.abc import Sequence

from absl import flags

from chicoryshunt.commands.command import Command, define_nodes
from chicoryshunt.commands.output import print_answers
from chicoryshunt.operations import NodeAnswer, OperatorClient, run_until_done

_FLAGS = flags.FlagValues()
define_nodes(_FLAGS)


def run(arguments: Sequence[str]) -> int:
    """Print the status of each node."""

    async def fetch() -> list[NodeAnswer]:
        return await OperatorClient(_FLAGS.nodes).read_status()

    return print_answers(run_until_done(fetch))


COMMAND = Command('status', 'Show the status of nodes', _FLAGS, run)
