"""The commands that check patches and show what became of them."""

from collections.abc import Iterator, Sequence
from pathlib import Path

from absl import flags

from chicoryshunt.commands.command import Command
from chicoryshunt.configuration.config_api import CheckResult
from chicoryshunt.exceptions import UsageError
from chicoryshunt.operations import run_until_done
from chicoryshunt.patches import PatchClient, PatchReport
from chicoryshunt.settings import load_settings
from chicoryshunt.types import VmId
from chicoryshunt.version.fold import Accepted, Rejected

_EXIT_REJECTED = 1
_FLAGS = flags.FlagValues()
flags.DEFINE_list(
    'nodes',
    [],
    'addresses of nodes to ask, host:port, comma separated',
    flag_values=_FLAGS,
)
flags.DEFINE_string(
    'settings',
    None,
    'settings file of the node to ask, in place of --nodes',
    flag_values=_FLAGS,
)


def check(arguments: Sequence[str]) -> int:
    """Print what the fold would make of a patch."""
    path = Path(arguments[0])
    try:
        line = path.read_bytes().strip()
    except OSError as error:
        raise UsageError(f'{path}: {error.strerror}') from error
    addresses = _list_addresses()

    async def ask() -> CheckResult:
        return await PatchClient(addresses).check(line)

    answer = run_until_done(ask)
    print(describe_check(answer))
    return 0 if answer.is_accepted else _EXIT_REJECTED


def show(arguments: Sequence[str]) -> int:
    """Print what became of a patch and where it is in force."""
    number = arguments[0]
    if not number.isdecimal():
        raise UsageError(f'patch status: {number!r} is not a patch number')
    addresses = _list_addresses()

    async def ask() -> PatchReport:
        return await PatchClient(addresses).report(int(number))

    report = run_until_done(ask)
    print('\n'.join(describe_report(report)))
    return 0 if report.is_in_force else _EXIT_REJECTED


def export(arguments: Sequence[str]) -> int:
    """Write what to publish to go on from what a node has in force."""
    addresses = _list_addresses()

    async def ask() -> dict[str, bytes]:
        return await PatchClient(addresses).export()

    for key, text in run_until_done(ask).items():
        path = Path(arguments[0], *key.split('/'))
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(text)
        print(path)
    return 0


def describe_check(answer: CheckResult) -> str:
    """Return one line about a checked patch."""
    if answer.is_accepted:
        return f'accepted: makes version {answer.version + 1}'
    reason = '' if answer.rejection is None else answer.rejection.value
    return f'rejected: {reason}: {answer.detail}'


def describe_report(report: PatchReport) -> Iterator[str]:
    """Return the lines that tell what became of a patch."""
    match report.ruling:
        case Accepted(version=version):
            yield f'patch {report.patch}: accepted as version {version}'
        case Rejected(rejection=rejection, detail=detail):
            yield f'patch {report.patch}: rejected: {rejection.value}: {detail}'
        case None if report.folded:
            yield f'patch {report.patch}: folded, its ruling is not kept'
        case None:
            yield f'patch {report.patch}: has not arrived'
    asked = len(report.folded) + len(report.pending) + len(report.differing)
    word = 'known' if isinstance(report.ruling, Rejected) else 'in force'
    yield f'{word} on {len(report.folded)} of {asked + len(report.silent)}'
    if report.pending:
        yield f'not there yet: {_join(report.pending)}'
    if report.differing:
        yield f'another log: {_join(report.differing)}'
    for vm, error in report.silent.items():
        yield f'no answer from {vm}: {error}'


def _join(vms: Sequence[VmId]) -> str:
    return ', '.join(sorted(vms))


def _list_addresses() -> list[str]:
    if _FLAGS.nodes:
        return list(_FLAGS.nodes)
    if _FLAGS.settings:
        listen = load_settings(Path(_FLAGS.settings)).listen
        return [f'{listen.host}:{listen.caller}']
    raise UsageError('patch: name nodes by --nodes or --settings')


CHECK = Command(
    'patch check',
    'Say what would become of a patch',
    _FLAGS,
    check,
    ('FILE',),
)
EXPORT = Command(
    'patch export',
    'Write a base of what is in force, to publish it',
    _FLAGS,
    export,
    ('FOLDER',),
)
STATUS = Command(
    'patch status',
    'Show what became of a patch',
    _FLAGS,
    show,
    ('NUMBER',),
)
