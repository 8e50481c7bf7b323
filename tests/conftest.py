"""Fixtures of all tests."""

import pytest

from tests.reactor import get_loop


@pytest.fixture(scope='session', autouse=True)
def _installed_reactor() -> None:
    """Install the reactor before an import installs the default one."""
    get_loop()
