"""Test of the event loop that a process installs."""

import subprocess
import sys

_PROGRAM = """
import asyncio, os
from chicoryshunt.connection.loop import get_reactor, install_reactor
install_reactor()
asyncio.get_event_loop().run_until_complete(asyncio.sleep(0.01))
get_reactor()
for name in os.listdir('/proc/self/fd'):
    try:
        print(os.readlink(f'/proc/self/fd/{name}'))
    except OSError:
        pass
"""


def test_loop_uses_epoll_and_no_io_uring() -> None:
    finished = subprocess.run(
        [sys.executable, '-c', _PROGRAM],
        capture_output=True,
        check=True,
        text=True,
    )
    assert 'anon_inode:[eventpoll]' in finished.stdout
    assert 'io_uring' not in finished.stdout
