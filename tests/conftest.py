"""What all tests share in a process."""

import pytest

from tests.reactor import get_loop


@pytest.fixture(scope='session', autouse=True)
def _installed_reactor() -> None:
    """Install the reactor before a test makes Twisted choose its own."""
    get_loop()
