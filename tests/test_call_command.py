"""Tests of the ``call`` command."""

import pytest

from chicoryshunt.caller.answer import Answer
from chicoryshunt.commands.call import COMMAND, ExitStatus, get_exit_status
from chicoryshunt.exceptions import UsageError
from chicoryshunt.types import RunState

_NODES = '--nodes=127.0.0.1:1'
_TEAM = '--team=t'
_MODEL = '--model=m'
_SERVICE = '--service=s'


@pytest.mark.parametrize(
    ('arguments', 'flag'),
    [
        ((_TEAM, _MODEL, '--prompt=p'), '--nodes'),
        ((_NODES, _MODEL, '--prompt=p'), '--team'),
        (('--nodes=a', _TEAM, _MODEL, '--prompt=p'), '--nodes'),
        ((_NODES, _TEAM), '--model'),
        ((_NODES, _TEAM, _MODEL, _SERVICE, '--key=k'), '--service'),
        ((_NODES, _TEAM, _SERVICE), '--key'),
        ((_NODES, _TEAM, _MODEL), '--prompt'),
        ((_NODES, _TEAM, _MODEL, '--max_tokens=0'), '--max_tokens'),
        ((_NODES, _TEAM, _MODEL, '--delivery=late'), '--delivery'),
        ((_NODES, _TEAM, '--colour=blue'), 'colour'),
    ],
)
def test_wrong_flag_is_named(arguments: tuple[str, ...], flag: str) -> None:
    for name in COMMAND.flag_values:
        COMMAND.flag_values[name].unparse()
    with pytest.raises(UsageError, match=flag):
        COMMAND.execute(arguments)


@pytest.mark.parametrize(
    ('answer', 'status'),
    [
        (Answer(RunState.ran, ending='stop'), ExitStatus.whole),
        (Answer(RunState.ran, body=b'done'), ExitStatus.whole),
        (Answer(RunState.ran, ending='incomplete'), ExitStatus.incomplete),
        (
            Answer(RunState.ran, 'engine_lost', body=b'{}'),
            ExitStatus.incomplete,
        ),
        (Answer(RunState.not_run, 'overloaded'), ExitStatus.not_run),
        (Answer(RunState.may_have_run), ExitStatus.may_have_run),
    ],
)
def test_exit_status_follows_the_verdict(
    answer: Answer,
    status: ExitStatus,
) -> None:
    assert get_exit_status(answer) is status
