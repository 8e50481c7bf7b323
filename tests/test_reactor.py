"""Test that the order of tests does not matter to the reactor."""

import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parents[1]
# The first installs the default reactor unless another is installed.
_TESTS_IN_ORDER = (
    'tests/test_soak.py::test_what_went_well_breaks_nothing',
    'tests/test_web.py::test_connection_above_the_limit_is_refused',
)


def test_stand_in_may_run_first() -> None:
    finished = subprocess.run(
        (sys.executable, '-m', 'pytest', '-p', 'no:xdist', *_TESTS_IN_ORDER),
        cwd=_ROOT,
        capture_output=True,
        text=True,
        check=False,
    )

    assert finished.returncode == 0, finished.stdout + finished.stderr
