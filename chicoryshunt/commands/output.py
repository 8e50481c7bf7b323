"""Print the answers of nodes."""

from collections.abc import Sequence

import msgspec

from chicoryshunt.operations import NodeAnswer


def print_answers(answers: Sequence[NodeAnswer]) -> int:
    """Print the answer of each node; return 1 if a node did not answer."""
    for answer in answers:
        print(f'{answer.address}:')
        print(_render(answer))
    return 1 if any(one.error for one in answers) else 0


def _render(answer: NodeAnswer) -> str:
    if answer.error:
        return f'  error: {answer.error}'
    text = msgspec.json.format(answer.body, indent=2).decode()
    return '\n'.join(f'  {line}' for line in text.splitlines())
