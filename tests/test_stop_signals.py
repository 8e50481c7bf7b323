"""Tests of signals that come while a node's process ends."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from chicoryshunt.platform.settings import SETTINGS_VARIABLE
from lab.standins.loopback import take_host
from lab.standins.platform_files import build_lines

ROOT = Path(__file__).resolve().parents[1]
PAUSE_SECONDS = 0.0002


def test_signals_do_not_change_the_exit_status(tmp_path: Path) -> None:
    """Guards against a signal that kills a process that has just stopped."""
    host = take_host()
    settings = tmp_path / 'node.conf'
    settings.write_text(build_lines(f'{host}:9', host), encoding='utf-8')
    with subprocess.Popen(
        (sys.executable, '-m', 'chicoryshunt.platform'),
        cwd=ROOT,
        env={**os.environ, SETTINGS_VARIABLE: str(settings)},
        stdout=subprocess.PIPE,
    ) as process:
        _wait_started(process)
        while process.poll() is None:
            process.send_signal(signal.SIGTERM)
            time.sleep(PAUSE_SECONDS)

    assert process.returncode == 0


def _wait_started(process: 'subprocess.Popen[bytes]') -> None:
    assert process.stdout is not None
    for line in process.stdout:
        if b'event=node_started' in line:
            return
    raise AssertionError('the node did not start')
