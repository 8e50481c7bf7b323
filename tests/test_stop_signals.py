"""Tests of signals that come while a node's process starts or ends."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from chicoryshunt.platform.settings import SETTINGS_VARIABLE
from lab.standins.loopback import take_host
from lab.standins.platform_files import build_lines

ROOT = Path(__file__).resolve().parents[1]
PAUSE_SECONDS = 0.0002


@pytest.mark.parametrize('other', [signal.SIGTERM, signal.SIGHUP])
def test_signals_do_not_change_the_exit_status(
    tmp_path: Path, other: signal.Signals
) -> None:
    """Guards against a signal that kills a process that has just stopped."""
    with _run_node(tmp_path) as process:
        _wait_logged(process, b'event=node_started')
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            process.send_signal(other)
            time.sleep(PAUSE_SECONDS)

    assert process.returncode == 0


def test_a_reload_does_not_end_a_starting_node(tmp_path: Path) -> None:
    """Guards against a SIGHUP that comes before the node can reload."""
    with _run_node(tmp_path) as process:
        _wait_ignored(process, signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        _wait_logged(process, b'event=node_started')
        process.send_signal(signal.SIGTERM)

    assert process.returncode == 0


@contextmanager
def _run_node(folder: Path) -> Iterator['subprocess.Popen[bytes]']:
    host = take_host()
    settings = folder / 'node.conf'
    settings.write_text(build_lines(f'{host}:9', host), encoding='utf-8')
    with subprocess.Popen(
        (sys.executable, '-m', 'chicoryshunt.platform'),
        cwd=ROOT,
        env={**os.environ, SETTINGS_VARIABLE: str(settings)},
        stdout=subprocess.PIPE,
    ) as process:
        try:
            yield process
        except BaseException:
            process.kill()
            raise


def _wait_ignored(
    process: 'subprocess.Popen[bytes]', awaited: signal.Signals
) -> None:
    """Wait until a process that has not started yet ignores a signal."""
    status = Path(f'/proc/{process.pid}/status')
    bit = 1 << (awaited - 1)
    while process.poll() is None:
        masks = dict(
            line.split(':\t') for line in status.read_text().splitlines()
        )
        if int(masks['SigIgn'], 16) & bit:
            return
        assert not int(masks['SigCgt'], 16) & bit
        time.sleep(PAUSE_SECONDS)


def _wait_logged(process: 'subprocess.Popen[bytes]', awaited: bytes) -> None:
    assert process.stdout is not None
    for line in process.stdout:
        if awaited in line:
            return
    raise AssertionError('the node did not start')
