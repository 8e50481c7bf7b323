"""The ``patch`` commands, which check, follow and export patches."""

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

_EXIT_FAILED = 1
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
    'settings file of the node to ask, instead of --nodes',
    flag_values=_FLAGS,
)


def check(arguments: Sequence[str]) -> int:
    """Check the patch in a file; print whether it would be accepted."""
    path = Path(arguments[0])
    try:
        line = path.read_bytes().strip()
    except OSError as error:
        raise UsageError(f'{path}: {error.strerror}') from error
    addresses = _list_addresses()

    async def fetch() -> CheckResult:
        return await PatchClient(addresses).check(line)

    answer = run_until_done(fetch)
    print(describe_check(answer))
    return 0 if answer.is_accepted else _EXIT_FAILED


def show(arguments: Sequence[str]) -> int:
    """Print the result of a patch and the VMs where it is in force."""
    number = arguments[0]
    if not number.isdecimal():
        raise UsageError(f'patch status: {number!r} is not a patch number')
    addresses = _list_addresses()

    async def fetch() -> PatchReport:
        return await PatchClient(addresses).report(int(number))

    report = run_until_done(fetch)
    print('\n'.join(describe_report(report)))
    return 0 if report.is_in_force else _EXIT_FAILED


def export(arguments: Sequence[str]) -> int:
    """Write the configuration in force on a node as files to publish."""
    addresses = _list_addresses()

    async def fetch() -> dict[str, bytes]:
        return await PatchClient(addresses).export()

    for key, text in run_until_done(fetch).items():
        path = Path(arguments[0], *key.split('/'))
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(text)
        print(path)
    return 0


def describe_check(answer: CheckResult) -> str:
    """Return the line that tells the result of a check."""
    if answer.is_accepted:
        return f'accepted: makes version {answer.version + 1}'
    reason = '' if answer.rejection is None else answer.rejection.value
    return f'rejected: {reason}: {answer.detail}'


def describe_report(report: PatchReport) -> Iterator[str]:
    """Yield the lines that tell the result of a patch."""
    match report.result:
        case Accepted(version=version):
            yield f'patch {report.patch}: accepted as version {version}'
        case Rejected(rejection=rejection, detail=detail):
            yield f'patch {report.patch}: rejected: {rejection.value}: {detail}'
        case None if report.folded:
            yield f'patch {report.patch}: folded, its ruling is not kept'
        case None:
            yield f'patch {report.patch}: has not arrived'
    answered = len(report.folded) + len(report.pending) + len(report.differing)
    word = 'known' if isinstance(report.result, Rejected) else 'in force'
    yield f'{word} on {len(report.folded)} of {answered + len(report.errors)}'
    if report.pending:
        yield f'not there yet: {_join(report.pending)}'
    if report.differing:
        yield f'another log: {_join(report.differing)}'
    for vm, error in report.errors.items():
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
    'Check whether a patch would be accepted',
    _FLAGS,
    check,
    ('FILE',),
)
EXPORT = Command(
    'patch export',
    'Write the configuration in force as a base to publish',
    _FLAGS,
    export,
    ('FOLDER',),
)
STATUS = Command(
    'patch status',
    'Show the result of a patch and where it is in force',
    _FLAGS,
    show,
    ('NUMBER',),
)
