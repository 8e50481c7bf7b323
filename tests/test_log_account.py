"""Tests of the history of a request, from saved logs."""

from pathlib import Path

import pytest

from chicoryshunt.cmdline import run_command
from chicoryshunt.log_account import parse_line

FIRST = """\
time="2026-10-24 18:32:37,100" level=INFO event=target_phase target=e1 \
phase=ready revision=3 source=store
time="2026-10-24 18:32:38,000" level=INFO event=run_placed request=r1 \
target=e1 score=0.3
Traceback (most recent call last):
time="2026-10-24 18:32:38,020" level=INFO event=engine_slow target=e1 ratio=3
time="2026-10-24 18:32:38,030" level=INFO event=target_down target=e3
time="2026-10-24 18:32:38,040" level=INFO event=target_down target=e2
time="2026-10-24 18:32:38,050" level=INFO event=call_hedged request=r1 \
target=e1 overdue=e3
time="2026-10-24 18:32:38,100" level=INFO event=run_placed request=r2 \
target=e2
time="2026-10-24 18:32:39,000" level=INFO event=target_phase target=e1 \
phase=leaving revision=12 source=10.1.0.8
time="2026-10-24 18:32:40,500" level=INFO event=stream_cut request=r1 \
reason="the engine broke off" target=e1
"""
SECOND = """\
time="2026-10-24 18:32:38,990" level=INFO event=target_phase target=e1 \
phase=leaving revision=12 source=store
time="2026-10-24 18:32:39,300" level=INFO event=target_down target=e3
time="2026-10-24 18:32:39,500" level=WARNING event=store_lost error=x
"""


@pytest.fixture
def logs(tmp_path: Path) -> str:
    """Return the saved logs of two nodes."""
    paths = []
    for name, text in (('vm-1', FIRST), ('vm-2', SECOND)):
        path = tmp_path / f'{name}.log'
        path.write_text(text)
        paths.append(str(path))
    return ','.join(paths)


def test_logs_are_merged_into_one_account(
    logs: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guard against accounts that omit why a node avoided a target.

    What a node knew of a target is shown only if it served the request.
    """
    status = run_command(['explain', 'r1', f'--logs={logs}'])

    shown = capsys.readouterr().out.splitlines()
    events = [line.split()[1:3] for line in shown]
    assert status == 0
    assert events == [
        ['vm-1', 'target_phase'],
        ['vm-1', 'run_placed'],
        ['vm-1', 'engine_slow'],
        ['vm-1', 'target_down'],
        ['vm-1', 'call_hedged'],
        ['vm-2', 'target_phase'],
        ['vm-1', 'stream_cut'],
    ]
    assert 'reason=the engine broke off' in shown[-1]


def test_an_unknown_request_is_said_so(
    logs: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run_command(['explain', 'r9', f'--logs={logs}']) == 1
    assert 'no log names request r9' in capsys.readouterr().out


@pytest.mark.parametrize('flag', ['--logs=/nowhere/vm.log', '--logs='])
def test_wrong_flags_are_usage_errors(flag: str) -> None:
    assert run_command(['explain', 'r1', flag]) == 2


@pytest.mark.parametrize('line', ['', 'no event', 'time="yesterday" event=x'])
def test_what_is_no_event_is_left_out(line: str) -> None:
    assert parse_line(line, 'vm-1') is None
