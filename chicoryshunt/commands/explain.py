"""The command that shows what nodes decided for a request."""

from collections.abc import Sequence

from absl import flags

from chicoryshunt.commands.command import Command, define_nodes
from chicoryshunt.commands.output import print_answers
from chicoryshunt.operations import NodeAnswer, Operator, run_until_done

_FLAGS = flags.FlagValues()
define_nodes(_FLAGS)


def run(arguments: Sequence[str]) -> int:
    """Print each node's decisions for one request."""

    async def ask() -> list[NodeAnswer]:
        return await Operator(_FLAGS.nodes).explain(arguments[0])

    return print_answers(run_until_done(ask))


COMMAND = Command(
    'explain',
    'Show what nodes decided for a request, and why',
    _FLAGS,
    run,
    ('REQUEST_ID',),
)
