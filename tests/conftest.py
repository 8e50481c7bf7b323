"""Fixtures of all tests."""

import pytest

from tests.known_red import FILE_NAME, read_entries
from tests.reactor import get_loop

SHOWN_LINES = 3


@pytest.fixture(scope='session', autouse=True)
def _installed_reactor() -> None:
    """Install the reactor before an import installs the default one."""
    get_loop()


# Runs first, so that it sees the tests that -k or -m deselects.
@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    config: pytest.Config,
    items: list[pytest.Item],
) -> None:
    """Let the run pass over the known failures."""
    by_id = {one.nodeid: one for one in items}
    # With --lf, pytest leaves out files even if no file is selected.
    is_whole = config.args == config.getini('testpaths') and not (
        config.getoption('lf', default=False)
    )
    for entry in read_entries(config.rootpath):
        test = by_id.get(entry.node_id)
        if test is not None:
            reason = f'{FILE_NAME}: {entry.text}'
            test.add_marker(pytest.mark.xfail(reason=reason, strict=False))
        elif is_whole:
            _report_unknown(config, entry.node_id)


def _report_unknown(config: pytest.Config, node_id: str) -> None:
    # xdist passes on a failed report, but not an error raised in a worker.
    message = f'{FILE_NAME} lists a test that does not exist: {node_id}'
    report = pytest.CollectReport(FILE_NAME, 'failed', message, [])
    config.hook.pytest_collectreport(report=report)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
    config: pytest.Config,
) -> None:
    """Print the known failures and their results."""
    entries = read_entries(config.rootpath)
    if not entries:
        return
    results = {
        report.nodeid: outcome
        for outcome in ('xfailed', 'xpassed')
        for report in terminalreporter.getreports(outcome)
    }
    terminalreporter.section(f'known failures ({FILE_NAME})')
    for entry in entries:
        outcome = results.get(entry.node_id, 'not run')
        terminalreporter.write_line(f'{entry.node_id}: {outcome}')
        for line in entry.text.splitlines()[:SHOWN_LINES]:
            terminalreporter.write_line(f'  {line}')
