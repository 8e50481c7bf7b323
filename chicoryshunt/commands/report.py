"""The ``report`` command, which reports error budget burn."""

from collections.abc import Sequence
from pathlib import Path

import msgspec
from absl import flags

from chicoryshunt.burn import build_report
from chicoryshunt.commands.command import Command, define_nodes
from chicoryshunt.exceptions import CallError
from chicoryshunt.operations import NodeAnswer, OperatorClient, run_until_done
from chicoryshunt.report import render_page, render_text
from chicoryshunt.serving.service_levels import ServiceLevels

_FLAGS = flags.FlagValues()
define_nodes(_FLAGS)
flags.DEFINE_string(
    'html',
    None,
    'file to write the report to, as a self-contained HTML page',
    flag_values=_FLAGS,
)


def run(arguments: Sequence[str]) -> int:
    """Print the report; return 1 if a node did not answer."""

    async def fetch() -> list[NodeAnswer]:
        return await OperatorClient(_FLAGS.nodes).read_service_levels()

    answers = run_until_done(fetch)
    levels = [
        msgspec.json.decode(answer.body, type=ServiceLevels)
        for answer in answers
        if not answer.error
    ]
    if not levels:
        raise CallError('report: no node answered')
    report = build_report(levels)
    print(render_text(report))
    for answer in answers:
        if answer.error:
            print(f'not included: {answer.address}: {answer.error}')
    if _FLAGS.html:
        Path(_FLAGS.html).write_text(render_page(report), encoding='utf-8')
    return 0 if len(levels) == len(answers) else 1


COMMAND = Command(
    'report', 'Report the burn of the service-level error budgets', _FLAGS, run
)
